// Package intake holds the controller that takes in published state: the
// configuration, which never goes back, and the list of endpoints.
package intake

import (
	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/input"
)

// SweepSpan is the time between two sweeps of endpoints that are gone.
const SweepSpan = 1 * clock.Second

type controller struct{ sweptAt clock.Millis }

// NewController returns the controller of published state.
func NewController() board.Controller { return &controller{} }

// Step handles one input.
func (c *controller) Step(b *board.Board, happened input.Input) {
	switch happened := happened.(type) {
	case input.SettingsRead:
		b.Settings = happened.Settings
	case input.PlanRead:
		takePlan(b, happened)
	case input.ListRead:
		if moves(b, happened.Revision) || !b.ListRead {
			b.Pool.Replace(happened.List, b.Now)
			b.ListRead = true
			b.Note("List of endpoints read.", "endpoints", len(happened.List), "revision", happened.Revision)
		}
	case input.ListTold:
		if moves(b, happened.Revision) {
			takeTold(b, happened)
		}
	case input.EndpointRead:
		if !b.Pool.Has(happened.Entry) && moves(b, happened.Revision) {
			b.Pool.Put(happened.Entry, b.Now)
			b.Note("Endpoint changed.", "endpoint", happened.Entry.Name, "leaving", happened.Entry.Leaving)
		}
	case input.EndpointGone:
		if moves(b, happened.Revision) {
			b.Pool.Remove(happened.Name, b.Now)
			b.Note("Endpoint gone from the list.", "endpoint", happened.Name)
		}
	case input.Confirmed:
		b.ConfirmedAt = b.Now
		b.NewsChanged = true
	case input.SourceLost:
		if b.SourceLostAt == 0 {
			b.SourceLostAt = b.Now
			b.Note("Published state can't be read.", "reason", happened.Reason)
		}
		b.Pool.Lost(b.Now)
	case input.SourceBack:
		b.Note("Published state can be read again.", "away", b.Now-b.SourceLostAt)
		b.SourceLostAt = 0
		b.Pool.Back(b.Now)
	case input.Ticked:
		if b.Now-c.sweptAt >= SweepSpan {
			c.sweptAt = b.Now
			b.Pool.Sweep(b.Now)
		}
	}
}

func takeTold(b *board.Board, told input.ListTold) {
	if told.IsChanges {
		b.Pool.ChangeKnown(told.List, told.Gone, b.Now)
		b.Note("Changes of endpoints told.", "endpoints", len(told.List), "gone", len(told.Gone), "revision", told.Revision)
		return
	}
	b.Pool.ReplaceKnown(told.List, b.Now)
	b.ListRead = true
	b.Note("List of endpoints told.", "endpoints", len(told.List), "revision", told.Revision)
}

// moves takes the list to the revision. What is older than the list, which may
// have come from another entry, changes nothing.
func moves(b *board.Board, revision uint64) bool {
	if revision <= b.ListRevision {
		return false
	}
	b.ListRevision = revision
	b.Pool.MoveTo(revision)
	b.NewsChanged = true
	return true
}

func takePlan(b *board.Board, read input.PlanRead) {
	if read.Plan.Version <= b.Plan.Version {
		return
	}
	b.Note("Configuration in force.", "version", uint64(read.Plan.Version), "before", uint64(b.Plan.Version))
	b.Plan = read.Plan
	b.PlanDocument = read.Document
	b.NewsChanged = true
}
