// Package tally tracks the load that all entries put on each endpoint. An entry sends its
// hub the loads of its own work as a contribution. The hub adds up the contributions to
// an aggregate and sends the aggregate to all other entries. The traffic therefore
// doesn't grow with the number of entries or requests.
//
// An aggregate also contains the work of the entry that receives it. The hub acknowledges
// which contribution of each member is included, and the member subtracts that one from
// the aggregate.
package tally

import (
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/pool"
)

const (
	// ContributionTTL is how long the hub counts a member's contribution after the last
	// message from it. Members send to their hub three times a second.
	ContributionTTL = 1 * clock.Second
	// AggregateTTL is how long an aggregate counts after its hub's last one. It is
	// forwarded over two hubs.
	AggregateTTL = 2 * clock.Second
	// LowerEpochTimeout is how long a sender must have been unresponsive before messages
	// with a lower epoch are accepted. A process takes longer than that to restart.
	LowerEpochTimeout = 800 * clock.Millis(1)

	// maxUnacknowledged bounds the contributions that the hub has not acknowledged. Beyond
	// it the oldest one counts as acknowledged: a hub that leaves that many open is
	// unresponsive, and another one is chosen.
	maxUnacknowledged = 64
	// maxHash is the highest hash of an endpoint.
	maxHash = pool.Hash(math.MaxUint32)
)

type (
	// EntryHash is a short hash of an entry's name. A collision only attributes work to
	// the wrong entry.
	EntryHash uint32

	// Loads maps endpoints to their loads.
	Loads map[pool.Hash]pool.Load

	// Contribution is the work of one entry, as sent to its hub.
	Contribution struct {
		// Epoch and Sequence order the contributions of an entry.
		Epoch    uint64
		Sequence uint64
		// IsSnapshot reports whether endpoints that are not listed have no load.
		// Otherwise only changes are listed.
		IsSnapshot bool
		Loads      Loads
	}

	// Aggregate is the total work of the entries that contribute to one hub. Several
	// fragments of an aggregate may have the same sequence.
	Aggregate struct {
		Hub      EntryHash
		Epoch    uint64
		Sequence uint64
		// IsSnapshot reports whether endpoints from First to Last that are not listed
		// have no load.
		IsSnapshot  bool
		First, Last pool.Hash
		Loads       Loads
		// Deferred is how long the rate limits of hubs deferred changes.
		Deferred clock.Millis
		// Acknowledged is the sequence of the newest contribution that is included, for
		// each member that contributed since the last aggregate.
		Acknowledged map[EntryHash]uint64
	}

	// Tally holds the loads that one entry has received and sent. It is not safe for
	// concurrent use.
	Tally struct {
		self  EntryHash
		epoch uint64

		link hubLink
		// contributions are what members sent to this entry as their hub. aggregates are
		// what other hubs sent.
		contributions map[EntryHash]*remoteState
		aggregates    map[EntryHash]*remoteState
		aggregate     hubAggregate
		// changed are the endpoints whose remote load changed since TakeChanged was last
		// called.
		changed map[pool.Hash]bool
	}

	// remoteState is what was received from one other entry.
	remoteState struct {
		epoch      uint64
		sequence   uint64
		receivedAt clock.Millis
		deferred   clock.Millis
		loads      Loads
		// unforwarded are the endpoints with changes that were not forwarded yet.
		// isUpdated reports whether a message arrived since the state was last forwarded.
		unforwarded map[pool.Hash]bool
		isUpdated   bool
	}

	// hubLink is what this entry sent to its hub and what the hub acknowledged.
	hubLink struct {
		hub       EntryHash
		hubEpoch  uint64
		sequence  uint64
		published Loads
		// acknowledged are the loads that the hub's aggregate is known to include.
		// unacknowledged are the contributions sent after that.
		acknowledged   Loads
		unacknowledged []Contribution
		needsSnapshot  bool
	}

	// hubAggregate is the aggregate that this entry sends as a hub. published holds the
	// loads as last sent, and pending the endpoints with changes to send.
	hubAggregate struct {
		sequence  uint64
		published Loads
		pending   map[pool.Hash]bool
		// ownLoads is this entry's own work in the aggregate.
		ownLoads Loads
		// acknowledged are the acknowledgements for the next aggregate.
		acknowledged map[EntryHash]uint64
	}
)

// EntryHashOf returns the hash of an entry's name.
func EntryHashOf(name ident.Entry) EntryHash { return EntryHash(xxhash.Sum64String(string(name))) }

// New returns an empty tally for an epoch of an entry.
func New(self ident.Entry, epoch uint64) *Tally {
	return &Tally{
		self:          EntryHashOf(self),
		epoch:         epoch,
		link:          hubLink{published: Loads{}, acknowledged: Loads{}},
		contributions: map[EntryHash]*remoteState{},
		aggregates:    map[EntryHash]*remoteState{},
		aggregate:     hubAggregate{published: Loads{}, pending: map[pool.Hash]bool{}, ownLoads: Loads{}, acknowledged: map[EntryHash]uint64{}},
		changed:       map[pool.Hash]bool{},
	}
}

// RemoteLoad returns the load of all other entries at an endpoint.
func (t *Tally) RemoteLoad(endpoint pool.Hash) pool.Load {
	var load pool.Load
	for hub, aggregate := range t.aggregates {
		reported, ok := aggregate.loads[endpoint]
		if !ok {
			continue
		}
		if hub == t.link.hub {
			reported = reported.Sub(t.link.acknowledged[endpoint])
		}
		load = load.Add(reported)
	}
	for _, contribution := range t.contributions {
		if reported, ok := contribution.loads[endpoint]; ok {
			load = load.Add(reported)
		}
	}
	return load
}

// HearsOthers reports whether loads of other entries are known.
func (t *Tally) HearsOthers() bool { return len(t.aggregates) > 0 || len(t.contributions) > 0 }

// MaxDeferral returns the longest time for which hubs deferred changes. Remote loads may
// be out of date by as much.
func (t *Tally) MaxDeferral() clock.Millis {
	deferred := clock.Millis(0)
	for _, aggregate := range t.aggregates {
		deferred = max(deferred, aggregate.deferred)
	}
	return deferred
}

// TakeChanged returns the endpoints whose remote load changed since the last call, in no
// particular order.
func (t *Tally) TakeChanged() []pool.Hash {
	if len(t.changed) == 0 {
		return nil
	}
	endpoints := make([]pool.Hash, 0, len(t.changed))
	for endpoint := range t.changed {
		endpoints = append(endpoints, endpoint)
	}
	clear(t.changed)
	return endpoints
}

// Expire discards what was received from entries that have become unresponsive.
func (t *Tally) Expire(now clock.Millis) {
	for entry, contribution := range t.contributions {
		if now-contribution.receivedAt > ContributionTTL {
			t.markChanged(contribution.loads)
			delete(t.contributions, entry)
		}
	}
	for hub, aggregate := range t.aggregates {
		if now-aggregate.receivedAt > AggregateTTL {
			t.removeHub(hub, aggregate)
		}
	}
}

func (t *Tally) removeHub(hub EntryHash, aggregate *remoteState) {
	for endpoint := range aggregate.loads {
		t.changed[endpoint] = true
	}
	delete(t.aggregates, hub)
	if hub == t.link.hub {
		t.link.reset()
	}
}

// markChanged records that the loads of the endpoints changed, both as remote load and in
// this entry's own aggregate.
func (t *Tally) markChanged(loads Loads) {
	for endpoint := range loads {
		t.changed[endpoint] = true
		t.aggregate.pending[endpoint] = true
	}
}

// covers reports whether an endpoint that the aggregate doesn't list has no load.
func (a Aggregate) covers(endpoint pool.Hash) bool {
	return a.IsSnapshot && endpoint >= a.First && endpoint <= a.Last
}

// Split divides the aggregate into fragments with at most so many loads each.
func (a Aggregate) Split(maxLoads int) []Aggregate {
	if len(a.Loads) <= maxLoads {
		return []Aggregate{a}
	}
	var fragments []Aggregate
	endpoints := slices.Sorted(maps.Keys(a.Loads))
	for chunk := range slices.Chunk(endpoints, maxLoads) {
		fragment := a
		fragment.Loads = Loads{}
		for _, endpoint := range chunk {
			fragment.Loads[endpoint] = a.Loads[endpoint]
		}
		if len(fragments) > 0 {
			fragment.Acknowledged = nil
			fragment.First = fragments[len(fragments)-1].Last + 1
		}
		if a.IsSnapshot {
			fragment.Last = chunk[len(chunk)-1]
		}
		fragments = append(fragments, fragment)
	}
	fragments[len(fragments)-1].Last = a.Last
	return fragments
}

// update applies a message and returns the loads that it changed. The load of an endpoint
// that the message covers but doesn't list becomes empty, and that of any endpoint that it
// doesn't list if the epoch is new. A message older than the last one is ignored, and
// isNew is false.
func (s *remoteState) update(
	epoch, sequence uint64, isCovered func(pool.Hash) bool, loads Loads, now clock.Millis,
) (changed Loads, isNew bool) {
	// Epochs are numbered by wall-clock time, which may jump back. A lower epoch is
	// therefore accepted once the sender was unresponsive for LowerEpochTimeout.
	isStale := epoch == s.epoch && sequence < s.sequence || epoch < s.epoch && now-s.receivedAt < LowerEpochTimeout
	if isStale {
		return nil, false
	}
	changed = Loads{}
	for endpoint := range s.loads {
		if _, ok := loads[endpoint]; !ok && (epoch != s.epoch || isCovered(endpoint)) {
			changed[endpoint] = pool.Load{}
		}
	}
	for endpoint, load := range loads {
		if s.loads[endpoint] != load {
			changed[endpoint] = load
		}
	}
	s.epoch, s.sequence, s.receivedAt, s.isUpdated = epoch, sequence, now, true
	s.loads.apply(changed)
	return changed, true
}

// apply applies changes in place. An empty load deletes the endpoint.
func (l Loads) apply(changes Loads) {
	for endpoint, load := range changes {
		if load == (pool.Load{}) {
			delete(l, endpoint)
			continue
		}
		l[endpoint] = load
	}
}

// diff returns the changes that turn these loads into next.
func (l Loads) diff(next Loads) Loads {
	changes := Loads{}
	for endpoint, load := range next {
		if l[endpoint] != load {
			changes[endpoint] = load
		}
	}
	for endpoint := range l {
		if _, ok := next[endpoint]; !ok {
			changes[endpoint] = pool.Load{}
		}
	}
	return changes
}

func clone(loads Loads) Loads {
	if len(loads) == 0 {
		return Loads{}
	}
	return maps.Clone(loads)
}
