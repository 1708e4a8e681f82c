// Package gossip holds the controller that spreads what entries know: tickets in
// force, the list of entries, leaving endpoints and suspect prompts.
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
	// RoundSpan is the mean time between two rounds.
	RoundSpan = 1 * clock.Second
	// AnyInRounds is in how many rounds, on average, one partner is any entry.
	AnyInRounds = 3
	// PushFanout is how many peers a fresh ticket is pushed to at once.
	PushFanout = 4
	// NearPerRound bounds the members of the own failure domain in a digest.
	NearPerRound = 4
	// OthersPerRound bounds the members of other failure domains in a digest.
	OthersPerRound = 4
	// TailNumbers is how many of the newest numbers a first comparison lists.
	TailNumbers = 64
	// GiveLimit bounds the bytes of ticket text in one message.
	GiveLimit = 512 * 1024
	// LoneGrace is how long a new entry waits for peers before it takes the
	// platform's word that there are none.
	LoneGrace = 3 * clock.Second
	// AskSpan is the least time between two requests for tickets to one peer.
	AskSpan = 200 * clock.Millis(1)
	// SpreadGrace is how long rounds of gossip take at the most to reach all.
	SpreadGrace = 10 * clock.Second
	// SilentGrace is how long the platform's list may lag.
	SilentGrace = 30 * clock.Second
	// SuspectsPerRound bounds the suspects in a digest.
	SuspectsPerRound = 8
)

type (
	controller struct{}
)

// NewController returns the controller of rounds and ticket exchange.
func NewController() loop.Controller { return controller{} }

// Step runs rounds, answers digests and pushes fresh tickets.
func (controller) Step(b *board.Board, happened event.Event) {
	switch happened := happened.(type) {
	case event.Ticked:
		round(b)
		judgeLone(b)
	case event.MessageCame:
		answer(b, happened)
	}
	push(b)
}

func round(b *board.Board) {
	if b.Now < b.NextRoundAt {
		return
	}
	jitter := clock.Millis(b.Random.Int64N(int64(RoundSpan / 2)))
	b.NextRoundAt = b.Now + RoundSpan*3/4 + jitter
	b.Round++
	b.RoundAt = b.Now
	for _, address := range partners(b) {
		b.Emit(send(address, digest(b, false, b.Round)))
	}
}

// partners picks two entries, mostly of the own failure domain, whose members must
// know soon who is live; others, seeds and silent entries get their turns too.
func partners(b *board.Board) []string {
	var near, all []string
	for _, name := range board.Sorted(b.Peers) {
		peer := b.Peers[name]
		if peer.Member.Address == "" {
			continue
		}
		if peer.Member.Domain == b.Domain && roster.IsReachable(b, peer) {
			near = append(near, peer.Member.Address)
		}
		all = append(all, peer.Member.Address)
	}
	if len(all) == 0 {
		all = b.Seeds
	}
	second := all
	if len(near) > 0 && b.Random.IntN(AnyInRounds) > 0 {
		second = near
	}
	return distinct(pick(b, near), pick(b, second))
}

func pick(b *board.Board, addresses []string) string {
	if len(addresses) == 0 {
		return ""
	}
	return addresses[b.Random.IntN(len(addresses))]
}

func distinct(addresses ...string) []string {
	var kept []string
	for _, address := range addresses {
		if address != "" && (len(kept) == 0 || kept[0] != address) {
			kept = append(kept, address)
		}
	}
	return kept
}

// ShortDigest returns a digest without lists, for news that can't wait for a round.
func ShortDigest(b *board.Board) msgs.Gossip {
	return msgs.Gossip{
		Sum: b.State.Sum(), Highest: b.State.Highest(), Synced: b.Synced, Reply: true,
	}
}

func digest(b *board.Board, reply bool, round uint64) msgs.Gossip {
	return msgs.Gossip{
		Sum:      b.State.Sum(),
		Highest:  b.State.Highest(),
		Synced:   b.Synced,
		Reply:    reply,
		Round:    round,
		Members:  members(b),
		Suspects: suspects(b),
		Leaving:  leaving(b),
		Ages:     ages(b),
		Views:    viewsSeen(b),
	}
}

// ages tells how long ago each entry of the failure domain was heard.
func ages(b *board.Board) []msgs.Age {
	var list []msgs.Age
	for _, name := range board.Sorted(b.Peers) {
		peer := b.Peers[name]
		units := (b.Now-peer.LastSeenAt)/msgs.AgeUnit + 1
		if peer.Member.Domain != b.Domain || units > msgs.MaxAgeUnits {
			continue
		}
		isInView := peer.Member.View == b.Keeper.Number() && peer.ViewSeenAt == peer.LastSeenAt
		list = append(list, msgs.Age{
			EntryHash: peer.Member.Incarnation.EntryHash(msgs.MaxEntryHash), Units: uint8(units), InView: isInView,
		})
	}
	return list
}

func viewsSeen(b *board.Board) []msgs.ViewSeen {
	var seen []msgs.ViewSeen
	for _, domain := range board.Sorted(b.ViewsSeen) {
		seen = append(seen, msgs.ViewSeen{Domain: domain, Number: b.ViewsSeen[domain]})
	}
	return seen
}

func members(b *board.Board) []msgs.Member {
	var near, far []msgs.Member
	for _, name := range board.Sorted(b.Peers) {
		peer := b.Peers[name]
		if peer.LastSeenAt == 0 || b.Now-peer.LastSeenAt > roster.ForgetAfter {
			continue
		}
		member := peer.Member
		member.Heard = b.Now - peer.LastSeenAt
		if member.Domain == b.Domain {
			near = append(near, member)
			continue
		}
		far = append(far, member)
	}
	return append(some(b, near, NearPerRound), some(b, far, OthersPerRound)...)
}

// some draws up to limit of the members.
func some(b *board.Board, members []msgs.Member, limit int) []msgs.Member {
	b.Random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members[:min(len(members), limit)]
}

// suspects lists the newest suspects.
func suspects(b *board.Board) []msgs.Suspect {
	names := board.Sorted(b.Suspects)
	slices.SortStableFunc(names, func(x, y uint64) int {
		return cmp.Compare(b.Suspects[y].LastDeathAt, b.Suspects[x].LastDeathAt)
	})
	var list []msgs.Suspect
	for _, fingerprint := range names[:min(len(names), SuspectsPerRound)] {
		list = append(list, b.Suspects[fingerprint].ToMessage(b.Now))
	}
	return list
}

func leaving(b *board.Board) []ident.Endpoint {
	var list []ident.Endpoint
	for _, name := range board.Sorted(b.Endpoints) {
		load := b.Endpoints[name]
		if load.ListedLeaving || load.Report.Leaving {
			list = append(list, name)
		}
	}
	return list
}

func answer(b *board.Board, came event.MessageCame) {
	switch message := came.Message.(type) {
	case msgs.Gossip:
		compare(b, came.From, message)
	case msgs.TicketsAsk:
		give(b, came.From, message)
	case msgs.TicketsGive:
		if message.More {
			b.Emit(send(came.From.Address, askAll(b)))
		}
	}
}

func compare(b *board.Board, from msgs.Member, heard msgs.Gossip) {
	if !heard.Reply {
		b.Emit(send(from.Address, digest(b, true, heard.Round)))
	}
	if peer := b.Peers[from.Incarnation.Entry]; peer != nil {
		peer.Sum = heard.Sum
		peer.Synced = heard.Synced
		peer.DigestReceived = true
	}
	if heard.Sum != b.State.Sum() {
		ask(b, from, askTail(b))
		return
	}
	confirm(b, heard)
}

// confirm takes an equal state of a synced peer as the newest, as of the instant
// at which this entry asked. An answer to a question from before a pause says
// nothing of the time since.
func confirm(b *board.Board, heard msgs.Gossip) {
	isAnswer := heard.Reply && heard.Round == b.Round && heard.Round > 0
	if isAnswer && heard.Synced && b.RoundAt >= b.ResumedAt {
		b.Synced = true
		b.ConfirmedAt = max(b.ConfirmedAt, b.RoundAt)
	}
}

func askTail(b *board.Board) msgs.TicketsAsk {
	var from fleet.Number
	if highest := b.State.Highest(); highest > TailNumbers {
		from = highest - TailNumbers
	}
	return msgs.TicketsAsk{From: from, Below: b.State.SumBelow(from), Have: b.State.StampsFrom(from)}
}

func askAll(b *board.Board) msgs.TicketsAsk {
	return msgs.TicketsAsk{Have: b.State.Stamps()}
}

// give answers with the tickets that the asker lacks, and asks back for those
// that the asker has and this entry lacks.
func give(b *board.Board, to msgs.Member, asked msgs.TicketsAsk) {
	differsBelow := asked.Below != b.State.SumBelow(asked.From)
	has := make(map[fleet.Stamp]bool, len(asked.Have))
	for _, stamp := range asked.Have {
		has[stamp] = true
	}
	reply := msgs.TicketsGive{}
	size := 0
	for _, stamp := range b.State.StampsFrom(asked.From) {
		if has[stamp] {
			continue
		}
		ticket, _ := b.State.Ticket(stamp.Number)
		size += len(ticket.Text)
		if size > GiveLimit && len(reply.Tickets) > 0 {
			reply.More = true
			break
		}
		reply.Tickets = append(reply.Tickets, ticket)
	}
	if len(reply.Tickets) > 0 {
		b.Emit(send(to.Address, reply))
	}
	switch {
	case differsBelow:
		ask(b, to, askAll(b))
	case lacks(b, asked.Have) && asked.From == 0:
		ask(b, to, askAll(b))
	case lacks(b, asked.Have):
		ask(b, to, askTail(b))
	}
}

// ask sends a request for tickets, at most one in AskSpan to each peer.
func ask(b *board.Board, to msgs.Member, wanted msgs.TicketsAsk) {
	peer := b.Peers[to.Incarnation.Entry]
	if peer == nil || b.Now-peer.TicketsRequestedAt < AskSpan {
		return
	}
	peer.TicketsRequestedAt = b.Now
	b.Emit(send(to.Address, wanted))
}

func lacks(b *board.Board, stamps []fleet.Stamp) bool {
	for _, stamp := range stamps {
		ticket, found := b.State.Ticket(stamp.Number)
		if !found || ticket.Digest > stamp.Digest {
			return true
		}
	}
	return false
}

// push sends fresh tickets on to a few peers, which push them on in turn.
func push(b *board.Board) {
	if len(b.UnpushedTickets) == 0 {
		return
	}
	fresh := b.UnpushedTickets
	b.UnpushedTickets = nil
	if len(fresh) > TailNumbers {
		return
	}
	live := roster.Live(b)
	b.Random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	for _, peer := range live[:min(len(live), PushFanout)] {
		b.Emit(send(peer.Member.Address, msgs.TicketsGive{Tickets: fresh}))
	}
}

// judgeLone lets an entry that hears nobody, or only entries that are new
// themselves, take the platform's state as the newest there is.
func judgeLone(b *board.Board) {
	if b.Synced && isAlone(b) {
		b.ConfirmedAt = b.Now
		return
	}
	waited := b.Now - max(b.StartedAt, b.ResumedAt)
	isRead := b.Platform.LastRead > 0 && b.Platform.LastRead >= b.ResumedAt && b.ListRead
	if b.Synced || waited < LoneGrace || !isRead {
		return
	}
	for _, name := range board.Sorted(b.Peers) {
		if mayKnowMore(b, b.Peers[name], waited) {
			return
		}
	}
	b.Synced = true
	b.ConfirmedAt = b.Now
}

// isAlone reports whether the platform answers and lists no other entry, so that
// nobody but the platform can confirm the state.
func isAlone(b *board.Board) bool {
	for _, peer := range b.Peers {
		if peer.Listed || roster.IsReachable(b, peer) {
			return false
		}
	}
	return b.ListRead && b.Platform.Failures == 0
}

// mayKnowMore reports whether the peer may hold newer tickets than this entry. A
// listed peer that is silent may, until SilentGrace is over; a live one that has
// not told its state yet may, until SpreadGrace is over: if any entry were
// synced, rounds of gossip had told this one by then.
func mayKnowMore(b *board.Board, peer *board.Peer, waited clock.Millis) bool {
	switch {
	case peer.Member.Leaving:
		return false
	case !roster.IsReachable(b, peer):
		return peer.Listed && waited < SilentGrace
	case !peer.DigestReceived:
		return waited < SpreadGrace
	}
	return peer.Synced || peer.Sum != b.State.Sum()
}

func send(address string, message msgs.Message) action.SendMessage {
	return action.SendMessage{Address: address, Message: message}
}
