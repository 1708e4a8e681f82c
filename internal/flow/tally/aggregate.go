package tally

import (
	"maps"
	"slices"

	"mustardhook/internal/flow/pool"
)

// How much of an aggregate is sent.
const (
	// ScopeHeartbeat sends no loads. It only shows that the hub is alive.
	ScopeHeartbeat Scope = iota
	// ScopeDelta sends the loads that changed since the last message, if there are any.
	ScopeDelta
	// ScopeSnapshot sends all loads, which repairs the effects of lost messages.
	ScopeSnapshot
)

// Scope is how much of an aggregate is sent.
type Scope int

// DiscardPending discards the changes and acknowledgements that wait to be forwarded, for
// an entry that is not a hub.
func (t *Tally) DiscardPending() {
	for _, aggregate := range t.aggregates {
		clear(aggregate.unforwarded)
	}
	clear(t.aggregate.acknowledged)
}

// HasPending reports whether the entry, as a hub, has changes to send.
func (t *Tally) HasPending() bool {
	if len(t.aggregate.pending) > 0 {
		return true
	}
	for _, aggregate := range t.aggregates {
		if len(aggregate.unforwarded) > 0 {
			return true
		}
	}
	return false
}

// HasContributions reports whether this entry has an aggregate: members contribute to it,
// or the one last sent holds loads that peers still count.
func (t *Tally) HasContributions() bool {
	return len(t.aggregate.published) > 0 || len(t.contributions) > 0
}

// NextAggregate returns the aggregate of this entry and of the members that contribute to
// it. The result is false if there is nothing to send.
func (t *Tally) NextAggregate(scope Scope) (Aggregate, bool) {
	own := &t.aggregate
	aggregate := Aggregate{Hub: t.self, Epoch: t.epoch, Sequence: own.sequence + 1, IsSnapshot: scope == ScopeSnapshot, Last: maxHash, Loads: Loads{}}
	if scope == ScopeHeartbeat {
		own.sequence++
		return aggregate, true
	}
	for endpoint := range own.pending {
		if load := t.aggregateLoad(endpoint); own.published[endpoint] != load {
			aggregate.Loads[endpoint] = load
		}
	}
	clear(own.pending)
	own.published.apply(aggregate.Loads)
	if scope == ScopeSnapshot {
		aggregate.Loads = clone(own.published)
	}
	if scope == ScopeDelta && len(aggregate.Loads) == 0 && len(own.acknowledged) == 0 {
		return Aggregate{}, false
	}
	own.sequence++
	if len(own.acknowledged) > 0 {
		aggregate.Acknowledged = own.acknowledged
		own.acknowledged = map[EntryHash]uint64{}
	}
	return aggregate, true
}

func (t *Tally) aggregateLoad(endpoint pool.Hash) pool.Load {
	load := t.aggregate.ownLoads[endpoint]
	for _, contribution := range t.contributions {
		if contributed, ok := contribution.loads[endpoint]; ok {
			load = load.Add(contributed)
		}
	}
	return load
}

// TakeUpdatedAggregates returns the aggregates of other hubs that were updated since they
// were last forwarded, and marks them as forwarded.
func (t *Tally) TakeUpdatedAggregates(scope Scope) []Aggregate {
	var updated []Aggregate
	for _, hub := range slices.Sorted(maps.Keys(t.aggregates)) {
		state := t.aggregates[hub]
		// Between rounds, an aggregate without changes is not forwarded.
		if !state.isUpdated || scope == ScopeDelta && len(state.unforwarded) == 0 {
			continue
		}
		aggregate := Aggregate{Hub: hub, Epoch: state.epoch, Sequence: state.sequence, Deferred: state.deferred, IsSnapshot: scope == ScopeSnapshot, Last: maxHash, Loads: Loads{}}
		switch scope {
		case ScopeHeartbeat:
		case ScopeDelta:
			for endpoint := range state.unforwarded {
				aggregate.Loads[endpoint] = state.loads[endpoint]
			}
			clear(state.unforwarded)
		case ScopeSnapshot:
			aggregate.Loads = clone(state.loads)
			clear(state.unforwarded)
		}
		state.isUpdated = false
		updated = append(updated, aggregate)
	}
	return updated
}

// Snapshot returns all aggregates in full, for an entry that has just started. This
// entry's own aggregate is the one last sent, without later changes.
func (t *Tally) Snapshot() []Aggregate {
	own := Aggregate{Hub: t.self, Epoch: t.epoch, Sequence: t.aggregate.sequence, IsSnapshot: true, Last: maxHash, Loads: clone(t.aggregate.published)}
	snapshots := []Aggregate{own}
	for hub, state := range t.aggregates {
		snapshots = append(snapshots, Aggregate{Hub: hub, Epoch: state.epoch, Sequence: state.sequence, IsSnapshot: true, Last: maxHash, Loads: clone(state.loads)})
	}
	return snapshots
}
