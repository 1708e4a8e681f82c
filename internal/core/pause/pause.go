// Package pause implements the controller that detects pauses of the entry's own
// process. After a pause longer than board.PauseLimit, the entry treats its state as
// outdated until the platform or a peer confirms it.
package pause

import (
	"mustardhook/internal/core/action"
	"mustardhook/internal/core/board"
	"mustardhook/internal/core/event"
	"mustardhook/internal/core/loop"
)

type (
	controller struct{}
)

// NewController returns a controller for pauses of the process.
func NewController() loop.Controller { return controller{} }

// Step compares the time of the current event with that of the previous one.
func (controller) Step(b *board.Board, input event.Event) {
	if _, ok := input.(event.Started); ok {
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
