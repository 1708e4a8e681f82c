// Package drain implements the controller for a graceful stop. The entry stops being
// ready at once, finishes everything in flight and then exits. Packages prompt and calls end
// the requests that are left at the stop timeout.
package drain

import (
	"mustardhook/internal/core/action"
	"mustardhook/internal/core/board"
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/event"
	"mustardhook/internal/core/loop"
	"mustardhook/internal/peer/gossip"
	"mustardhook/internal/peer/roster"
)

const (
	// HandoverTimeout limits the wait for the remaining witnesses to form a view
	// without this entry.
	HandoverTimeout = 10 * clock.Second
	// OverdueTimeout limits the wait for cancellations and witnesses after the stop
	// timeout.
	OverdueTimeout = 2 * clock.Second
)

type (
	controller struct{}
)

// NewController returns a controller for a graceful stop of the entry.
func NewController() loop.Controller { return controller{} }

// Step starts the stop on request and exits once nothing is in flight.
func (controller) Step(b *board.Board, input event.Event) {
	if _, ok := input.(event.StopAsked); ok && !b.Stopping {
		b.Stopping = true
		b.StoppingAt = b.Now
		b.Audit(action.AuditEntry, b.Self.String(), "Stop asked.")
		announceLeaving(b)
	}
	if b.Stopping && !b.Exited && isIdle(b) {
		b.Exited = true
		b.Audit(action.AuditEntry, b.Self.String(), "Nothing in flight, exit.")
		b.Emit(action.Exit{})
	}
}

// announceLeaving publishes to all live peers at once that this entry is leaving.
func announceLeaving(b *board.Board) {
	digest := gossip.ShortDigest(b)
	for _, peer := range roster.Live(b) {
		b.Emit(action.SendMessage{Address: peer.Member.Address, Message: digest})
	}
}

func isIdle(b *board.Board) bool {
	if len(b.Completions) > 0 || len(b.Calls) > 0 {
		return false
	}
	stoppingFor := b.Now - b.StoppingAt
	if b.IsStopOverdue() && stoppingFor >= b.Settings.StopTimeout+OverdueTimeout {
		return true
	}
	return len(b.Cancellations) == 0 && (hasHandedOver(b) || stoppingFor > HandoverTimeout)
}

// hasHandedOver reports whether this entry can exit without losing claims: it stores
// none, is not in the view of witnesses, or has no live peer in its failure domain.
func hasHandedOver(b *board.Board) bool {
	isAlone := len(roster.LiveIn(b, b.Domain)) == 0
	return b.Membership.Table().Len() == 0 || !b.Membership.IsMember() || isAlone
}
