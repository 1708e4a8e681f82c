package parts

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/plan"
	"mustardhook/internal/flow/point"
	"mustardhook/internal/flow/pool"
)

const (
	configKey       = "op/config"
	evacuatePrefix  = "op/evacuate/"
	endpointsPrefix = "servers/"
)

type (
	// storeItem is a record of the store: a plan.Version, true for an evacuation, or a pool.Listing.
	storeItem struct {
		value     any
		revision  uint64
		renewedAt clock.Millis
	}

	// storeChange is a change of the store; its value is nil if it removed the key.
	storeChange struct {
		key      string
		value    any
		revision uint64
	}

	// storeCopy is the state of the store from a time on.
	storeCopy struct {
		since    clock.Millis
		revision uint64
		items    map[string]storeItem
	}

	// modelStore is a store that can come back from a copy of an earlier time.
	modelStore struct {
		era, revision uint64
		// compacted is the revision after which changes are known.
		compacted uint64
		items     map[string]storeItem
		changes   []storeChange
		copies    []storeCopy
		isAway    bool
	}
)

func newModelStore() *modelStore {
	return &modelStore{era: 1, revision: 7, compacted: 7, items: map[string]storeItem{}}
}

// at returns the point of the newest state.
func (s *modelStore) at() point.Point { return point.Point{Era: s.era, Revision: s.revision} }

// keys returns the keys after the given one in order.
func (s *modelStore) keys(after string) []string {
	var keys []string
	for key := range s.items {
		if key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// write changes a record, or removes it if the value is nil.
func (s *modelStore) write(key string, value any, now clock.Millis) {
	s.revision++
	if value == nil {
		delete(s.items, key)
	} else {
		s.items[key] = storeItem{value, s.revision, now}
	}
	s.changes = append(s.changes, storeChange{key, value, s.revision})
	s.copies = append(s.copies, storeCopy{now, s.revision, maps.Clone(s.items)})
}

// changesAfter returns the changes after the revision. ok is false if the store doesn't have that history.
func (s *modelStore) changesAfter(revision uint64) (changes []storeChange, ok bool) {
	if revision > s.revision || revision < s.compacted {
		return nil, false
	}
	for _, change := range s.changes {
		if change.revision > revision {
			changes = append(changes, change)
		}
	}
	return changes, true
}

// compact drops the history.
func (s *modelStore) compact() {
	s.compacted = s.revision
	s.changes = nil
}

// restore brings the store back from a copy of the given age, as a later era.
func (s *modelStore) restore(age clock.Millis, eras uint64, now clock.Millis) {
	last := 0
	for i, state := range s.copies {
		if state.since <= now-age {
			last = i
		}
	}
	state := s.copies[last]
	s.copies = s.copies[:last+1]
	s.era += eras
	s.revision = state.revision
	s.compacted = min(s.compacted, s.revision)
	s.items = maps.Clone(state.items)
	for key, item := range s.items {
		item.renewedAt = now
		s.items[key] = item
	}
	s.changes = slices.DeleteFunc(s.changes, func(change storeChange) bool { return change.revision > s.revision })
	if len(s.changes) == 0 {
		s.compacted = s.revision
	}
}

// inputOf returns the input for a change that was read in the era, as the adapter of the store does.
func inputOf(change storeChange, era uint64) input.Input {
	at := point.Point{Era: era, Revision: change.revision}
	name, isEndpoint := strings.CutPrefix(change.key, endpointsPrefix)
	domain, _ := strings.CutPrefix(change.key, evacuatePrefix)
	switch value := change.value.(type) {
	case plan.Version:
		return input.PlanRead{Plan: testPlan(value), Document: []byte(strconv.FormatUint(uint64(value), 10))}
	case pool.Listing:
		return input.EndpointRead{Record: value, At: at}
	case bool:
		return input.EvacuationRead{Domain: ident.Domain(domain), At: at}
	}
	if isEndpoint {
		return input.EndpointRemoved{Name: ident.Endpoint(name), At: at}
	}
	return input.EvacuationRemoved{Domain: ident.Domain(domain), At: at}
}
