// Package drain holds the controller of an entry's own stop: not ready at once,
// everything in flight to its end, then exit.
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
	// HandoverSpan bounds the wait for the other witnesses to take over.
	HandoverSpan = 10 * clock.Second
)

type (
	controller struct{}
)

// NewController returns the controller of the entry's own stop.
func NewController() loop.Controller { return controller{} }

// Step starts the stop and ends it when nothing is in flight.
func (controller) Step(b *board.Board, happened event.Event) {
	if _, is := happened.(event.StopAsked); is && !b.Stopping {
		b.Stopping = true
		b.StoppingAt = b.Now
		b.Audit(action.AuditEntry, b.Self.String(), "Stop asked.")
		tellPeers(b)
	}
	if b.Stopping && !b.Exited && isIdle(b) {
		b.Exited = true
		b.Audit(action.AuditEntry, b.Self.String(), "Nothing in flight, exit.")
		b.Emit(action.Exit{})
	}
}

// tellPeers says at once that this entry is leaving.
func tellPeers(b *board.Board) {
	notice := gossip.ShortDigest(b)
	for _, peer := range roster.Live(b) {
		b.Emit(action.SendMessage{Address: peer.Member.Address, Message: notice})
	}
}

func isIdle(b *board.Board) bool {
	isEmpty := len(b.Completions) == 0 && len(b.Calls) == 0 && len(b.Cancellations) == 0
	return isEmpty && (hasHandedOver(b) || b.Now-b.StoppingAt > HandoverSpan)
}

// hasHandedOver reports whether the view of witnesses goes on without this entry.
func hasHandedOver(b *board.Board) bool {
	isAlone := len(roster.LiveIn(b, b.Domain)) == 0
	return b.Keeper.Table().Len() == 0 || !b.Keeper.IsMember() || isAlone
}
