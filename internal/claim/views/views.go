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
	// precedes this entry in the view, so that members rarely compete.
	RankDelay = 1500 * clock.Millis(1)
	// PromiseTimeout is how long a proposer waits for promises of all members before
	// it continues with those of a majority.
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

	// Membership is the state of the membership protocol at one entry, including the
	// claims that the entry stores as a witness.
	Membership struct {
		self     ident.Incarnation
		disabled rules.Disabled
		table    *votes.Table

		number  uint64
		members []ident.Incarnation
		// sealed means that this entry promised a ballot and no longer votes in its view.
		sealed bool

		// promised is the highest ballot that this entry promised. accepted is the last
		// ballot that it accepted and acceptedMembers the members that it proposes.
		promised        msgs.Ballot
		accepted        msgs.Ballot
		acceptedMembers []ident.Incarnation

		// differsSince is the time at which the view was first found to differ from the
		// target members, or zero if it does not.
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
		// target.
		highest   msgs.Ballot
		promisers []ident.Incarnation
		accepters []ident.Incarnation
		accepting bool
		// collected merges the claims and losses of the promises.
		collected *votes.Table
	}

	// install is the installation of a view at a member that has not confirmed it.
	install struct {
		to   ident.Incarnation
		view msgs.ViewInstall
		// until is the time at which the proposer stops retrying.
		until  clock.Millis
		nextAt clock.Millis
	}
)

// NewMembership returns a Membership without a view.
func NewMembership(self ident.Incarnation, disabled rules.Disabled) *Membership {
	return &Membership{self: self, disabled: disabled, table: votes.NewTable(disabled)}
}

// Number returns the number of the view, or zero if there is none.
func (m *Membership) Number() uint64 { return m.number }

// Members returns the members of the view.
func (m *Membership) Members() []ident.Incarnation { return m.members }

// Table returns the claims that this entry stores as a witness.
func (m *Membership) Table() *votes.Table { return m.table }

// IsMember reports whether this entry is a member of its view.
func (m *Membership) IsMember() bool { return slices.Contains(m.members, m.self) }

// MayVote reports whether this entry may vote in the view with the given number. inView
// lists the entries that recently reported the same view. If they are no majority of the
// view, this entry may not vote, since the others may have changed the view without it.
func (m *Membership) MayVote(number uint64, inView []ident.Incarnation) bool {
	isUnsealed := !m.sealed || m.disabled.Seal
	isSameView := number == m.number || m.disabled.ViewAgreement
	hasContact := HasMajority(m.members, inView) || m.disabled.Contact
	return m.number > 0 && m.IsMember() && isUnsealed && isSameView && hasContact
}

// Bootstrap starts a view that no earlier view decided on. The caller must have made
// sure that no other member has a usable view. If claimsLost is set, keys that may have
// been claimed before are treated as uncertain.
func (m *Membership) Bootstrap(now clock.Millis, members []ident.Incarnation, claimsLost bool) []Outgoing {
	var losses []msgs.Loss
	if claimsLost {
		losses = append(losses, msgs.Loss{Members: m.members})
	}
	view := msgs.ViewInstall{View: max(uint64(now), m.number+1), Members: sortMembers(members), Losses: losses}
	return m.installAll(now, view)
}

// Vote votes on a key at the request of a dispatcher of the failure domain. The verdict
// is VoteStale if MayVote is false.
func (m *Membership) Vote(now clock.Millis, request msgs.VoteAsk, inView []ident.Incarnation) msgs.VoteGive {
	if !m.MayVote(request.View, inView) {
		return msgs.VoteGive{View: m.number, Scope: request.Scope, Attempt: request.Attempt, Verdict: msgs.VoteStale}
	}
	return m.table.Vote(now, request)
}

// Tick proposes a change of the view once the view has differed from the target members
// for long enough, advances a running proposal, repeats installations and removes
// expired claims. reachable lists the entries that this one receives messages from,
// itself included; those that are leaving are reachable without being targets. If
// lagging is set, a live member lacks the view, and the change installs it again.
func (m *Membership) Tick(now clock.Millis, target, reachable []ident.Incarnation, lagging bool) []Outgoing {
	m.outgoing = nil
	m.table.Expire(now)
	m.repeatInstalls(now)
	if m.proposal != nil {
		m.advanceProposal(now)
		return m.outgoing
	}
	target = sortMembers(target)
	isSame := slices.Equal(target, m.members) && !m.sealed && !lagging
	if m.number == 0 || !m.IsMember() || isSame {
		m.differsSince = 0
		return m.outgoing
	}
	if m.differsSince == 0 {
		m.differsSince = now
	}
	if now-m.differsSince >= ChangeDelay+m.rankDelay(reachable) && m.hasMajority(reachable) {
		m.propose(now, target)
	}
	return m.outgoing
}

// rankDelay returns the delay that lets the first reachable member of the view propose
// before the others.
func (m *Membership) rankDelay(reachable []ident.Incarnation) clock.Millis {
	rank := 0
	for _, member := range m.members {
		if member == m.self {
			break
		}
		if slices.Contains(reachable, member) {
			rank++
		}
	}
	return RankDelay * clock.Millis(rank)
}

func (m *Membership) hasMajority(present []ident.Incarnation) bool {
	return m.disabled.Majority || HasMajority(m.members, present)
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

// propose starts a new ballot and asks all members of the view to promise it.
func (m *Membership) propose(now clock.Millis, target []ident.Incarnation) {
	ballot := msgs.Ballot{Round: m.promised.Round + 1, Proposer: m.self}
	m.proposal = &proposal{
		ballot: ballot, startedAt: now, target: target, collected: votes.NewTable(m.disabled),
	}
	for _, member := range m.members {
		m.enqueue(member, msgs.ViewPrepare{View: m.number, Ballot: ballot})
	}
}

// advanceProposal starts the accept phase when a majority promised and slow members
// had enough time to do so. It drops a proposal that took too long.
func (m *Membership) advanceProposal(now clock.Millis) {
	p := m.proposal
	if now-p.startedAt > ProposalTimeout {
		m.proposal = nil
		m.differsSince = now
		return
	}
	if !p.accepting && now-p.startedAt >= PromiseTimeout && m.hasMajority(p.promisers) {
		m.startAccepting()
	}
}

// Handle processes a protocol message from another entry or from this one and returns
// the messages to send.
func (m *Membership) Handle(now clock.Millis, from ident.Incarnation, message msgs.Message) []Outgoing {
	m.outgoing = nil
	switch message := message.(type) {
	case msgs.ViewPrepare:
		m.handlePrepare(now, from, message)
	case msgs.ViewPromise:
		m.handlePromise(now, from, message)
	case msgs.ViewAccept:
		m.handleAccept(from, message)
	case msgs.ViewAccepted:
		m.handleAccepted(now, from, message)
	case msgs.ViewInstall:
		m.install(now, message)
		m.enqueue(from, msgs.ViewInstalled{View: message.View})
	case msgs.ViewInstalled:
		m.installs = slices.DeleteFunc(m.installs, func(i install) bool {
			return i.to == from && i.view.View <= message.View
		})
	}
	return m.outgoing
}

func (m *Membership) handlePrepare(now clock.Millis, from ident.Incarnation, prepare msgs.ViewPrepare) {
	if prepare.View != m.number || !m.IsMember() || prepare.Ballot.Less(m.promised) {
		return
	}
	m.promised = prepare.Ballot
	m.sealed = true
	m.enqueue(from, msgs.ViewPromise{
		View: m.number, Ballot: prepare.Ballot, Accepted: m.accepted, Members: m.acceptedMembers,
		Claims: m.table.Export(now), Losses: exportLosses(now, m.table),
	})
}

func (m *Membership) handlePromise(now clock.Millis, from ident.Incarnation, promise msgs.ViewPromise) {
	p := m.proposal
	if p == nil || promise.View != m.number || promise.Ballot != p.ballot || p.accepting {
		return
	}
	if slices.Contains(p.promisers, from) {
		return
	}
	p.promisers = append(p.promisers, from)
	if !m.disabled.Handover {
		p.collected.Merge(now, promise.Claims)
	}
	importLosses(now, p.collected, promise.Losses)
	if p.highest.Less(promise.Accepted) {
		p.highest = promise.Accepted
		p.target = promise.Members
	}
	if len(p.promisers) == len(m.members) || (m.disabled.Majority && m.hasMajority(p.promisers)) {
		m.startAccepting()
	}
}

// startAccepting asks the members that promised the ballot to accept it.
func (m *Membership) startAccepting() {
	m.proposal.accepting = true
	for _, member := range m.proposal.promisers {
		m.enqueue(member, msgs.ViewAccept{View: m.number, Ballot: m.proposal.ballot, Members: m.proposal.target})
	}
}

func (m *Membership) handleAccept(from ident.Incarnation, accept msgs.ViewAccept) {
	if accept.View != m.number || !m.IsMember() || accept.Ballot.Less(m.promised) {
		return
	}
	m.promised = accept.Ballot
	m.accepted = accept.Ballot
	m.acceptedMembers = accept.Members
	m.enqueue(from, msgs.ViewAccepted{View: m.number, Ballot: accept.Ballot})
}

func (m *Membership) handleAccepted(now clock.Millis, from ident.Incarnation, accepted msgs.ViewAccepted) {
	p := m.proposal
	if p == nil || accepted.View != m.number || accepted.Ballot != p.ballot || slices.Contains(p.accepters, from) {
		return
	}
	p.accepters = append(p.accepters, from)
	if !m.hasMajority(p.accepters) {
		return
	}
	if len(p.promisers) < len(m.members) {
		p.collected.AddLoss(votes.Loss{Members: m.members, Kept: sortMembers(p.promisers), At: now})
	}
	view := msgs.ViewInstall{
		View: m.number + 1, Members: p.target, Claims: p.collected.Export(now), Losses: exportLosses(now, p.collected),
	}
	m.outgoing = append(m.outgoing, m.installAll(now, view)...)
}

// installAll installs the view at this entry and returns the messages that install it
// at the other members. Until they confirm it, Tick repeats the messages.
func (m *Membership) installAll(now clock.Millis, view msgs.ViewInstall) []Outgoing {
	m.proposal = nil
	m.installs = nil
	for _, member := range view.Members {
		if member != m.self {
			memberView := view
			memberView.Claims = claimsFor(view, member)
			m.installs = append(m.installs, install{to: member, view: memberView, until: now + InstallTimeout})
		}
	}
	m.install(now, view)
	pending := m.outgoing
	m.outgoing = nil
	m.repeatInstalls(now)
	outgoing := m.outgoing
	m.outgoing = pending
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
func (m *Membership) install(now clock.Millis, view msgs.ViewInstall) {
	if view.View <= m.number {
		return
	}
	m.number = view.View
	m.members = view.Members
	m.sealed = false
	m.promised = msgs.Ballot{}
	m.accepted = msgs.Ballot{}
	m.acceptedMembers = nil
	m.proposal = nil
	m.differsSince = 0
	m.table.Merge(now, view.Claims)
	importLosses(now, m.table, view.Losses)
}

// repeatInstalls sends the installations that are due and drops those that timed out or
// belong to an earlier view.
func (m *Membership) repeatInstalls(now clock.Millis) {
	m.installs = slices.DeleteFunc(m.installs, func(i install) bool {
		return now > i.until || i.view.View < m.number
	})
	for i := range m.installs {
		if now >= m.installs[i].nextAt {
			m.installs[i].nextAt = now + InstallRetryInterval
			m.enqueue(m.installs[i].to, m.installs[i].view)
		}
	}
}

func (m *Membership) enqueue(to ident.Incarnation, message msgs.Message) {
	m.outgoing = append(m.outgoing, Outgoing{to, message})
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
