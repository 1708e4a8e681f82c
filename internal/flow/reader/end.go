package reader

import (
	"github.com/go-faster/errors"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/peers"
	"mustardhook/internal/flow/point"
	"mustardhook/internal/flow/port"
)

// The outcomes of a read.
const (
	// OutcomeRead means that the changes up to the point of the answer are known.
	OutcomeRead Outcome = "read"
	// OutcomeHistoryLost means that the source no longer has the changes after the last point.
	OutcomeHistoryLost Outcome = "historyLost"
	// OutcomeNewEra means that the source has come back from an older copy, so that the answer lacks changes.
	OutcomeNewEra Outcome = "newEra"
	// OutcomeCut means that the source cut a read that waited, which is no failure of the source.
	OutcomeCut Outcome = "cut"
	// OutcomeFailed means that the source can't be read.
	OutcomeFailed Outcome = "failed"
)

type (
	// Outcome is what a read has shown of the source.
	Outcome string

	// End is the end of a read.
	End struct {
		Outcome Outcome
		// Err is nil only if the outcome is OutcomeRead.
		Err error
		// Recovered reports whether the source was unavailable and has answered again.
		Recovered bool
		// Pause is the time until the next decision.
		Pause clock.Millis
	}
)

// Record records the end of a read with an answer of the given point, or with an error. For the role and the random
// number, see RecordFailure.
func (r *Reader) Record(next Decision, at point.Point, err error, role peers.Role, random float64) End {
	if err == nil {
		err = next.check(at)
	}
	var compacted *port.CompactedError
	var era *port.EraError
	var cut *port.CutError
	switch {
	case err == nil:
		recovered := r.Recover()
		return End{OutcomeRead, nil, recovered, r.RecordSuccess(at)}
	case errors.As(err, &compacted):
		r.RecordHistoryLost()
		return End{OutcomeHistoryLost, err, false, 0}
	case errors.As(err, &era) && era.Found > era.Known:
		r.RecordHistoryLost()
		return End{OutcomeNewEra, err, r.Recover(), BatchInterval}
	case errors.As(err, &cut):
		return End{OutcomeCut, err, false, r.RecordCut(role, random)}
	default:
		return End{OutcomeFailed, err, false, r.RecordFailure(role, random)}
	}
}

// check returns a port.EraError for an answer of an earlier era than the known one, and for changes of a later one: the
// answer lacks those of that era before them.
func (d Decision) check(at point.Point) error {
	isFull := d.After.IsZero()
	if at.Era < d.Era || !isFull && at.Era != d.Era {
		return &port.EraError{Known: d.Era, Found: at.Era}
	}
	return nil
}
