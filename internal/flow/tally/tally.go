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
	// ShareSpan is how long the word of an entry counts at its hub; entries speak to
	// their hub three times a second.
	ShareSpan = 1 * clock.Second
	// PartSpan is how long the word of a hub counts; it comes over two hubs.
	PartSpan = 2 * clock.Second
	// LifeSpan is how long a silence must be before words of a lower life count; a
	// process takes longer to start again.
	LifeSpan = 800 * clock.Millis(1)

	// mostUnheard bounds the words that a hub has not confirmed: it is silent then, and
	// another one is chosen.
	mostUnheard = 64
	// lastMark is the highest mark of an endpoint.
	lastMark = pool.Hash(math.MaxUint32)
)

type (
	// EntryHash is a short hash of an entry's name. A clash of two only misplaces work.
	EntryHash uint32

	// Loads are sums of work by endpoint.
	Loads map[pool.Hash]pool.Load

	// Contribution is what an entry tells its hub of its own work.
	Contribution struct {
		// Epoch and Sequence order the words of an entry.
		Epoch    uint64
		Sequence uint64
		// IsSnapshot says that endpoints that are not named have no work; otherwise only
		// changes are named.
		IsSnapshot bool
		Loads      Loads
	}

	// Aggregate is what the entries that tell one hub run together. Several pieces of a part
	// may have one sequence.
	Aggregate struct {
		Hub      EntryHash
		Epoch    uint64
		Sequence uint64
		// IsSnapshot says that endpoints from First to Last that are not named have no work.
		IsSnapshot  bool
		First, Last pool.Hash
		Loads       Loads
		// Held is for how long changes were held back, for the rate at which hubs tell.
		Held clock.Millis
		// Heard says up to which word the share of an entry is in, for the entries that
		// spoke since the part before.
		Heard map[EntryHash]uint64
	}

	// Tally is the memory of one entry. It is not safe for concurrent use.
	Tally struct {
		self EntryHash
		life uint64

		own own
		// shares are what entries told this one as their hub, parts what hubs told.
		shares map[EntryHash]*account
		parts  map[EntryHash]*account
		// part is what this entry tells as a hub.
		part hubPart
		// changed are the endpoints whose sum of others' work changed.
		changed map[pool.Hash]bool
	}

	// account is what one other entry told.
	account struct {
		life     uint64
		sequence uint64
		at       clock.Millis
		held     clock.Millis
		sums     Loads
		// unpassed are the endpoints whose changes were not passed on, and isNews says
		// that the entry spoke since it was last passed on.
		unpassed map[pool.Hash]bool
		isNews   bool
	}

	// own is what this entry told its hub.
	own struct {
		hub      EntryHash
		hubLife  uint64
		sequence uint64
		told     Loads
		// heard is what the hub is known to have put into its part, unheard what was
		// told after that.
		heard   Loads
		unheard []Contribution
		isStale bool
	}

	// hubPart is what this entry told as a hub.
	hubPart struct {
		sequence uint64
		told     Loads
		unheard  map[pool.Hash]bool
		// own is the work of this entry itself in the part.
		own Loads
		// heard are the words that go into the next part.
		heard map[EntryHash]uint64
	}
)

// EntryHashOf returns the mark of an entry's name.
func EntryHashOf(name ident.Entry) EntryHash { return EntryHash(xxhash.Sum64String(string(name))) }

// New returns an empty tally for a life of an entry.
func New(self ident.Entry, life uint64) *Tally {
	return &Tally{
		self:    EntryHashOf(self),
		life:    life,
		own:     own{told: Loads{}, heard: Loads{}},
		shares:  map[EntryHash]*account{},
		parts:   map[EntryHash]*account{},
		part:    hubPart{told: Loads{}, unheard: map[pool.Hash]bool{}, own: Loads{}, heard: map[EntryHash]uint64{}},
		changed: map[pool.Hash]bool{},
	}
}

// RemoteLoad returns the work of all other entries at an endpoint.
func (t *Tally) RemoteLoad(endpoint pool.Hash) pool.Load {
	var sum pool.Load
	for hub, part := range t.parts {
		told, found := part.sums[endpoint]
		if !found {
			continue
		}
		if hub == t.own.hub {
			told = told.Minus(t.own.heard[endpoint])
		}
		sum = sum.Add(told)
	}
	for _, share := range t.shares {
		if told, found := share.sums[endpoint]; found {
			sum = sum.Add(told)
		}
	}
	return sum
}

// MaxDeferral is for how long hubs hold changes back: what others run may be as old.
func (t *Tally) MaxDeferral() clock.Millis {
	held := clock.Millis(0)
	for _, part := range t.parts {
		held = max(held, part.held)
	}
	return held
}

// TakeChanged returns the endpoints whose sum of others' work changed since the last
// call.
func (t *Tally) TakeChanged() []pool.Hash {
	if len(t.changed) == 0 {
		return nil
	}
	found := make([]pool.Hash, 0, len(t.changed))
	for endpoint := range t.changed {
		found = append(found, endpoint)
	}
	clear(t.changed)
	return found
}

// Expire forgets what was told by entries that are silent now.
func (t *Tally) Expire(now clock.Millis) {
	for entry, share := range t.shares {
		if now-share.at > ShareSpan {
			t.touch(share.sums)
			delete(t.shares, entry)
		}
	}
	for hub, part := range t.parts {
		if now-part.at > PartSpan {
			t.drop(hub, part)
		}
	}
}

func (t *Tally) drop(hub EntryHash, part *account) {
	for endpoint := range part.sums {
		t.changed[endpoint] = true
	}
	delete(t.parts, hub)
	if hub == t.own.hub {
		t.own.forget()
	}
}

// touch notes that the sums of the endpoints changed, here and in the own part.
func (t *Tally) touch(sums Loads) {
	for endpoint := range sums {
		t.changed[endpoint] = true
		t.part.unheard[endpoint] = true
	}
}

// covers reports whether the part tells of the endpoint without naming it.
func (p Aggregate) covers(endpoint pool.Hash) bool {
	return p.IsSnapshot && endpoint >= p.First && endpoint <= p.Last
}

// Pieces divides the part into pieces of so many sums at most.
func (p Aggregate) Pieces(most int) []Aggregate {
	if len(p.Loads) <= most {
		return []Aggregate{p}
	}
	var pieces []Aggregate
	endpoints := slices.Sorted(maps.Keys(p.Loads))
	for named := range slices.Chunk(endpoints, most) {
		piece := p
		piece.Loads = Loads{}
		for _, endpoint := range named {
			piece.Loads[endpoint] = p.Loads[endpoint]
		}
		if len(pieces) > 0 {
			piece.Heard = nil
			piece.First = pieces[len(pieces)-1].Last + 1
		}
		if p.IsSnapshot {
			piece.Last = named[len(named)-1]
		}
		pieces = append(pieces, piece)
	}
	pieces[len(pieces)-1].Last = p.Last
	return pieces
}

// take puts a word into the account and returns the endpoints that it changed: those
// that it names, and those that it covers without naming them. Words that were overtaken
// change nothing.
func (a *account) take(
	life, sequence uint64, isCovered func(pool.Hash) bool, sums Loads, now clock.Millis,
) (changed Loads, isNew bool) {
	// Lives are numbered by the time of day, which may jump back: a lower one is taken
	// for new after a silence.
	isLate := life == a.life && sequence < a.sequence || life < a.life && now-a.at < LifeSpan
	if isLate {
		return nil, false
	}
	changed = Loads{}
	for endpoint := range a.sums {
		if _, found := sums[endpoint]; !found && (life != a.life || isCovered(endpoint)) {
			changed[endpoint] = pool.Load{}
		}
	}
	for endpoint, sum := range sums {
		if a.sums[endpoint] != sum {
			changed[endpoint] = sum
		}
	}
	a.life, a.sequence, a.at, a.isNews = life, sequence, now, true
	a.sums.apply(changed)
	return changed, true
}

// apply takes changes; an empty sum takes the endpoint out.
func (s Loads) apply(changes Loads) {
	for endpoint, sum := range changes {
		if sum == (pool.Load{}) {
			delete(s, endpoint)
			continue
		}
		s[endpoint] = sum
	}
}

// changesTo returns what must be told to one who knows these sums.
func (s Loads) changesTo(next Loads) Loads {
	changes := Loads{}
	for endpoint, sum := range next {
		if s[endpoint] != sum {
			changes[endpoint] = sum
		}
	}
	for endpoint := range s {
		if _, found := next[endpoint]; !found {
			changes[endpoint] = pool.Load{}
		}
	}
	return changes
}

func clone(sums Loads) Loads {
	if len(sums) == 0 {
		return Loads{}
	}
	return maps.Clone(sums)
}
