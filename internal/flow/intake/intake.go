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
		if moves(b, happened.Revision) || !b.HasList {
			b.Pool.Replace(happened.List, b.Now)
			b.HasList = true
			b.Log("List of endpoints read.", "endpoints", len(happened.List), "revision", happened.Revision)
		}
	case input.ListReceived:
		if moves(b, happened.Revision) {
			takeTold(b, happened)
		}
	case input.EndpointRead:
		if !b.Pool.Has(happened.Entry) && moves(b, happened.Revision) {
			b.Pool.Put(happened.Entry, b.Now)
			b.Log("Endpoint changed.", "endpoint", happened.Entry.Name, "leaving", happened.Entry.Leaving)
		}
	case input.EndpointRemoved:
		if moves(b, happened.Revision) {
			b.Pool.Remove(happened.Name, b.Now)
			b.Log("Endpoint gone from the list.", "endpoint", happened.Name)
		}
	case input.Confirmed:
		b.ConfirmedAt = b.Now
		b.NewsChanged = true
	case input.SourceLost:
		if b.SourceLostAt == 0 {
			b.SourceLostAt = b.Now
			b.Log("Published state can't be read.", "reason", happened.Reason)
		}
		b.Pool.MarkListUnavailable(b.Now)
	case input.SourceRecovered:
		b.Log("Published state can be read again.", "away", b.Now-b.SourceLostAt)
		b.SourceLostAt = 0
		b.Pool.MarkListAvailable(b.Now)
	case input.Ticked:
		if b.Now-c.sweptAt >= SweepSpan {
			c.sweptAt = b.Now
			b.Pool.Expire(b.Now)
		}
	}
}

func takeTold(b *board.Board, told input.ListReceived) {
	if told.IsDelta {
		b.Pool.ApplyDelta(told.List, told.Removed, b.Now)
		b.Log("Changes of endpoints told.", "endpoints", len(told.List), "gone", len(told.Removed), "revision", told.Revision)
		return
	}
	b.Pool.ApplySnapshot(told.List, b.Now)
	b.HasList = true
	b.Log("List of endpoints told.", "endpoints", len(told.List), "revision", told.Revision)
}

// moves takes the list to the revision. What is older than the list, which may
// have come from another entry, changes nothing.
func moves(b *board.Board, revision uint64) bool {
	if revision <= b.ListRevision {
		return false
	}
	b.ListRevision = revision
	b.Pool.SetRevision(revision)
	b.NewsChanged = true
	return true
}

func takePlan(b *board.Board, read input.PlanRead) {
	if read.Plan.Version <= b.Plan.Version {
		return
	}
	b.Log("Configuration in force.", "version", uint64(read.Plan.Version), "before", uint64(b.Plan.Version))
	b.Plan = read.Plan
	b.PlanDocument = read.Document
	b.NewsChanged = true
}
