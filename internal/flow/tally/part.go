package tally

import (
	"maps"
	"slices"

	"mustardhook/internal/flow/pool"
)

// How much of a part is told.
const (
	// ScopeNone says only that the hub lives.
	ScopeNone Scope = iota
	// ScopeChanged tells what changed since it was last told, if anything did.
	ScopeChanged
	// ScopeWhole tells all, so that what was lost on the way does no lasting harm.
	ScopeWhole
)

// Scope says how much of a part is told.
type Scope int

// Forgo drops what would be passed on: another entry is the hub.
func (t *Tally) Forgo() {
	for _, part := range t.parts {
		clear(part.unpassed)
	}
	clear(t.part.heard)
}

// IsPending reports whether there is something that a hub has to tell.
func (t *Tally) IsPending() bool {
	if len(t.part.unheard) > 0 {
		return true
	}
	for _, part := range t.parts {
		if len(part.unpassed) > 0 {
			return true
		}
	}
	return false
}

// HasPart reports whether others count work by the word of this entry.
func (t *Tally) HasPart() bool { return len(t.part.told) > 0 || len(t.shares) > 0 }

// OwnPart returns what to tell of the work of all entries that tell this one. It
// reports false when there is nothing to tell.
func (t *Tally) OwnPart(scope Scope) (Aggregate, bool) {
	p := &t.part
	part := Aggregate{Hub: t.self, Epoch: t.life, Sequence: p.sequence + 1, IsSnapshot: scope == ScopeWhole, Last: lastMark, Loads: Loads{}}
	if scope == ScopeNone {
		p.sequence++
		return part, true
	}
	for endpoint := range p.unheard {
		if sum := t.partSum(endpoint); p.told[endpoint] != sum {
			part.Loads[endpoint] = sum
		}
	}
	clear(p.unheard)
	p.told.apply(part.Loads)
	if scope == ScopeWhole {
		part.Loads = clone(p.told)
	}
	if scope == ScopeChanged && len(part.Loads) == 0 && len(p.heard) == 0 {
		return Aggregate{}, false
	}
	p.sequence++
	if len(p.heard) > 0 {
		part.Heard = p.heard
		p.heard = map[EntryHash]uint64{}
	}
	return part, true
}

func (t *Tally) partSum(endpoint pool.Hash) pool.Load {
	sum := t.part.own[endpoint]
	for _, share := range t.shares {
		if told, found := share.sums[endpoint]; found {
			sum = sum.Add(told)
		}
	}
	return sum
}

// PassOn returns what other hubs told.
func (t *Tally) PassOn(scope Scope) []Aggregate {
	var found []Aggregate
	for _, hub := range slices.Sorted(maps.Keys(t.parts)) {
		known := t.parts[hub]
		// Between rounds a part without changes says nothing.
		if !known.isNews || scope == ScopeChanged && len(known.unpassed) == 0 {
			continue
		}
		passed := Aggregate{Hub: hub, Epoch: known.life, Sequence: known.sequence, Held: known.held, IsSnapshot: scope == ScopeWhole, Last: lastMark, Loads: Loads{}}
		switch scope {
		case ScopeNone:
		case ScopeChanged:
			for endpoint := range known.unpassed {
				passed.Loads[endpoint] = known.sums[endpoint]
			}
			clear(known.unpassed)
		case ScopeWhole:
			passed.Loads = clone(known.sums)
			clear(known.unpassed)
		}
		known.isNews = false
		found = append(found, passed)
	}
	return found
}

// Whole returns all parts, for an entry that has just started. They are no newer than
// what was told.
func (t *Tally) Whole() []Aggregate {
	own := Aggregate{Hub: t.self, Epoch: t.life, Sequence: t.part.sequence, IsSnapshot: true, Last: lastMark, Loads: clone(t.part.told)}
	found := []Aggregate{own}
	for hub, known := range t.parts {
		found = append(found, Aggregate{Hub: hub, Epoch: known.life, Sequence: known.sequence, IsSnapshot: true, Last: lastMark, Loads: clone(known.sums)})
	}
	return found
}
