// Package views keeps the view of witnesses of one failure domain: the numbered
// list of entries that vote on idempotency keys. A view is followed by the one
// that a majority of its members decided on, so that a split leaves at most one
// side with a view that goes on.
//
// Members decide by ballots, in memory: a member that promises a ballot stops
// voting on keys and hands over its claims with the promise; the next view starts
// with the claims of all members that promised. An entry that restarts is another
// incarnation and so another member.
package views

import (
	"slices"

	"mustardhook/internal/claim/rules"
	"mustardhook/internal/claim/votes"
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/core/msgs"
)

const (
	// StableSpan is how long the wanted members must differ from the view's.
	StableSpan = 1 * clock.Second
	// RankDelay is how long each further member waits for the one before it.
	RankDelay = 1500 * clock.Millis(1)
	// CollectSpan is how long a proposer waits for more than a majority.
	CollectSpan = 500 * clock.Millis(1)
	// RoundSpan is how long a proposal may take.
	RoundSpan = 2 * clock.Second
	// ResendSpan is the time between two tries of an installation.
	ResendSpan = 300 * clock.Millis(1)
	// InstallSpan is how long a proposer goes on to install a view.
	InstallSpan = 10 * clock.Second
	// BehindSpan is how long a member may lack the view before the others change
	// it, which installs it again. It is longer than InstallSpan.
	BehindSpan = 12 * clock.Second
)

type (
	// Send is a message to another entry of the failure domain.
	Send struct {
		To      ident.Incarnation
		Message msgs.Message
	}

	// Keeper keeps the view of one entry and its memory as a witness.
	Keeper struct {
		self   ident.Incarnation
		waived rules.Waived
		table  *votes.Table

		number  uint64
		members []ident.Incarnation
		sealed  bool

		promised msgs.Ballot
		accepted msgs.Ballot
		proposed []ident.Incarnation

		differsSince clock.Millis
		proposal     *proposal
		installs     []install
		sends        []Send
	}

	// proposal is a ballot that this entry runs.
	proposal struct {
		ballot    msgs.Ballot
		began     clock.Millis
		wanted    []ident.Incarnation
		highest   msgs.Ballot
		promisers []ident.Incarnation
		accepters []ident.Incarnation
		accepting bool
		collected *votes.Table
	}

	install struct {
		to     ident.Incarnation
		view   msgs.ViewInstall
		until  clock.Millis
		nextAt clock.Millis
	}
)

// NewKeeper returns an entry's keeper without a view.
func NewKeeper(self ident.Incarnation, waived rules.Waived) *Keeper {
	return &Keeper{self: self, waived: waived, table: votes.NewTable(waived)}
}

// Number returns the number of the view; zero means none.
func (k *Keeper) Number() uint64 { return k.number }

// Members returns the members of the view.
func (k *Keeper) Members() []ident.Incarnation { return k.members }

// Table returns the memory as a witness.
func (k *Keeper) Table() *votes.Table { return k.table }

// IsMember reports whether this entry is a member of its view.
func (k *Keeper) IsMember() bool { return slices.Contains(k.members, k.self) }

// MayVote reports whether this entry may vote in the view of the number, with the
// entries that it heard lately to be in the same view. One that hears no majority
// of its view may not: the others may have gone on without it.
func (k *Keeper) MayVote(number uint64, inView []ident.Incarnation) bool {
	isOpen := !k.sealed || k.waived.Seal
	isAgreed := number == k.number || k.waived.ViewAgreement
	isHeard := HasMajority(k.members, inView) || k.waived.Contact
	return k.number > 0 && k.IsMember() && isOpen && isAgreed && isHeard
}

// Found starts the first view. The caller has made sure that no other member has
// one. With lost set, keys that may have been claimed before are in doubt.
func (k *Keeper) Found(now clock.Millis, members []ident.Incarnation, lost bool) []Send {
	var losses []msgs.Loss
	if lost {
		losses = append(losses, msgs.Loss{Members: k.members})
	}
	view := msgs.ViewInstall{View: max(uint64(now), k.number+1), Members: sorted(members), Losses: losses}
	return k.installAll(now, view)
}

// Ask votes on a key for a dispatcher of the failure domain.
func (k *Keeper) Ask(now clock.Millis, ask msgs.VoteAsk, inView []ident.Incarnation) msgs.VoteGive {
	if !k.MayVote(ask.View, inView) {
		return msgs.VoteGive{View: k.number, Scope: ask.Scope, Attempt: ask.Attempt, Verdict: msgs.VoteStale}
	}
	return k.table.Ask(now, ask)
}

// Tick starts a change of the view when it differs from the wanted members for
// long enough, and repeats installations. live are the entries that this one
// hears, itself among them; some of them may be leaving, and so not be wanted.
// With behind set, a live member lacks the view, and a change installs it again.
func (k *Keeper) Tick(now clock.Millis, wanted, live []ident.Incarnation, behind bool) []Send {
	k.sends = nil
	k.table.Expire(now)
	k.repeatInstalls(now)
	if k.proposal != nil {
		k.pursue(now)
		return k.sends
	}
	wanted = sorted(wanted)
	isSame := slices.Equal(wanted, k.members) && !k.sealed && !behind
	if k.number == 0 || !k.IsMember() || isSame {
		k.differsSince = 0
		return k.sends
	}
	if k.differsSince == 0 {
		k.differsSince = now
	}
	if now-k.differsSince >= StableSpan+k.rankDelay(live) && k.hasMajority(live) {
		k.propose(now, wanted)
	}
	return k.sends
}

// rankDelay lets the first live member of the view propose before the others.
func (k *Keeper) rankDelay(live []ident.Incarnation) clock.Millis {
	rank := 0
	for _, member := range k.members {
		if member == k.self {
			break
		}
		if slices.Contains(live, member) {
			rank++
		}
	}
	return RankDelay * clock.Millis(rank)
}

func (k *Keeper) hasMajority(some []ident.Incarnation) bool {
	return k.waived.Majority || HasMajority(k.members, some)
}

// HasMajority reports whether some of the members may decide for all of them:
// more than half, or half with the first member among them. Two such parts
// always have a member in common.
func HasMajority(members, some []ident.Incarnation) bool {
	count := 0
	for _, member := range members {
		if slices.Contains(some, member) {
			count++
		}
	}
	isHalf := len(members) > 0 && 2*count == len(members)
	return 2*count > len(members) || (isHalf && slices.Contains(some, members[0]))
}

func (k *Keeper) propose(now clock.Millis, wanted []ident.Incarnation) {
	ballot := msgs.Ballot{Round: k.promised.Round + 1, Proposer: k.self}
	k.proposal = &proposal{
		ballot: ballot, began: now, wanted: wanted, collected: votes.NewTable(k.waived),
	}
	for _, member := range k.members {
		k.send(member, msgs.ViewPrepare{View: k.number, Ballot: ballot})
	}
}

// pursue moves a proposal on when it waited long enough for slow members, and
// drops it when it failed.
func (k *Keeper) pursue(now clock.Millis) {
	p := k.proposal
	if now-p.began > RoundSpan {
		k.proposal = nil
		k.differsSince = now
		return
	}
	if !p.accepting && now-p.began >= CollectSpan && k.hasMajority(p.promisers) {
		k.startAccepting()
	}
}

// Handle takes a message of another entry, or of this one.
func (k *Keeper) Handle(now clock.Millis, from ident.Incarnation, message msgs.Message) []Send {
	k.sends = nil
	switch message := message.(type) {
	case msgs.ViewPrepare:
		k.prepare(now, from, message)
	case msgs.ViewPromise:
		k.takePromise(now, from, message)
	case msgs.ViewAccept:
		k.accept(from, message)
	case msgs.ViewAccepted:
		k.takeAccepted(now, from, message)
	case msgs.ViewInstall:
		k.install(now, message)
		k.send(from, msgs.ViewInstalled{View: message.View})
	case msgs.ViewInstalled:
		k.installs = slices.DeleteFunc(k.installs, func(i install) bool {
			return i.to == from && i.view.View <= message.View
		})
	}
	return k.sends
}

func (k *Keeper) prepare(now clock.Millis, from ident.Incarnation, prepare msgs.ViewPrepare) {
	if prepare.View != k.number || !k.IsMember() || prepare.Ballot.Less(k.promised) {
		return
	}
	k.promised = prepare.Ballot
	k.sealed = true
	k.send(from, msgs.ViewPromise{
		View: k.number, Ballot: prepare.Ballot, Accepted: k.accepted, Members: k.proposed,
		Claims: k.table.Collect(now), Losses: lossesTold(now, k.table),
	})
}

func (k *Keeper) takePromise(now clock.Millis, from ident.Incarnation, promise msgs.ViewPromise) {
	p := k.proposal
	if p == nil || promise.View != k.number || promise.Ballot != p.ballot || p.accepting {
		return
	}
	if slices.Contains(p.promisers, from) {
		return
	}
	p.promisers = append(p.promisers, from)
	if !k.waived.Handover {
		p.collected.Merge(now, promise.Claims)
	}
	addLosses(now, p.collected, promise.Losses)
	if p.highest.Less(promise.Accepted) {
		p.highest = promise.Accepted
		p.wanted = promise.Members
	}
	if len(p.promisers) == len(k.members) || (k.waived.Majority && k.hasMajority(p.promisers)) {
		k.startAccepting()
	}
}

func (k *Keeper) startAccepting() {
	k.proposal.accepting = true
	for _, member := range k.proposal.promisers {
		k.send(member, msgs.ViewAccept{View: k.number, Ballot: k.proposal.ballot, Members: k.proposal.wanted})
	}
}

func (k *Keeper) accept(from ident.Incarnation, accept msgs.ViewAccept) {
	if accept.View != k.number || !k.IsMember() || accept.Ballot.Less(k.promised) {
		return
	}
	k.promised = accept.Ballot
	k.accepted = accept.Ballot
	k.proposed = accept.Members
	k.send(from, msgs.ViewAccepted{View: k.number, Ballot: accept.Ballot})
}

func (k *Keeper) takeAccepted(now clock.Millis, from ident.Incarnation, accepted msgs.ViewAccepted) {
	p := k.proposal
	if p == nil || accepted.View != k.number || accepted.Ballot != p.ballot || slices.Contains(p.accepters, from) {
		return
	}
	p.accepters = append(p.accepters, from)
	if !k.hasMajority(p.accepters) {
		return
	}
	if len(p.promisers) < len(k.members) {
		p.collected.AddLoss(votes.Loss{Members: k.members, Kept: sorted(p.promisers), At: now})
	}
	view := msgs.ViewInstall{
		View: k.number + 1, Members: p.wanted, Claims: p.collected.Collect(now), Losses: lossesTold(now, p.collected),
	}
	k.sends = append(k.sends, k.installAll(now, view)...)
}

// installAll starts the view here and at its other members.
func (k *Keeper) installAll(now clock.Millis, view msgs.ViewInstall) []Send {
	k.proposal = nil
	k.installs = nil
	for _, member := range view.Members {
		if member != k.self {
			part := view
			part.Claims = claimsOf(view, member)
			k.installs = append(k.installs, install{to: member, view: part, until: now + InstallSpan})
		}
	}
	k.install(now, view)
	before := k.sends
	k.sends = nil
	k.repeatInstalls(now)
	sends := k.sends
	k.sends = before
	return sends
}

// claimsOf returns the claims of the keys that the member witnesses in the view.
func claimsOf(view msgs.ViewInstall, member ident.Incarnation) []msgs.Claim {
	var claims []msgs.Claim
	for _, claim := range view.Claims {
		if slices.Contains(votes.Witnesses(claim.Scope, view.Members), member) {
			claims = append(claims, claim)
		}
	}
	return claims
}

func (k *Keeper) install(now clock.Millis, view msgs.ViewInstall) {
	if view.View <= k.number {
		return
	}
	k.number = view.View
	k.members = view.Members
	k.sealed = false
	k.promised = msgs.Ballot{}
	k.accepted = msgs.Ballot{}
	k.proposed = nil
	k.proposal = nil
	k.differsSince = 0
	k.table.Merge(now, view.Claims)
	addLosses(now, k.table, view.Losses)
}

func (k *Keeper) repeatInstalls(now clock.Millis) {
	k.installs = slices.DeleteFunc(k.installs, func(i install) bool {
		return now > i.until || i.view.View < k.number
	})
	for i := range k.installs {
		if now >= k.installs[i].nextAt {
			k.installs[i].nextAt = now + ResendSpan
			k.send(k.installs[i].to, k.installs[i].view)
		}
	}
}

func (k *Keeper) send(to ident.Incarnation, message msgs.Message) {
	k.sends = append(k.sends, Send{to, message})
}

func lossesTold(now clock.Millis, table *votes.Table) []msgs.Loss {
	var losses []msgs.Loss
	for _, loss := range table.Losses() {
		losses = append(losses, msgs.Loss{Members: loss.Members, Kept: loss.Kept, Age: now - loss.At})
	}
	return losses
}

func addLosses(now clock.Millis, table *votes.Table, losses []msgs.Loss) {
	for _, loss := range losses {
		table.AddLoss(votes.Loss{Members: loss.Members, Kept: loss.Kept, At: now - loss.Age})
	}
}

func sorted(members []ident.Incarnation) []ident.Incarnation {
	ordered := slices.Clone(members)
	slices.SortFunc(ordered, func(a, b ident.Incarnation) int {
		if a.Less(b) {
			return -1
		}
		if b.Less(a) {
			return 1
		}
		return 0
	})
	return ordered
}
