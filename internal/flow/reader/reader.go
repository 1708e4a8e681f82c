// Package reader decides when an entry reads published state, and how long a read waits
// for changes.
package reader

import (
	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/peers"
	"mustardhook/internal/flow/point"
)

const (
	// WatchWait is how long one read waits for changes. It is short because a read may
	// never be answered, and changes must be in force within 2 s.
	WatchWait = 900 * clock.Millis(1)
	// WatchMargin is how long the answer may take in addition to WatchWait.
	WatchMargin = 500 * clock.Millis(1)
	// FullReadTimeout is how long a read of the full state may take.
	FullReadTimeout = 1500 * clock.Millis(1)
	// BatchInterval is the pause between two reads. Each call has a cost, and changes
	// that are published shortly after one another share a call. The pause is a tenth of
	// the time within which changes must be in force.
	BatchInterval = 200 * clock.Millis(1)
	// IdleInterval is the time between two checks whether the entry should read.
	IdleInterval = 100 * clock.Millis(1)
	// InitialBackoff is the first pause after a failed read. Each further one lasts twice
	// as long.
	InitialBackoff = 100 * clock.Millis(1)
	// MaxHubBackoff bounds the pauses of a hub.
	MaxHubBackoff = 1 * clock.Second
	// MaxSpareBackoff bounds the pauses of other entries, which get changes from their
	// hub.
	MaxSpareBackoff = 4 * clock.Second
)

type (
	// Reader holds the state of an entry's reads of published state.
	Reader struct {
		// ReadTo is the point of the last answer; zero before the first one.
		ReadTo point.Point
		// IsUnavailable reports whether the source can't be read.
		IsUnavailable bool
		// wasCut reports whether the source cut the last read while it waited.
		wasCut bool
		// needsFullRead reports whether the next read must fetch the full state.
		needsFullRead bool
		backoff       clock.Millis
	}

	// Decision is what to do next: read, or only pause.
	Decision struct {
		ShouldRead bool
		// After is the point whose later changes are read; zero requests the full state.
		After point.Point
		// Era is the last known era. An answer of a lower one is out of date.
		Era uint64
		// Wait is how long the read waits for changes, Timeout how long it may take.
		Wait    clock.Millis
		Timeout clock.Millis
		// Pause is the time until the next decision if nothing is read.
		Pause clock.Millis
	}
)

// Next decides on the next read.
func (r *Reader) Next(b *board.Board) Decision {
	if peers.RoleOf(b) == peers.RoleNone {
		return Decision{Pause: IdleInterval}
	}
	after := point.Max(r.ReadTo, b.ListAt)
	if r.needsFullRead || after.IsZero() || b.Plan.IsZero() {
		return Decision{ShouldRead: true, Era: after.Era, Timeout: FullReadTimeout}
	}
	next := Decision{ShouldRead: true, After: after, Era: after.Era, Wait: WatchWait, Timeout: WatchWait + WatchMargin}
	if r.wasCut {
		// A read that doesn't wait shows whether the source can be read.
		next.Wait = 0
	}
	return next
}

// RecordSuccess records a read up to a point and returns the pause until the next read.
func (r *Reader) RecordSuccess(at point.Point) clock.Millis {
	r.ReadTo = point.Max(r.ReadTo, at)
	r.needsFullRead = false
	r.backoff = 0
	r.Recover()
	return BatchInterval
}

// Recover forgets the failed reads. It reports whether the source was unavailable.
func (r *Reader) Recover() bool {
	wasUnavailable := r.IsUnavailable
	r.IsUnavailable = false
	r.wasCut = false
	return wasUnavailable
}

// RecordHistoryLost records that the source no longer has the changes after the last
// point, so that the next read fetches the full state.
func (r *Reader) RecordHistoryLost() { r.needsFullRead = true }

// RecordCut records that the source cut a read that waited, and returns the pause before the
// next read, as for RecordFailure.
func (r *Reader) RecordCut(role peers.Role, random float64) clock.Millis {
	wasUnavailable := r.IsUnavailable
	pause := r.RecordFailure(role, random)
	r.IsUnavailable = wasUnavailable
	r.wasCut = true
	return pause
}

// RecordFailure records a failed read and returns the pause before the next one. The random
// number, from 0 to 1, extends the pause from half of the backoff to all of it.
func (r *Reader) RecordFailure(role peers.Role, random float64) clock.Millis {
	maxBackoff := MaxHubBackoff
	if role != peers.RoleHub {
		maxBackoff = MaxSpareBackoff
	}
	r.IsUnavailable = true
	r.wasCut = false
	r.backoff = min(max(2*r.backoff, InitialBackoff), maxBackoff)
	// Jitter keeps many entries from retrying at the same time.
	return r.backoff/2 + clock.Millis(float64(r.backoff)*random/2)
}
