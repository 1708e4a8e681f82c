// Package reader decides when an entry reads published state, and how long it
// waits for changes.
package reader

import (
	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/peers"
)

const (
	// WatchWait is how long one read waits for changes. A read may never be answered,
	// and changes must be in force within 2 s.
	WatchWait = 900 * clock.Millis(1)
	// WatchMargin is how long the answer may take beyond that.
	WatchMargin = 500 * clock.Millis(1)
	// FullReadTimeout is how long a read of everything may take.
	FullReadTimeout = 1500 * clock.Millis(1)
	// BatchInterval is the time between two reads: changes that come together share a
	// call, and each call is paid for. It is a tenth of the time within which changes
	// must be in force.
	BatchInterval = 200 * clock.Millis(1)
	// IdleInterval is the time between two looks whether the entry should read.
	IdleInterval = 100 * clock.Millis(1)
	// InitialBackoff is the first pause after a failed read; each further one doubles.
	InitialBackoff = 100 * clock.Millis(1)
	// MaxHubBackoff bounds the pauses of a hub.
	MaxHubBackoff = 1 * clock.Second
	// MaxSpareBackoff bounds those of other entries, which learn from their hub.
	MaxSpareBackoff = 4 * clock.Second
)

type (
	// Reader keeps what one entry knows of its own reads.
	Reader struct {
		// Revision is that of the last answer; zero before the first.
		Revision uint64
		// IsLost says that the last read failed.
		IsLost bool
		// needsFullRead says that everything must be read anew.
		needsFullRead bool
		backoff       clock.Millis
	}

	// Next says what to do next: to read, or only to pause.
	Next struct {
		IsRead bool
		// After is the revision whose changes are read; zero asks for everything.
		After uint64
		// Wait is how long the read waits for changes, Limit how long it may take.
		Wait  clock.Millis
		Limit clock.Millis
		// Pause comes before the next look when nothing is read.
		Pause clock.Millis
	}
)

// Next decides on the next read.
func (r *Reader) Next(b *board.Board) Next {
	if peers.RoleOf(b) == peers.RoleNone {
		return Next{Pause: IdleInterval}
	}
	if r.needsFullRead || r.Revision == 0 && b.ListRevision == 0 || b.Plan.IsZero() {
		return Next{IsRead: true, Limit: FullReadTimeout}
	}
	return Next{
		IsRead: true, After: max(r.Revision, b.ListRevision), Wait: WatchWait, Limit: WatchWait + WatchMargin,
	}
}

// Succeeded takes the revision of an answer and returns the pause until the next
// read.
func (r *Reader) Succeeded(revision uint64) clock.Millis {
	r.Revision = max(r.Revision, revision)
	r.IsLost = false
	r.needsFullRead = false
	r.backoff = 0
	return BatchInterval
}

// Forgotten notes that changes after the revision can't be read any more.
func (r *Reader) Forgotten() { r.needsFullRead = true }

// Failed returns the pause after a failed read.
func (r *Reader) Failed(role peers.Role, random float64) clock.Millis {
	longest := MaxHubBackoff
	if role != peers.RoleHub {
		longest = MaxSpareBackoff
	}
	r.IsLost = true
	r.backoff = min(max(2*r.backoff, InitialBackoff), longest)
	// Pauses of many entries must not end together.
	return r.backoff/2 + clock.Millis(float64(r.backoff)*random/2)
}
