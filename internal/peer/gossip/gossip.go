// Package gossip implements the controller that exchanges state between entries: the
// tickets in force, the list of entries, leaving endpoints and suspect prompts.
package gossip

import (
	"cmp"
	"slices"

	"mustardhook/internal/core/action"
	"mustardhook/internal/core/board"
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/event"
	"mustardhook/internal/core/fleet"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/core/loop"
	"mustardhook/internal/core/msgs"
	"mustardhook/internal/peer/roster"
)

const (
	// RoundInterval is the mean time between two rounds.
	RoundInterval = 1 * clock.Second
	// AnyPartnerRounds is the number of rounds in which, on average, one partner is
	// drawn from all entries instead of the same failure domain.
	AnyPartnerRounds = 3
	// PushFanout is how many peers a newly accepted ticket is pushed to immediately.
	PushFanout = 4
	// LocalMembersPerRound bounds the members of the same failure domain in a digest.
	LocalMembersPerRound = 4
	// RemoteMembersPerRound bounds the members of other failure domains in a digest.
	RemoteMembersPerRound = 4
	// RecentNumbers is how many of the highest ticket numbers a first request covers.
	// Larger sets of newly accepted tickets are not pushed.
	RecentNumbers = 64
	// MaxReplyBytes bounds the bytes of ticket text in one message. A single larger
	// ticket is still sent.
	MaxReplyBytes = 512 * 1024
	// DiscoveryTimeout is how long a new entry waits for messages of peers before it
	// relies on the platform's list for whether there are any.
	DiscoveryTimeout = 3 * clock.Second
	// RequestInterval is the minimum time between two requests for tickets to one peer.
	RequestInterval = 200 * clock.Millis(1)
	// PropagationTimeout is the longest time that rounds of gossip take to reach all
	// entries.
	PropagationTimeout = 10 * clock.Second
	// ListLagTimeout is the longest time by which the platform's list may lag.
	ListLagTimeout = 30 * clock.Second
	// SuspectsPerRound bounds the suspect prompts in a digest.
	SuspectsPerRound = 8
)

type (
	controller struct{}
)

// NewController returns a controller for rounds of gossip and the exchange of tickets.
func NewController() loop.Controller { return controller{} }

// Step runs rounds, replies to messages from peers and pushes new tickets.
func (controller) Step(b *board.Board, input event.Event) {
	switch input := input.(type) {
	case event.Ticked:
		runRound(b)
		confirmFromPlatform(b)
	case event.MessageCame:
		handleMessage(b, input)
	}
	pushTickets(b)
}

func runRound(b *board.Board) {
	if b.Now < b.NextRoundAt {
		return
	}
	jitter := clock.Millis(b.Random.Int64N(int64(RoundInterval / 2)))
	b.NextRoundAt = b.Now + RoundInterval*3/4 + jitter
	b.Round++
	b.RoundAt = b.Now
	for _, address := range partners(b) {
		b.Emit(messageTo(address, newDigest(b, false, b.Round)))
	}
}

// partners picks the addresses of up to two random entries. The first is a reachable one
// of the same failure domain, whose entries must detect quickly which of them are live.
// The second is usually another of these, but in one of AnyPartnerRounds rounds on
// average it is drawn from all peers. Without peers, it is a seed.
func partners(b *board.Board) []string {
	var local, all []string
	for _, name := range board.Sorted(b.Peers) {
		peer := b.Peers[name]
		if peer.Member.Address == "" {
			continue
		}
		if peer.Member.Domain == b.Domain && roster.IsReachable(b, peer) {
			local = append(local, peer.Member.Address)
		}
		all = append(all, peer.Member.Address)
	}
	if len(all) == 0 {
		all = b.Seeds
	}
	second := all
	if len(local) > 0 && b.Random.IntN(AnyPartnerRounds) > 0 {
		second = local
	}
	return distinct(pickRandom(b, local), pickRandom(b, second))
}

func pickRandom(b *board.Board, addresses []string) string {
	if len(addresses) == 0 {
		return ""
	}
	return addresses[b.Random.IntN(len(addresses))]
}

func distinct(addresses ...string) []string {
	var unique []string
	for _, address := range addresses {
		if address != "" && (len(unique) == 0 || unique[0] != address) {
			unique = append(unique, address)
		}
	}
	return unique
}

// ShortDigest returns a digest without lists, for changes that can't wait for the next
// round.
func ShortDigest(b *board.Board) msgs.Gossip {
	return msgs.Gossip{
		Sum: b.State.Sum(), Highest: b.State.Highest(), Synced: b.Synced, Reply: true,
	}
}

// newDigest returns the digest for the given round of this entry or, if reply is set, for
// the reply to that round of a peer.
func newDigest(b *board.Board, reply bool, round uint64) msgs.Gossip {
	return msgs.Gossip{
		Sum:      b.State.Sum(),
		Highest:  b.State.Highest(),
		Synced:   b.Synced,
		Reply:    reply,
		Round:    round,
		Members:  members(b),
		Suspects: suspects(b),
		Leaving:  leavingEndpoints(b),
		Ages:     ages(b),
		Views:    viewsSeen(b),
	}
}

// ages lists the time since each peer of the failure domain was last seen. It omits peers
// for which that time exceeds MaxAgeUnits.
func ages(b *board.Board) []msgs.Age {
	var list []msgs.Age
	for _, name := range board.Sorted(b.Peers) {
		peer := b.Peers[name]
		units := (b.Now-peer.LastSeenAt)/msgs.AgeUnit + 1
		if peer.Member.Domain != b.Domain || units > msgs.MaxAgeUnits {
			continue
		}
		isInView := peer.Member.View == b.Membership.Number() && peer.ViewSeenAt == peer.LastSeenAt
		list = append(list, msgs.Age{
			EntryHash: peer.Member.Incarnation.EntryHash(msgs.MaxEntryHash), Units: uint8(units), InView: isInView,
		})
	}
	return list
}

func viewsSeen(b *board.Board) []msgs.ViewSeen {
	var list []msgs.ViewSeen
	for _, domain := range board.Sorted(b.ViewsSeen) {
		list = append(list, msgs.ViewSeen{Domain: domain, Number: b.ViewsSeen[domain]})
	}
	return list
}

func members(b *board.Board) []msgs.Member {
	var local, remote []msgs.Member
	for _, name := range board.Sorted(b.Peers) {
		peer := b.Peers[name]
		if peer.LastSeenAt == 0 || b.Now-peer.LastSeenAt > roster.PeerTTL {
			continue
		}
		member := peer.Member
		member.Heard = b.Now - peer.LastSeenAt
		if member.Domain == b.Domain {
			local = append(local, member)
			continue
		}
		remote = append(remote, member)
	}
	return append(sample(b, local, LocalMembersPerRound), sample(b, remote, RemoteMembersPerRound)...)
}

// sample returns up to limit members at random. It reorders its argument.
func sample(b *board.Board, members []msgs.Member, limit int) []msgs.Member {
	b.Random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members[:min(len(members), limit)]
}

// suspects lists the suspect prompts with the most recent deaths.
func suspects(b *board.Board) []msgs.Suspect {
	fingerprints := board.Sorted(b.Suspects)
	slices.SortStableFunc(fingerprints, func(x, y uint64) int {
		return cmp.Compare(b.Suspects[y].LastDeathAt, b.Suspects[x].LastDeathAt)
	})
	var list []msgs.Suspect
	for _, fingerprint := range fingerprints[:min(len(fingerprints), SuspectsPerRound)] {
		list = append(list, b.Suspects[fingerprint].ToMessage(b.Now))
	}
	return list
}

func leavingEndpoints(b *board.Board) []ident.Endpoint {
	var list []ident.Endpoint
	for _, name := range board.Sorted(b.Endpoints) {
		status := b.Endpoints[name]
		if status.ListedLeaving || status.Report.Leaving {
			list = append(list, name)
		}
	}
	return list
}

func handleMessage(b *board.Board, received event.MessageCame) {
	switch message := received.Message.(type) {
	case msgs.Gossip:
		handleDigest(b, received.From, message)
	case msgs.TicketsAsk:
		sendTickets(b, received.From, message)
	case msgs.TicketsGive:
		if message.More {
			b.Emit(messageTo(received.From.Address, fullRequest(b)))
		}
	}
}

func handleDigest(b *board.Board, from msgs.Member, digest msgs.Gossip) {
	if !digest.Reply {
		b.Emit(messageTo(from.Address, newDigest(b, true, digest.Round)))
	}
	if peer := b.Peers[from.Incarnation.Entry]; peer != nil {
		peer.Sum = digest.Sum
		peer.Synced = digest.Synced
		peer.DigestReceived = true
	}
	if digest.Sum != b.State.Sum() {
		requestTickets(b, from, recentRequest(b))
		return
	}
	confirmFromPeer(b, digest)
}

// confirmFromPeer records that this entry's state equals that of a synced peer and was
// thus current when the round that the peer replies to started. It ignores a reply to a
// round from before a pause, since that says nothing about the time since.
func confirmFromPeer(b *board.Board, digest msgs.Gossip) {
	isCurrentReply := digest.Reply && digest.Round == b.Round && digest.Round > 0
	if isCurrentReply && digest.Synced && b.RoundAt >= b.ResumedAt {
		b.Synced = true
		b.ConfirmedAt = max(b.ConfirmedAt, b.RoundAt)
	}
}

// recentRequest returns a request for tickets among the RecentNumbers highest numbers. It
// includes a hash of the older tickets, so that the peer detects a difference there.
func recentRequest(b *board.Board) msgs.TicketsAsk {
	var from fleet.Number
	if highest := b.State.Highest(); highest > RecentNumbers {
		from = highest - RecentNumbers
	}
	return msgs.TicketsAsk{From: from, Below: b.State.SumBelow(from), Have: b.State.StampsFrom(from)}
}

// fullRequest returns a request for all tickets that this entry lacks.
func fullRequest(b *board.Board) msgs.TicketsAsk {
	return msgs.TicketsAsk{Have: b.State.Stamps()}
}

// sendTickets replies with the tickets that the peer lacks, up to MaxReplyBytes, and
// requests those that the peer has and this entry lacks.
func sendTickets(b *board.Board, to msgs.Member, request msgs.TicketsAsk) {
	differsBelow := request.Below != b.State.SumBelow(request.From)
	present := make(map[fleet.Stamp]bool, len(request.Have))
	for _, stamp := range request.Have {
		present[stamp] = true
	}
	reply := msgs.TicketsGive{}
	size := 0
	for _, stamp := range b.State.StampsFrom(request.From) {
		if present[stamp] {
			continue
		}
		ticket, _ := b.State.Ticket(stamp.Number)
		size += len(ticket.Text)
		if size > MaxReplyBytes && len(reply.Tickets) > 0 {
			reply.More = true
			break
		}
		reply.Tickets = append(reply.Tickets, ticket)
	}
	if len(reply.Tickets) > 0 {
		b.Emit(messageTo(to.Address, reply))
	}
	switch {
	case differsBelow:
		requestTickets(b, to, fullRequest(b))
	case lacksAny(b, request.Have) && request.From == 0:
		requestTickets(b, to, fullRequest(b))
	case lacksAny(b, request.Have):
		requestTickets(b, to, recentRequest(b))
	}
}

// requestTickets sends a request for tickets unless the last one to the peer was less
// than RequestInterval ago.
func requestTickets(b *board.Board, to msgs.Member, request msgs.TicketsAsk) {
	peer := b.Peers[to.Incarnation.Entry]
	if peer == nil || b.Now-peer.TicketsRequestedAt < RequestInterval {
		return
	}
	peer.TicketsRequestedAt = b.Now
	b.Emit(messageTo(to.Address, request))
}

// lacksAny reports whether this entry lacks one of the tickets. A ticket that loses a
// conflict of numbers at this entry does not count.
func lacksAny(b *board.Board, stamps []fleet.Stamp) bool {
	for _, stamp := range stamps {
		ticket, ok := b.State.Ticket(stamp.Number)
		if !ok || ticket.Digest > stamp.Digest {
			return true
		}
	}
	return false
}

// pushTickets sends newly accepted tickets to a few random live peers, which in turn push
// them to others.
func pushTickets(b *board.Board) {
	if len(b.UnpushedTickets) == 0 {
		return
	}
	tickets := b.UnpushedTickets
	b.UnpushedTickets = nil
	if len(tickets) > RecentNumbers {
		return
	}
	live := roster.Live(b)
	b.Random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	for _, peer := range live[:min(len(live), PushFanout)] {
		b.Emit(messageTo(peer.Member.Address, msgs.TicketsGive{Tickets: tickets}))
	}
}

// confirmFromPlatform accepts the state read from the platform as current if no peer may
// hold newer tickets: none is reachable, or those that are have the same state and are not
// synced either.
func confirmFromPlatform(b *board.Board) {
	if b.Synced && isOnlyEntry(b) {
		b.ConfirmedAt = b.Now
		return
	}
	waited := b.Now - max(b.StartedAt, b.ResumedAt)
	isRead := b.Platform.LastRead > 0 && b.Platform.LastRead >= b.ResumedAt && !b.Platform.IsReadAnew && b.ListRead
	if b.Synced || waited < DiscoveryTimeout || !isRead {
		return
	}
	for _, name := range board.Sorted(b.Peers) {
		if mayBeNewer(b, b.Peers[name], waited) {
			return
		}
	}
	b.Synced = true
	b.ConfirmedAt = b.Now
}

// isOnlyEntry reports whether the platform was read to the end, answers and lists no other entry, and none is
// reachable, so that only the platform can confirm the state.
func isOnlyEntry(b *board.Board) bool {
	for _, peer := range b.Peers {
		if peer.Listed || roster.IsReachable(b, peer) {
			return false
		}
	}
	return b.ListRead && !b.Platform.IsReadAnew && !b.Platform.IsUnavailable()
}

// mayBeNewer reports whether the peer may hold newer tickets than this entry. A listed
// peer that is unresponsive may until ListLagTimeout. A live peer that has not sent its
// state yet may until PropagationTimeout: if any entry were synced, rounds of gossip
// would have informed this one by then.
func mayBeNewer(b *board.Board, peer *board.Peer, waited clock.Millis) bool {
	switch {
	case peer.Member.Leaving:
		return false
	case !roster.IsReachable(b, peer):
		return peer.Listed && waited < ListLagTimeout
	case !peer.DigestReceived:
		return waited < PropagationTimeout
	}
	return peer.Synced || peer.Sum != b.State.Sum()
}

func messageTo(address string, message msgs.Message) action.SendMessage {
	return action.SendMessage{Address: address, Message: message}
}
