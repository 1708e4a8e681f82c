// Package tally keeps what all entries run at each endpoint, as sums. An entry tells
// its hub the sums of its own work; the hub adds them up to a part and tells the part
// to all others. So what is told does not grow with the entries or the requests.
//
// A part holds the work of the entry that reads it too. The hub says which word of each
// entry is in, and the entry takes that word out of the part again.
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
	// ContributionTTL is how long the word of an entry counts at its hub; entries speak to
	// their hub three times a second.
	ContributionTTL = 1 * clock.Second
	// AggregateTTL is how long the word of a hub counts; it comes over two hubs.
	AggregateTTL = 2 * clock.Second
	// LowerEpochTimeout is how long a silence must be before words of a lower life count; a
	// process takes longer to start again.
	LowerEpochTimeout = 800 * clock.Millis(1)

	// maxUnacknowledged bounds the words that a hub has not confirmed: it is silent then, and
	// another one is chosen.
	maxUnacknowledged = 64
	// maxHash is the highest mark of an endpoint.
	maxHash = pool.Mark(math.MaxUint32)
)

type (
	// Mark is a short hash of an entry's name. A clash of two only misplaces work.
	Mark uint32

	// Sums are sums of work by endpoint.
	Sums map[pool.Mark]pool.Sum

	// Share is what an entry tells its hub of its own work.
	Share struct {
		// Life and Sequence order the words of an entry.
		Life     uint64
		Sequence uint64
		// IsWhole says that endpoints that are not named have no work; otherwise only
		// changes are named.
		IsWhole bool
		Sums    Sums
	}

	// Part is what the entries that tell one hub run together. Several pieces of a part
	// may have one sequence.
	Part struct {
		Hub      Mark
		Life     uint64
		Sequence uint64
		// IsWhole says that endpoints from First to Last that are not named have no work.
		IsWhole     bool
		First, Last pool.Mark
		Sums        Sums
		// Deferred is for how long changes were held back, for the rate at which hubs tell.
		Deferred clock.Millis
		// Acknowledged says up to which word the share of an entry is in, for the entries that
		// spoke since the part before.
		Acknowledged map[Mark]uint64
	}

	// Tally is the memory of one entry. It is not safe for concurrent use.
	Tally struct {
		self  Mark
		epoch uint64

		link hubLink
		// contributions are what entries told this one as their hub, parts what hubs told.
		contributions map[Mark]*remoteState
		aggregates    map[Mark]*remoteState
		// aggregate is what this entry tells as a hub.
		aggregate ownAggregate
		// changed are the endpoints whose sum of others' work changed.
		changed map[pool.Mark]bool
	}

	// remoteState is what one other entry told.
	remoteState struct {
		epoch      uint64
		sequence   uint64
		receivedAt clock.Millis
		deferred   clock.Millis
		loads      Sums
		// unforwarded are the endpoints whose changes were not passed on, and isNews says
		// that the entry spoke since it was last passed on.
		unforwarded map[pool.Mark]bool
		isUpdated   bool
	}

	// hubLink is what this entry told its hub.
	hubLink struct {
		hub       Mark
		hubEpoch  uint64
		sequence  uint64
		published Sums
		// acknowledged is what the hub is known to have put into its part, unheard what was
		// told after that.
		acknowledged   Sums
		unacknowledged []Share
		needsSnapshot  bool
	}

	// ownAggregate is what this entry told as a hub.
	ownAggregate struct {
		sequence  uint64
		published Sums
		pending   map[pool.Mark]bool
		// ownLoads is the work of this entry itself in the part.
		ownLoads Sums
		// acknowledged are the words that go into the next part.
		acknowledged map[Mark]uint64
	}
)

// MarkOf returns the mark of an entry's name.
func MarkOf(name ident.Entry) Mark { return Mark(xxhash.Sum64String(string(name))) }

// New returns an empty tally for a life of an entry.
func New(self ident.Entry, life uint64) *Tally {
	return &Tally{
		self:          MarkOf(self),
		epoch:         life,
		link:          hubLink{published: Sums{}, acknowledged: Sums{}},
		contributions: map[Mark]*remoteState{},
		aggregates:    map[Mark]*remoteState{},
		aggregate:     ownAggregate{published: Sums{}, pending: map[pool.Mark]bool{}, ownLoads: Sums{}, acknowledged: map[Mark]uint64{}},
		changed:       map[pool.Mark]bool{},
	}
}

// Others returns the work of all other entries at an endpoint.
func (t *Tally) Others(endpoint pool.Mark) pool.Sum {
	var sum pool.Sum
	for hub, part := range t.aggregates {
		told, found := part.loads[endpoint]
		if !found {
			continue
		}
		if hub == t.link.hub {
			told = told.Sub(t.link.acknowledged[endpoint])
		}
		sum = sum.Plus(told)
	}
	for _, share := range t.contributions {
		if told, found := share.loads[endpoint]; found {
			sum = sum.Plus(told)
		}
	}
	return sum
}

// Held is for how long hubs hold changes back: what others run may be as old.
func (t *Tally) Held() clock.Millis {
	held := clock.Millis(0)
	for _, part := range t.aggregates {
		held = max(held, part.deferred)
	}
	return held
}

// TakeChanged returns the endpoints whose sum of others' work changed since the last
// call.
func (t *Tally) TakeChanged() []pool.Mark {
	if len(t.changed) == 0 {
		return nil
	}
	found := make([]pool.Mark, 0, len(t.changed))
	for endpoint := range t.changed {
		found = append(found, endpoint)
	}
	clear(t.changed)
	return found
}

// Expire forgets what was told by entries that are silent now.
func (t *Tally) Expire(now clock.Millis) {
	for entry, share := range t.contributions {
		if now-share.receivedAt > ContributionTTL {
			t.markChanged(share.loads)
			delete(t.contributions, entry)
		}
	}
	for hub, part := range t.aggregates {
		if now-part.receivedAt > AggregateTTL {
			t.removeHub(hub, part)
		}
	}
}

func (t *Tally) removeHub(hub Mark, part *remoteState) {
	for endpoint := range part.loads {
		t.changed[endpoint] = true
	}
	delete(t.aggregates, hub)
	if hub == t.link.hub {
		t.link.reset()
	}
}

// markChanged notes that the sums of the endpoints changed, here and in the own part.
func (t *Tally) markChanged(sums Sums) {
	for endpoint := range sums {
		t.changed[endpoint] = true
		t.aggregate.pending[endpoint] = true
	}
}

// covers reports whether the part tells of the endpoint without naming it.
func (p Part) covers(endpoint pool.Mark) bool {
	return p.IsWhole && endpoint >= p.First && endpoint <= p.Last
}

// Split divides the part into pieces of so many sums at most.
func (p Part) Split(most int) []Part {
	if len(p.Sums) <= most {
		return []Part{p}
	}
	var pieces []Part
	endpoints := slices.Sorted(maps.Keys(p.Sums))
	for named := range slices.Chunk(endpoints, most) {
		piece := p
		piece.Sums = Sums{}
		for _, endpoint := range named {
			piece.Sums[endpoint] = p.Sums[endpoint]
		}
		if len(pieces) > 0 {
			piece.Acknowledged = nil
			piece.First = pieces[len(pieces)-1].Last + 1
		}
		if p.IsWhole {
			piece.Last = named[len(named)-1]
		}
		pieces = append(pieces, piece)
	}
	pieces[len(pieces)-1].Last = p.Last
	return pieces
}

// update puts a word into the account and returns the endpoints that it changed: those
// that it names, and those that it covers without naming them. Words that were overtaken
// change nothing.
func (a *remoteState) update(
	life, sequence uint64, isCovered func(pool.Mark) bool, sums Sums, now clock.Millis,
) (changed Sums, isNew bool) {
	// Lives are numbered by the time of day, which may jump back: a lower one is taken
	// for new after a silence.
	isLate := life == a.epoch && sequence < a.sequence || life < a.epoch && now-a.receivedAt < LowerEpochTimeout
	if isLate {
		return nil, false
	}
	changed = Sums{}
	for endpoint := range a.loads {
		if _, found := sums[endpoint]; !found && (life != a.epoch || isCovered(endpoint)) {
			changed[endpoint] = pool.Sum{}
		}
	}
	for endpoint, sum := range sums {
		if a.loads[endpoint] != sum {
			changed[endpoint] = sum
		}
	}
	a.epoch, a.sequence, a.receivedAt, a.isUpdated = life, sequence, now, true
	a.loads.apply(changed)
	return changed, true
}

// apply takes changes; an empty sum takes the endpoint out.
func (s Sums) apply(changes Sums) {
	for endpoint, sum := range changes {
		if sum == (pool.Sum{}) {
			delete(s, endpoint)
			continue
		}
		s[endpoint] = sum
	}
}

// diff returns what must be told to one who knows these sums.
func (s Sums) diff(next Sums) Sums {
	changes := Sums{}
	for endpoint, sum := range next {
		if s[endpoint] != sum {
			changes[endpoint] = sum
		}
	}
	for endpoint := range s {
		if _, found := next[endpoint]; !found {
			changes[endpoint] = pool.Sum{}
		}
	}
	return changes
}

func clone(sums Sums) Sums {
	if len(sums) == 0 {
		return Sums{}
	}
	return maps.Clone(sums)
}
