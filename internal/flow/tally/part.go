package tally

import (
	"maps"
	"slices"

	"mustardhook/internal/flow/pool"
)

// How much of a part is told.
const (
	// ScopeHeartbeat says only that the hub lives.
	ScopeHeartbeat Scope = iota
	// ScopeDelta tells what changed since it was last told, if anything did.
	ScopeDelta
	// ScopeSnapshot tells all, so that what was lost on the way does no lasting harm.
	ScopeSnapshot
)

// Scope says how much of a part is told.
type Scope int

// DiscardPending drops what would be passed on: another entry is the hub.
func (t *Tally) DiscardPending() {
	for _, part := range t.aggregates {
		clear(part.unforwarded)
	}
	clear(t.aggregate.acknowledged)
}

// HasPending reports whether there is something that a hub has to tell.
func (t *Tally) HasPending() bool {
	if len(t.aggregate.pending) > 0 {
		return true
	}
	for _, part := range t.aggregates {
		if len(part.unforwarded) > 0 {
			return true
		}
	}
	return false
}

// HasContributions reports whether others count work by the word of this entry.
func (t *Tally) HasContributions() bool {
	return len(t.aggregate.published) > 0 || len(t.contributions) > 0
}

// NextAggregate returns what to tell of the work of all entries that tell this one. It
// reports false when there is nothing to tell.
func (t *Tally) NextAggregate(scope Scope) (Part, bool) {
	p := &t.aggregate
	part := Part{Hub: t.self, Life: t.epoch, Sequence: p.sequence + 1, IsWhole: scope == ScopeSnapshot, Last: maxHash, Sums: Sums{}}
	if scope == ScopeHeartbeat {
		p.sequence++
		return part, true
	}
	for endpoint := range p.pending {
		if sum := t.aggregateLoad(endpoint); p.published[endpoint] != sum {
			part.Sums[endpoint] = sum
		}
	}
	clear(p.pending)
	p.published.apply(part.Sums)
	if scope == ScopeSnapshot {
		part.Sums = clone(p.published)
	}
	if scope == ScopeDelta && len(part.Sums) == 0 && len(p.acknowledged) == 0 {
		return Part{}, false
	}
	p.sequence++
	if len(p.acknowledged) > 0 {
		part.Acknowledged = p.acknowledged
		p.acknowledged = map[Mark]uint64{}
	}
	return part, true
}

func (t *Tally) aggregateLoad(endpoint pool.Mark) pool.Sum {
	sum := t.aggregate.ownLoads[endpoint]
	for _, share := range t.contributions {
		if told, found := share.loads[endpoint]; found {
			sum = sum.Plus(told)
		}
	}
	return sum
}

// ForwardAggregates returns what other hubs told.
func (t *Tally) ForwardAggregates(scope Scope) []Part {
	var found []Part
	for _, hub := range slices.Sorted(maps.Keys(t.aggregates)) {
		known := t.aggregates[hub]
		// Between rounds a part without changes says nothing.
		if !known.isUpdated || scope == ScopeDelta && len(known.unforwarded) == 0 {
			continue
		}
		passed := Part{Hub: hub, Life: known.epoch, Sequence: known.sequence, Deferred: known.deferred, IsWhole: scope == ScopeSnapshot, Last: maxHash, Sums: Sums{}}
		switch scope {
		case ScopeHeartbeat:
		case ScopeDelta:
			for endpoint := range known.unforwarded {
				passed.Sums[endpoint] = known.loads[endpoint]
			}
			clear(known.unforwarded)
		case ScopeSnapshot:
			passed.Sums = clone(known.loads)
			clear(known.unforwarded)
		}
		known.isUpdated = false
		found = append(found, passed)
	}
	return found
}

// Snapshot returns all parts, for an entry that has just started. They are no newer than
// what was told.
func (t *Tally) Snapshot() []Part {
	own := Part{Hub: t.self, Life: t.epoch, Sequence: t.aggregate.sequence, IsWhole: true, Last: maxHash, Sums: clone(t.aggregate.published)}
	found := []Part{own}
	for hub, known := range t.aggregates {
		found = append(found, Part{Hub: hub, Life: known.epoch, Sequence: known.sequence, IsWhole: true, Last: maxHash, Sums: clone(known.loads)})
	}
	return found
}
