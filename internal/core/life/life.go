// Package life holds the controller that notices pauses of its own process. An
// entry that was paused longer than the limit no longer trusts that its state is
// the newest, until the platform or a peer confirms it.
package life

import (
	"mustardhook/internal/core/action"
	"mustardhook/internal/core/board"
	"mustardhook/internal/core/event"
	"mustardhook/internal/core/loop"
)

type (
	controller struct{}
)

// NewController returns the controller of pauses.
func NewController() loop.Controller { return controller{} }

// Step compares the instant of this event with that of the last one.
func (controller) Step(b *board.Board, happened event.Event) {
	if _, is := happened.(event.Started); is {
		b.Audit(action.AuditEntry, b.Self.String(), "Entry started.")
		return
	}
	if b.Now-b.LastStep <= board.PauseLimit {
		return
	}
	gap := b.Now - b.LastStep
	b.ResumedAt = b.Now
	b.Synced = false
	b.ConfirmedAt = 0
	b.Platform.RetryAt = 0
	b.NextRoundAt = b.Now
	b.Audit(action.AuditEntry, b.Self.String(), "Paused for "+gap.String()+".")
}
