// Package voter implements the controller for an entry's role as a witness. It maintains
// the view of the entry's failure domain and answers the vote requests of dispatchers.
package voter

import (
	"mustardhook/internal/claim/views"
	"mustardhook/internal/core/action"
	"mustardhook/internal/core/board"
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/event"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/core/loop"
	"mustardhook/internal/core/msgs"
	"mustardhook/internal/peer/gossip"
	"mustardhook/internal/peer/roster"
)

const (
	// ResetTimeout is how long a majority of the view must be missing from the
	// platform's list and unresponsive before the remaining members start a new
	// view. It is longer than the lag of the list and any pause of a process.
	ResetTimeout = 60 * clock.Second
)

type (
	controller struct{}
)

// NewController returns a controller for the view of witnesses and for vote requests.
func NewController() loop.Controller { return controller{} }

// Step handles one event.
func (controller) Step(b *board.Board, input event.Event) {
	before := b.Membership.Number()
	switch input := input.(type) {
	case event.Ticked:
		tick(b)
	case event.MessageCame:
		handleMessage(b, input.From, input.Message)
	}
	if b.Membership.Number() != before {
		recordView(b, b.Domain, b.Membership.Number())
		b.Audit(action.AuditClaim, string(b.Domain), "New view of witnesses.")
	}
}

func tick(b *board.Board) {
	sendMessages(b, b.Membership.Tick(b.Now, targetMembers(b), ReachableEntries(b), hasLaggingMember(b)))
	if b.Membership.Number() == 0 {
		bootstrapView(b)
		return
	}
	resetView(b)
}

// hasLaggingMember reports whether a reachable member of the view has lacked it for
// longer than views.LaggingTimeout. It updates Peer.LaggingSince of each member.
func hasLaggingMember(b *board.Board) bool {
	lagging := false
	for _, member := range b.Membership.Members() {
		peer, reachable := roster.Find(b, member)
		if !reachable || peer.Member.View >= b.Membership.Number() {
			if peer != nil {
				peer.LaggingSince = 0
			}
			continue
		}
		if peer.LaggingSince == 0 {
			peer.LaggingSince = b.Now
		}
		lagging = lagging || b.Now-peer.LaggingSince > views.LaggingTimeout
	}
	return lagging
}

// targetMembers returns the members that the view should have.
func targetMembers(b *board.Board) []ident.Incarnation {
	var members []ident.Incarnation
	if !b.Stopping {
		members = append(members, b.Self)
	}
	for _, peer := range roster.LiveIn(b, b.Domain) {
		members = append(members, peer.Member.Incarnation)
	}
	return members
}

// ReachableEntries returns the reachable entries of the failure domain, including those
// that are leaving and this one.
func ReachableEntries(b *board.Board) []ident.Incarnation {
	return reachableInDomain(b, func(*board.Peer) bool { return true })
}

// EntriesInView returns the reachable entries that are known to have been in this
// entry's view within the last roster.UnresponsiveTimeout, and this entry itself.
func EntriesInView(b *board.Board) []ident.Incarnation {
	return reachableInDomain(b, func(peer *board.Peer) bool {
		isOutdated := b.Now-peer.ViewSeenAt > roster.UnresponsiveTimeout
		return peer.Member.View == b.Membership.Number() && !isOutdated
	})
}

func reachableInDomain(b *board.Board, matches func(*board.Peer) bool) []ident.Incarnation {
	members := []ident.Incarnation{b.Self}
	for _, name := range board.Sorted(b.Peers) {
		peer := b.Peers[name]
		if peer.Member.Domain == b.Domain && roster.IsReachable(b, peer) && matches(peer) {
			members = append(members, peer.Member.Incarnation)
		}
	}
	return members
}

// bootstrapView starts the first view once every entry that the platform lists for the
// failure domain is reachable and has no view, and this entry is the first of them by
// name. If there may have been an earlier view, it waits for ResetTimeout and treats
// earlier claims as lost.
func bootstrapView(b *board.Board) {
	waited := b.Now - max(b.StartedAt, b.ResumedAt)
	if waited < gossip.DiscoveryTimeout || !b.Listed || b.Stopping || !isFirstInDomain(b) || !noneHasView(b) {
		return
	}
	claimsLost := b.ViewsSeen[b.Domain] > 0 || !hasOutsideContact(b)
	if claimsLost && waited < ResetTimeout {
		return
	}
	sendMessages(b, b.Membership.Bootstrap(b.Now, targetMembers(b), claimsLost))
}

// isFirstMember reports whether this entry is the first reachable member of its view.
func isFirstMember(b *board.Board) bool {
	for _, member := range b.Membership.Members() {
		if _, reachable := roster.Find(b, member); reachable && member.Less(b.Self) {
			return false
		}
	}
	return b.Membership.IsMember()
}

// isFirstInDomain reports whether this entry is the first live entry of its failure
// domain by name.
func isFirstInDomain(b *board.Board) bool {
	for _, peer := range roster.LiveIn(b, b.Domain) {
		if peer.Member.Incarnation.Entry < b.Self.Entry {
			return false
		}
	}
	return true
}

// noneHasView reports whether every listed entry of the failure domain is reachable and
// no reachable one has a view. It ignores entries that are leaving.
func noneHasView(b *board.Board) bool {
	for _, name := range board.Sorted(b.Peers) {
		peer := b.Peers[name]
		if peer.Member.Domain != b.Domain || peer.Member.Leaving {
			continue
		}
		isReachable := roster.IsReachable(b, peer)
		if (peer.Listed && !isReachable) || (isReachable && peer.Member.View > 0) {
			return false
		}
	}
	return true
}

// hasOutsideContact reports whether an entry of another failure domain was seen or the
// platform lists none. Such an entry would have reported an earlier view of this failure
// domain.
func hasOutsideContact(b *board.Board) bool {
	listed := false
	for _, name := range board.Sorted(b.Peers) {
		peer := b.Peers[name]
		if peer.Member.Domain == b.Domain {
			continue
		}
		if peer.LastSeenAt > 0 {
			return true
		}
		listed = listed || peer.Listed
	}
	return !listed
}

// resetView starts a new view when a majority of the current one has been lost for at
// least ResetTimeout.
func resetView(b *board.Board) {
	var remaining []ident.Incarnation
	for _, member := range b.Membership.Members() {
		if !isLost(b, member) {
			remaining = append(remaining, member)
		}
	}
	hasMajority := views.HasMajority(b.Membership.Members(), remaining)
	if hasMajority || b.Platform.IsUnavailable() || !b.Listed || !isFirstMember(b) || b.Stopping {
		b.MajorityLostAt = 0
		return
	}
	if b.MajorityLostAt == 0 {
		b.MajorityLostAt = b.Now
	}
	if b.Now-b.MajorityLostAt < ResetTimeout {
		return
	}
	b.MajorityLostAt = 0
	b.Audit(action.AuditClaim, string(b.Domain), "Majority of witnesses is gone, older keys are in doubt.")
	sendMessages(b, b.Membership.Bootstrap(b.Now, targetMembers(b), true))
}

// isLost reports whether the member restarted, or is neither listed nor reachable.
func isLost(b *board.Board, member ident.Incarnation) bool {
	if member == b.Self {
		return false
	}
	peer := b.Peers[member.Entry]
	if peer == nil {
		return true
	}
	isReplaced := peer.Member.Incarnation != member
	return isReplaced || (!peer.Listed && !roster.IsReachable(b, peer))
}

func handleMessage(b *board.Board, from msgs.Member, message msgs.Message) {
	switch message := message.(type) {
	case msgs.Gossip:
		recordViews(b, from, message)
	case msgs.VoteAsk:
		reply := b.Membership.Vote(b.Now, message, EntriesInView(b))
		b.Emit(action.SendMessage{Address: from.Address, Message: reply})
	case msgs.VoteRelease:
		b.Membership.Table().Release(message.Scope, message.Attempt)
	case msgs.Learn:
		b.Membership.Table().Learn(b.Now, message)
	default:
		if from.Domain == b.Domain {
			sendMessages(b, b.Membership.Handle(b.Now, from.Incarnation, message))
		}
	}
}

// recordViews records the view numbers that the digest reports.
func recordViews(b *board.Board, from msgs.Member, digest msgs.Gossip) {
	recordView(b, from.Domain, from.View)
	for _, view := range digest.Views {
		recordView(b, view.Domain, view.Number)
	}
}

func recordView(b *board.Board, domain ident.Domain, number uint64) {
	if number > b.ViewsSeen[domain] {
		b.ViewsSeen[domain] = number
	}
}

// sendMessages emits an action for each message of the membership protocol. Messages to
// this entry itself are handled immediately, as are the messages that result from them.
func sendMessages(b *board.Board, outgoing []views.Outgoing) {
	for len(outgoing) > 0 {
		next := outgoing[0]
		outgoing = outgoing[1:]
		if next.To == b.Self {
			outgoing = append(outgoing, b.Membership.Handle(b.Now, b.Self, next.Message)...)
			continue
		}
		if peer := b.Peers[next.To.Entry]; peer != nil {
			b.Emit(action.SendMessage{Address: peer.Member.Address, Message: next.Message})
		}
	}
}
