package learn

import (
	"cmp"
	"math"
	"slices"

	"mustardhook/internal/core/clock"
)

const (
	// MaxRows bounds the rows of a sketch from one failure domain.
	MaxRows = 16
	// MaxRemoteRows bounds the rows that a hub passes on from all other failure domains.
	MaxRemoteRows = 32
	// maxPending bounds the rows that wait.
	maxPending = 128
	// maxCount and maxLogCost bound a row: no sketch has more requests of one kind, and no
	// request takes longer.
	maxCount   = 1e4
	maxLogCost = 14
)

type (
	// Sketch is the evidence of other entries or for them, a row for each subject.
	Sketch []Observation

	// pending holds evidence that was not passed on yet.
	pending map[Subject]Cell
)

// isValid reports whether the evidence is within what entries may observe.
func (o Observation) isValid() bool {
	return o.Count > 0 && o.Count <= maxCount && o.Mean >= 0 && o.Mean <= maxLogCost && o.Variance >= 0 && o.Variance <= maxLogCost*maxLogCost &&
		!math.IsNaN(o.Count+o.Mean+o.Variance)
}

// cost returns the mean cost in milliseconds.
func (o Observation) cost() float64 { return math.Exp(o.Mean + o.Variance/2) }

func (p pending) add(o Observation) {
	cell, isKnown := p[o.Subject]
	if !isKnown && len(p) >= maxPending || !o.isValid() {
		return
	}
	cell.Add(o.Count, o.Mean, o.Variance, HalfLife, 0)
	p[o.Subject] = cell
}

// take removes and returns the rows with the most evidence.
func (p pending) take(limit int) Sketch {
	sketch := make(Sketch, 0, len(p))
	for subject, cell := range p {
		sketch = append(sketch, Observation{Subject: subject, Count: min(cell.Weight, maxCount), Mean: cell.Mean, Variance: cell.Variance})
	}
	slices.SortFunc(sketch, func(a, b Observation) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), a.Subject.compare(b.Subject))
	})
	sketch = sketch[:min(len(sketch), limit)]
	for _, row := range sketch {
		delete(p, row.Subject)
	}
	return sketch
}

func (s Subject) compare(other Subject) int {
	return cmp.Or(cmp.Compare(s.Service, other.Service), cmp.Compare(s.Route, other.Route),
		cmp.Compare(s.Organisation, other.Organisation), cmp.Compare(s.Path, other.Path), cmp.Compare(s.Size, other.Size))
}

// Merge adds the evidence of another entry.
func (e *Estimator) Merge(sketch Sketch, now clock.Millis) {
	for _, row := range sketch {
		e.add(row, now)
	}
}

// Forward keeps the evidence of another entry for TakeOwn, or for TakeRemote if it comes from another
// failure domain.
func (e *Estimator) Forward(sketch Sketch, isRemote bool) {
	to := e.own
	if isRemote {
		to = e.remote
	}
	for _, row := range sketch {
		to.add(row)
	}
}

// TakeOwn returns what this entry observed, and what it was asked to forward from its failure domain,
// since the last call.
func (e *Estimator) TakeOwn() Sketch { return e.own.take(MaxRows) }

// TakeRemote returns what this entry was asked to forward from other failure domains.
func (e *Estimator) TakeRemote() Sketch { return e.remote.take(MaxRemoteRows) }

// DropRemote discards what was to be forwarded from other failure domains.
func (e *Estimator) DropRemote() { clear(e.remote) }
