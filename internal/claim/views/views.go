// Package views implements the membership protocol of a failure domain. A view is the
// numbered list of entries that act as witnesses and vote on idempotency keys. A
// majority of the members of a view decides on the next one, so that after a network
// partition at most one side can change its view.
//
// Members decide by ballots in the manner of Paxos and keep all state in memory. A
// member that promises a ballot stops voting on keys (its view is sealed) and hands
// over its claims with the promise. The next view starts with the claims of all
// members that promised. An entry that restarts has a new incarnation and therefore
// counts as a different member.
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
	// ChangeDelay is how long the target members must differ from those of the view
	// before a change is proposed.
	ChangeDelay = 1 * clock.Second
	// RankDelay is the additional delay before a proposal for each live member that
	// precedes this entry in the view, so that members seldom compete.
	RankDelay = 1500 * clock.Millis(1)
	// PromiseTimeout is how long a proposer waits for promises of all members before
	// it goes on with those of a majority.
	PromiseTimeout = 500 * clock.Millis(1)
	// ProposalTimeout is how long a proposal may take before it is dropped.
	ProposalTimeout = 2 * clock.Second
	// InstallRetryInterval is the time between two attempts to install a view at a
	// member.
	InstallRetryInterval = 300 * clock.Millis(1)
	// InstallTimeout is how long a proposer keeps trying to install a view.
	InstallTimeout = 10 * clock.Second
	// LaggingTimeout is how long a live member may lack the view before the others
	// propose a change, which installs a view at all members. It is longer than
	// InstallTimeout.
	LaggingTimeout = 12 * clock.Second
)

type (
	// Outgoing is a message to send to an entry of the failure domain.
	Outgoing struct {
		To      ident.Incarnation
		Message msgs.Message
	}

	// Keeper runs the membership protocol of one entry and holds its view and its
	// claims as a witness.
	Keeper struct {
		self   ident.Incarnation
		waived rules.Waived
		table  *votes.Table

		number  uint64
		members []ident.Incarnation
		// sealed means that this entry promised a ballot and votes no more in its view.
		sealed bool

		// promised is the highest ballot that this entry promised, accepted the last one
		// that it accepted, with acceptedMembers as the members of the next view.
		promised        msgs.Ballot
		accepted        msgs.Ballot
		acceptedMembers []ident.Incarnation

		// differsSince is when the view began to differ from the target members; zero
		// means that it agrees.
		differsSince clock.Millis
		proposal     *proposal
		installs     []install
		outgoing     []Outgoing
	}

	// proposal is a ballot that this entry proposed.
	proposal struct {
		ballot    msgs.Ballot
		startedAt clock.Millis
		target    []ident.Incarnation
		// highest is the highest accepted ballot among the promises. Its members replace
		// the target.
		highest   msgs.Ballot
		promisers []ident.Incarnation
		accepters []ident.Incarnation
		accepting bool
		collected *votes.Table
	}

	// install is the installation of a view at a member that has not confirmed it.
	install struct {
		to     ident.Incarnation
		view   msgs.ViewInstall
		until  clock.Millis
		nextAt clock.Millis
	}
)

// NewKeeper returns a keeper that has no view.
func NewKeeper(self ident.Incarnation, waived rules.Waived) *Keeper {
	return &Keeper{self: self, waived: waived, table: votes.NewTable(waived)}
}

// Number returns the number of the view, or zero if there is none.
func (k *Keeper) Number() uint64 { return k.number }

// Members returns the members of the view.
func (k *Keeper) Members() []ident.Incarnation { return k.members }

// Table returns the claims that this entry holds as a witness.
func (k *Keeper) Table() *votes.Table { return k.table }

// IsMember reports whether this entry is a member of its view.
func (k *Keeper) IsMember() bool { return slices.Contains(k.members, k.self) }

// MayVote reports whether this entry may vote in the view with the number. inView lists
// the entries that recently reported the same view. Without a majority of the view
// among them the entry may not vote, since the others may have changed the view
// without it.
func (k *Keeper) MayVote(number uint64, inView []ident.Incarnation) bool {
	isUnsealed := !k.sealed || k.waived.Seal
	isSameView := number == k.number || k.waived.ViewAgreement
	hasContact := HasMajority(k.members, inView) || k.waived.Contact
	return k.number > 0 && k.IsMember() && isUnsealed && isSameView && hasContact
}

// Bootstrap starts a view that no earlier view decided on. The caller must have made
// sure that no other member has a usable view. If claimsLost is set, keys that may have
// been claimed before are treated as uncertain.
func (k *Keeper) Bootstrap(now clock.Millis, members []ident.Incarnation, claimsLost bool) []Outgoing {
	var losses []msgs.Loss
	if claimsLost {
		losses = append(losses, msgs.Loss{Members: k.members})
	}
	view := msgs.ViewInstall{View: max(uint64(now), k.number+1), Members: sortMembers(members), Losses: losses}
	return k.installAll(now, view)
}

// Vote votes on a key at the request of a dispatcher of the failure domain. The verdict
// is VoteStale if MayVote is false.
func (k *Keeper) Vote(now clock.Millis, request msgs.VoteAsk, inView []ident.Incarnation) msgs.VoteGive {
	if !k.MayVote(request.View, inView) {
		return msgs.VoteGive{View: k.number, Scope: request.Scope, Attempt: request.Attempt, Verdict: msgs.VoteStale}
	}
	return k.table.Vote(now, request)
}

// Tick proposes a change of the view once the view has differed from the target members
// for long enough, advances a running proposal, repeats installations and removes
// expired claims. reachable lists the entries that this one receives messages from,
// itself included; those that are leaving are reachable without being targets. If
// lagging is set, a live member lacks the view, and the change installs it anew.
func (k *Keeper) Tick(now clock.Millis, target, reachable []ident.Incarnation, lagging bool) []Outgoing {
	k.outgoing = nil
	k.table.Expire(now)
	k.repeatInstalls(now)
	if k.proposal != nil {
		k.advanceProposal(now)
		return k.outgoing
	}
	target = sortMembers(target)
	isSame := slices.Equal(target, k.members) && !k.sealed && !lagging
	if k.number == 0 || !k.IsMember() || isSame {
		k.differsSince = 0
		return k.outgoing
	}
	if k.differsSince == 0 {
		k.differsSince = now
	}
	if now-k.differsSince >= ChangeDelay+k.rankDelay(reachable) && k.hasMajority(reachable) {
		k.propose(now, target)
	}
	return k.outgoing
}

// rankDelay returns the delay that lets the first reachable member of the view propose
// before the others.
func (k *Keeper) rankDelay(reachable []ident.Incarnation) clock.Millis {
	rank := 0
	for _, member := range k.members {
		if member == k.self {
			break
		}
		if slices.Contains(reachable, member) {
			rank++
		}
	}
	return RankDelay * clock.Millis(rank)
}

func (k *Keeper) hasMajority(present []ident.Incarnation) bool {
	return k.waived.Majority || HasMajority(k.members, present)
}

// HasMajority reports whether the members that are present may decide for all of them:
// they are more than half, or exactly half including the first member. Any two such
// subsets have a member in common.
func HasMajority(members, present []ident.Incarnation) bool {
	count := 0
	for _, member := range members {
		if slices.Contains(present, member) {
			count++
		}
	}
	isHalf := len(members) > 0 && 2*count == len(members)
	return 2*count > len(members) || (isHalf && slices.Contains(present, members[0]))
}

func (k *Keeper) propose(now clock.Millis, target []ident.Incarnation) {
	ballot := msgs.Ballot{Round: k.promised.Round + 1, Proposer: k.self}
	k.proposal = &proposal{
		ballot: ballot, startedAt: now, target: target, collected: votes.NewTable(k.waived),
	}
	for _, member := range k.members {
		k.enqueue(member, msgs.ViewPrepare{View: k.number, Ballot: ballot})
	}
}

// advanceProposal starts the accept phase when a majority promised and slow members
// had enough time to do so. It drops a proposal that took too long.
func (k *Keeper) advanceProposal(now clock.Millis) {
	p := k.proposal
	if now-p.startedAt > ProposalTimeout {
		k.proposal = nil
		k.differsSince = now
		return
	}
	if !p.accepting && now-p.startedAt >= PromiseTimeout && k.hasMajority(p.promisers) {
		k.startAccepting()
	}
}

// Handle processes a protocol message of another entry or of this one and returns the
// messages to send.
func (k *Keeper) Handle(now clock.Millis, from ident.Incarnation, message msgs.Message) []Outgoing {
	k.outgoing = nil
	switch message := message.(type) {
	case msgs.ViewPrepare:
		k.handlePrepare(now, from, message)
	case msgs.ViewPromise:
		k.handlePromise(now, from, message)
	case msgs.ViewAccept:
		k.handleAccept(from, message)
	case msgs.ViewAccepted:
		k.handleAccepted(now, from, message)
	case msgs.ViewInstall:
		k.install(now, message)
		k.enqueue(from, msgs.ViewInstalled{View: message.View})
	case msgs.ViewInstalled:
		k.installs = slices.DeleteFunc(k.installs, func(i install) bool {
			return i.to == from && i.view.View <= message.View
		})
	}
	return k.outgoing
}

func (k *Keeper) handlePrepare(now clock.Millis, from ident.Incarnation, prepare msgs.ViewPrepare) {
	if prepare.View != k.number || !k.IsMember() || prepare.Ballot.Less(k.promised) {
		return
	}
	k.promised = prepare.Ballot
	k.sealed = true
	k.enqueue(from, msgs.ViewPromise{
		View: k.number, Ballot: prepare.Ballot, Accepted: k.accepted, Members: k.acceptedMembers,
		Claims: k.table.Export(now), Losses: exportLosses(now, k.table),
	})
}

func (k *Keeper) handlePromise(now clock.Millis, from ident.Incarnation, promise msgs.ViewPromise) {
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
	importLosses(now, p.collected, promise.Losses)
	if p.highest.Less(promise.Accepted) {
		p.highest = promise.Accepted
		p.target = promise.Members
	}
	if len(p.promisers) == len(k.members) || (k.waived.Majority && k.hasMajority(p.promisers)) {
		k.startAccepting()
	}
}

func (k *Keeper) startAccepting() {
	k.proposal.accepting = true
	for _, member := range k.proposal.promisers {
		k.enqueue(member, msgs.ViewAccept{View: k.number, Ballot: k.proposal.ballot, Members: k.proposal.target})
	}
}

func (k *Keeper) handleAccept(from ident.Incarnation, accept msgs.ViewAccept) {
	if accept.View != k.number || !k.IsMember() || accept.Ballot.Less(k.promised) {
		return
	}
	k.promised = accept.Ballot
	k.accepted = accept.Ballot
	k.acceptedMembers = accept.Members
	k.enqueue(from, msgs.ViewAccepted{View: k.number, Ballot: accept.Ballot})
}

func (k *Keeper) handleAccepted(now clock.Millis, from ident.Incarnation, accepted msgs.ViewAccepted) {
	p := k.proposal
	if p == nil || accepted.View != k.number || accepted.Ballot != p.ballot || slices.Contains(p.accepters, from) {
		return
	}
	p.accepters = append(p.accepters, from)
	if !k.hasMajority(p.accepters) {
		return
	}
	if len(p.promisers) < len(k.members) {
		p.collected.AddLoss(votes.Loss{Members: k.members, Kept: sortMembers(p.promisers), At: now})
	}
	view := msgs.ViewInstall{
		View: k.number + 1, Members: p.target, Claims: p.collected.Export(now), Losses: exportLosses(now, p.collected),
	}
	k.outgoing = append(k.outgoing, k.installAll(now, view)...)
}

// installAll installs the view at this entry and returns the messages that install it
// at the other members. Until they confirm it, Tick repeats the messages.
func (k *Keeper) installAll(now clock.Millis, view msgs.ViewInstall) []Outgoing {
	k.proposal = nil
	k.installs = nil
	for _, member := range view.Members {
		if member != k.self {
			memberView := view
			memberView.Claims = claimsFor(view, member)
			k.installs = append(k.installs, install{to: member, view: memberView, until: now + InstallTimeout})
		}
	}
	k.install(now, view)
	pending := k.outgoing
	k.outgoing = nil
	k.repeatInstalls(now)
	outgoing := k.outgoing
	k.outgoing = pending
	return outgoing
}

// claimsFor returns the claims of the keys that the member is a witness of in the view.
func claimsFor(view msgs.ViewInstall, member ident.Incarnation) []msgs.Claim {
	var claims []msgs.Claim
	for _, claim := range view.Claims {
		if slices.Contains(votes.Witnesses(claim.Scope, view.Members), member) {
			claims = append(claims, claim)
		}
	}
	return claims
}

// install replaces the view of this entry and ends the ballots of the previous one. It
// ignores views that are not newer.
func (k *Keeper) install(now clock.Millis, view msgs.ViewInstall) {
	if view.View <= k.number {
		return
	}
	k.number = view.View
	k.members = view.Members
	k.sealed = false
	k.promised = msgs.Ballot{}
	k.accepted = msgs.Ballot{}
	k.acceptedMembers = nil
	k.proposal = nil
	k.differsSince = 0
	k.table.Merge(now, view.Claims)
	importLosses(now, k.table, view.Losses)
}

// repeatInstalls sends the installations that are due and drops those that timed out or
// belong to an earlier view.
func (k *Keeper) repeatInstalls(now clock.Millis) {
	k.installs = slices.DeleteFunc(k.installs, func(i install) bool {
		return now > i.until || i.view.View < k.number
	})
	for i := range k.installs {
		if now >= k.installs[i].nextAt {
			k.installs[i].nextAt = now + InstallRetryInterval
			k.enqueue(k.installs[i].to, k.installs[i].view)
		}
	}
}

func (k *Keeper) enqueue(to ident.Incarnation, message msgs.Message) {
	k.outgoing = append(k.outgoing, Outgoing{to, message})
}

// exportLosses returns the losses of the table with their ages at now.
func exportLosses(now clock.Millis, table *votes.Table) []msgs.Loss {
	var losses []msgs.Loss
	for _, loss := range table.Losses() {
		losses = append(losses, msgs.Loss{Members: loss.Members, Kept: loss.Kept, Age: now - loss.At})
	}
	return losses
}

func importLosses(now clock.Millis, table *votes.Table, losses []msgs.Loss) {
	for _, loss := range losses {
		table.AddLoss(votes.Loss{Members: loss.Members, Kept: loss.Kept, At: now - loss.Age})
	}
}

func sortMembers(members []ident.Incarnation) []ident.Incarnation {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b ident.Incarnation) int {
		if a.Less(b) {
			return -1
		}
		if b.Less(a) {
			return 1
		}
		return 0
	})
	return sorted
}
