// Package panel holds the controller of an entry's part as a witness: it keeps
// the view of its failure domain going and answers dispatchers.
package panel

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
	// ResetAfter is how long a majority of the view must be gone from the
	// platform's list and silent before the others start anew. It is longer than
	// the list's lag and any pause.
	ResetAfter = 60 * clock.Second
)

type (
	controller struct{}
)

// NewController returns the controller of the view of witnesses.
func NewController() loop.Controller { return controller{} }

// Step handles one event.
func (controller) Step(b *board.Board, happened event.Event) {
	before := b.Keeper.Number()
	switch happened := happened.(type) {
	case event.Ticked:
		tick(b)
	case event.MessageCame:
		take(b, happened.From, happened.Message)
	}
	if b.Keeper.Number() != before {
		see(b, b.Domain, b.Keeper.Number())
		b.Audit(action.AuditClaim, string(b.Domain), "New view of witnesses.")
	}
}

func tick(b *board.Board) {
	Send(b, b.Keeper.Tick(b.Now, wanted(b), Live(b), isBehind(b)))
	if b.Keeper.Number() == 0 {
		found(b)
		return
	}
	reset(b)
}

// isBehind reports whether a live member of the view has lacked it for too long.
func isBehind(b *board.Board) bool {
	behind := false
	for _, member := range b.Keeper.Members() {
		peer, reachable := roster.Find(b, member)
		if !reachable || peer.Member.View >= b.Keeper.Number() {
			if peer != nil {
				peer.LaggingSince = 0
			}
			continue
		}
		if peer.LaggingSince == 0 {
			peer.LaggingSince = b.Now
		}
		behind = behind || b.Now-peer.LaggingSince > views.BehindSpan
	}
	return behind
}

// wanted returns the members that the view should have.
func wanted(b *board.Board) []ident.Incarnation {
	var members []ident.Incarnation
	if !b.Stopping {
		members = append(members, b.Self)
	}
	for _, peer := range roster.LiveIn(b, b.Domain) {
		members = append(members, peer.Member.Incarnation)
	}
	return members
}

// Live returns the entries of the failure domain that this one hears, leaving
// ones and itself among them.
func Live(b *board.Board) []ident.Incarnation {
	return heardIn(b, func(*board.Peer) bool { return true })
}

// InView returns the entries that this one heard lately to be in its own view,
// itself among them.
func InView(b *board.Board) []ident.Incarnation {
	return heardIn(b, func(peer *board.Peer) bool {
		isLate := b.Now-peer.ViewSeenAt > roster.SilenceLimit
		return peer.Member.View == b.Keeper.Number() && !isLate
	})
}

func heardIn(b *board.Board, which func(*board.Peer) bool) []ident.Incarnation {
	members := []ident.Incarnation{b.Self}
	for _, name := range board.Sorted(b.Peers) {
		peer := b.Peers[name]
		if peer.Member.Domain == b.Domain && roster.IsReachable(b, peer) && which(peer) {
			members = append(members, peer.Member.Incarnation)
		}
	}
	return members
}

// found starts the first view when every entry that the platform lists for the
// failure domain is there without one, and this entry is the first by name. When
// there may have been a view before, it waits as long as reset does.
func found(b *board.Board) {
	waited := b.Now - max(b.StartedAt, b.ResumedAt)
	if waited < gossip.LoneGrace || !b.Listed || b.Stopping || !isFirst(b) || !allPresent(b) {
		return
	}
	lost := b.ViewsSeen[b.Domain] > 0 || !hearsOthers(b)
	if lost && waited < ResetAfter {
		return
	}
	Send(b, b.Keeper.Found(b.Now, wanted(b), lost))
}

// isFirstMember reports whether no live member of the view comes before this one.
func isFirstMember(b *board.Board) bool {
	for _, member := range b.Keeper.Members() {
		if _, reachable := roster.Find(b, member); reachable && member.Less(b.Self) {
			return false
		}
	}
	return b.Keeper.IsMember()
}

// isFirst reports whether no live entry of the domain comes before this one.
func isFirst(b *board.Board) bool {
	for _, peer := range roster.LiveIn(b, b.Domain) {
		if peer.Member.Incarnation.Entry < b.Self.Entry {
			return false
		}
	}
	return true
}

// allPresent reports whether every listed entry of the domain was heard to have
// no view.
func allPresent(b *board.Board) bool {
	for _, name := range board.Sorted(b.Peers) {
		peer := b.Peers[name]
		if peer.Member.Domain != b.Domain || peer.Member.Leaving {
			continue
		}
		isHere := roster.IsReachable(b, peer)
		if (peer.Listed && !isHere) || (isHere && peer.Member.View > 0) {
			return false
		}
	}
	return true
}

// hearsOthers reports whether an entry of another failure domain was heard, or
// none is listed. Such an entry knows whether this domain had a view before.
func hearsOthers(b *board.Board) bool {
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

// reset starts a new view when a majority of the old one is gone for good.
func reset(b *board.Board) {
	var there []ident.Incarnation
	for _, member := range b.Keeper.Members() {
		if !isGone(b, member) {
			there = append(there, member)
		}
	}
	isWhole := views.HasMajority(b.Keeper.Members(), there)
	if isWhole || b.Platform.Failures > 0 || !b.Listed || !isFirstMember(b) || b.Stopping {
		b.MajorityLostAt = 0
		return
	}
	if b.MajorityLostAt == 0 {
		b.MajorityLostAt = b.Now
	}
	if b.Now-b.MajorityLostAt < ResetAfter {
		return
	}
	b.MajorityLostAt = 0
	b.Audit(action.AuditClaim, string(b.Domain), "Majority of witnesses is gone, older keys are in doubt.")
	Send(b, b.Keeper.Found(b.Now, wanted(b), true))
}

func isGone(b *board.Board, member ident.Incarnation) bool {
	if member == b.Self {
		return false
	}
	peer := b.Peers[member.Entry]
	if peer == nil {
		return true
	}
	isOther := peer.Member.Incarnation != member
	return isOther || (!peer.Listed && !roster.IsReachable(b, peer))
}

func take(b *board.Board, from msgs.Member, message msgs.Message) {
	switch message := message.(type) {
	case msgs.Gossip:
		hear(b, from, message)
	case msgs.VoteAsk:
		give := b.Keeper.Ask(b.Now, message, InView(b))
		b.Emit(action.SendMessage{Address: from.Address, Message: give})
	case msgs.VoteRelease:
		b.Keeper.Table().Release(message.Scope, message.Attempt)
	case msgs.Learn:
		b.Keeper.Table().Learn(b.Now, message)
	default:
		if from.Domain == b.Domain {
			Send(b, b.Keeper.Handle(b.Now, from.Incarnation, message))
		}
	}
}

func hear(b *board.Board, from msgs.Member, heard msgs.Gossip) {
	see(b, from.Domain, from.View)
	for _, seen := range heard.Views {
		see(b, seen.Domain, seen.Number)
	}
}

func see(b *board.Board, domain ident.Domain, number uint64) {
	if number > b.ViewsSeen[domain] {
		b.ViewsSeen[domain] = number
	}
}

// Send hands the keeper's messages to the shell; those to this entry itself are
// handled at once.
func Send(b *board.Board, sends []views.Send) {
	for len(sends) > 0 {
		next := sends[0]
		sends = sends[1:]
		if next.To == b.Self {
			sends = append(sends, b.Keeper.Handle(b.Now, b.Self, next.Message)...)
			continue
		}
		if peer := b.Peers[next.To.Entry]; peer != nil {
			b.Emit(action.SendMessage{Address: peer.Member.Address, Message: next.Message})
		}
	}
}
