// Package reader decides when an entry reads published state, and how long it
// waits for changes.
package reader

import (
	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/peers"
)

const (
	// WatchSpan is how long one read waits for changes. A read may never be answered,
	// and changes must be in force within 2 s.
	WatchSpan = 900 * clock.Millis(1)
	// WatchAnswer is how long the answer may take beyond that.
	WatchAnswer = 500 * clock.Millis(1)
	// WholeAnswer is how long a read of everything may take.
	WholeAnswer = 1500 * clock.Millis(1)
	// GatherPause is the time between two reads: changes that come together share a
	// call, and each call is paid for. It is a tenth of the time within which changes
	// must be in force.
	GatherPause = 200 * clock.Millis(1)
	// IdlePause is the time between two looks whether the entry should read.
	IdlePause = 100 * clock.Millis(1)
	// FirstPause is the first pause after a failed read; each further one doubles.
	FirstPause = 100 * clock.Millis(1)
	// LongestPause bounds the pauses of a hub.
	LongestPause = 1 * clock.Second
	// LongestSpare bounds those of other entries, which learn from their hub.
	LongestSpare = 4 * clock.Second
)

type (
	// Reader keeps what one entry knows of its own reads.
	Reader struct {
		// Revision is that of the last answer; zero before the first.
		Revision uint64
		// IsFailing says that the last read failed.
		IsFailing bool
		// isForgotten says that everything must be read anew.
		isForgotten bool
		pause       clock.Millis
	}

	// Decision says what to do next: to read, or only to pause.
	Decision struct {
		ShouldRead bool
		// AfterRevision is the revision whose changes are read; zero asks for everything.
		AfterRevision uint64
		// Wait is how long the read waits for changes, Limit how long it may take.
		Wait    clock.Millis
		Timeout clock.Millis
		// Pause comes before the next look when nothing is read.
		Pause clock.Millis
	}
)

// Next decides on the next read.
func (r *Reader) Next(b *board.Board) Decision {
	if peers.RoleOf(b) == peers.RoleNone {
		return Decision{Pause: IdlePause}
	}
	if r.isForgotten || r.Revision == 0 && b.ListRevision == 0 || b.Plan.IsZero() {
		return Decision{ShouldRead: true, Timeout: WholeAnswer}
	}
	return Decision{
		ShouldRead: true, AfterRevision: max(r.Revision, b.ListRevision), Wait: WatchSpan, Timeout: WatchSpan + WatchAnswer,
	}
}

// Succeeded takes the revision of an answer and returns the pause until the next
// read.
func (r *Reader) Succeeded(revision uint64) clock.Millis {
	r.Revision = max(r.Revision, revision)
	r.IsFailing = false
	r.isForgotten = false
	r.pause = 0
	return GatherPause
}

// HistoryLost notes that changes after the revision can't be read any more.
func (r *Reader) HistoryLost() { r.isForgotten = true }

// Failed returns the pause after a failed read.
func (r *Reader) Failed(role peers.Role, random float64) clock.Millis {
	longest := LongestPause
	if role != peers.RoleHub {
		longest = LongestSpare
	}
	r.IsFailing = true
	r.pause = min(max(2*r.pause, FirstPause), longest)
	// Pauses of many entries must not end together.
	return r.pause/2 + clock.Millis(float64(r.pause)*random/2)
}
