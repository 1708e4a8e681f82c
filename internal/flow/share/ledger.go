package share

import (
	"cmp"
	"maps"
	"slices"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/pool"
)

const (
	// MaxGroups bounds the groups that an entry remembers.
	MaxGroups = 64
	// usesTTL is how long decisions use the same sums.
	usesTTL = 100 * clock.Millis(1)
	// release is the part of its share below which a group that was over it is within it again.
	release = 0.9
	// overTTL is how long a group counts as over its share after it was last found so.
	overTTL = 2 * clock.Second

	// contentionTTL is how long a contended queue counts as such after it was last found so.
	contentionTTL = 1 * clock.Second
	// waitWindow is the time over which the time to the first event is averaged.
	waitWindow = 600 * clock.Millis(1)

	// An entry publishes the use of at most maxPublished groups, of those with minPublished requests
	// and 1/publishedDivisor of all its requests.
	maxPublished     = 4
	minPublished     = 2
	publishedDivisor = 8
	// collectInterval is the time between two looks at the use of all groups. The published use of a
	// group changes at most once in publishInterval, by more than 1/toleranceDivisor and one request, and at
	// once if it has doubled.
	collectInterval  = 200 * clock.Millis(1)
	publishInterval  = 1 * clock.Second
	toleranceDivisor = 3
	// workUnit is the engine time in milliseconds that is published as tokensPerUnit tokens.
	workUnit      = 100
	tokensPerUnit = 1000
)

type (
	// Ledger holds the groups that lately sent requests to an entry. It is not safe for
	// concurrent use.
	Ledger struct {
		groups map[Group]*record
		// usesAt is when the uses of the groups of a service were last looked up.
		usesAt      map[ident.Service]clock.Millis
		waits       map[ident.Service]wait
		queues      map[ident.Service]queueState
		collectedAt clock.Millis
		published   map[pool.Hash]pool.Load
	}

	// wait is the mean time to the first event of the short prompts of a service, in milliseconds.
	wait struct {
		mean float64
		at   clock.Millis
	}

	// queueState is what was last seen of the queue of the long prompts of a service.
	queueState struct {
		checkedAt clock.Millis
		// contendedAt is when it last held prompts that others make late; zero if it never did.
		contendedAt clock.Millis
	}

	// record is what is known of a group.
	record struct {
		hash   pool.Hash
		seenAt clock.Millis
		// use is the use at all entries.
		use Use
		// overAt is when the group was last found to be over its share; zero if it is within it.
		overAt      clock.Millis
		published   Use
		publishedAt clock.Millis
	}

	// Verdict is the result of a comparison of the use of a group with its share.
	Verdict struct {
		IsOver bool
		// HasChanged reports whether the group was within its share before.
		HasChanged bool
		Share      float64
		Use        int
	}
)

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		groups: map[Group]*record{}, usesAt: map[ident.Service]clock.Millis{}, waits: map[ident.Service]wait{},
		queues:    map[ident.Service]queueState{},
		published: map[pool.Hash]pool.Load{},
	}
}

// Note records that a group sent a request, and returns the hash of the group. If there are too many groups, the one that sent none
// for the longest time is dropped.
func (l *Ledger) Note(group Group, now clock.Millis) pool.Hash {
	known := l.groups[group]
	if known == nil {
		if len(l.groups) >= MaxGroups {
			l.dropOldest()
		}
		known = &record{hash: group.Hash()}
		l.groups[group] = known
		delete(l.usesAt, group.Service)
	}
	known.seenAt = now
	return known.hash
}

func (l *Ledger) dropOldest() {
	var oldest Group
	for group, known := range l.groups {
		if first := l.groups[oldest]; first == nil || isBefore(group, known, oldest, first) {
			oldest = group
		}
	}
	delete(l.groups, oldest)
}

// isBefore orders groups by their last request and then by name, so that equal inputs give equal
// outputs.
func isBefore(group Group, known *record, other Group, otherKnown *record) bool {
	return cmp.Or(
		cmp.Compare(known.seenAt, otherKnown.seenAt),
		cmp.Compare(group.Service, other.Service), cmp.Compare(group.Organisation, other.Organisation),
	) < 0
}

// Wait returns the mean time to the first event of the short prompts of a service at all entries, in
// milliseconds, given what it is now. It follows changes within waitWindow.
func (l *Ledger) Wait(service ident.Service, current float64, now clock.Millis) float64 {
	before := l.waits[service]
	weight := min(float64(now-before.at)/float64(waitWindow), 1)
	l.waits[service] = wait{before.mean + weight*(current-before.mean), now}
	return l.waits[service].mean
}

// IsQueueContended reports whether the queue of the long prompts of a service lately held prompts that
// others make late. check looks at it, which is done once in usesTTL.
func (l *Ledger) IsQueueContended(service ident.Service, check func() bool, now clock.Millis) bool {
	state := l.queues[service]
	if state.checkedAt == 0 || now-state.checkedAt >= usesTTL {
		state.checkedAt = now
		if check() {
			state.contendedAt = now
		}
		l.queues[service] = state
	}
	return state.contendedAt != 0 && now-state.contendedAt <= contentionTTL
}

// Judge compares the use of a group with its share of the room, both in requests. inFlight is the
// number of all requests at the endpoints of the service. A group with at most leastParts equal parts of
// these is within its share. collect returns the use of all groups at
// this entry, and remote that of a group at the others.
func (l *Ledger) Judge(
	group Group, room, leastParts float64, inFlight int, collect func() map[Group]Use, remote func(pool.Hash) Use, now clock.Millis,
) Verdict {
	known := l.groups[group]
	if known == nil {
		return Verdict{}
	}
	if now-l.usesAt[group.Service] >= usesTTL || l.usesAt[group.Service] == 0 {
		l.usesAt[group.Service] = now
		own := collect()
		for other, otherKnown := range l.groups {
			if other.Service == group.Service {
				otherKnown.use = own[other].Add(remote(otherKnown.hash))
			}
		}
	}
	rest := float64(inFlight)
	asks := make([]Ask, 0, len(l.groups))
	for other, otherKnown := range l.groups {
		if other.Service == group.Service {
			rest -= float64(otherKnown.use.Requests)
			asks = append(asks, Ask{float64(otherKnown.use.Requests), 1})
		}
	}
	// What is not known by group is taken to be that of all groups alike.
	rest = max(rest, 0) / float64(len(asks))
	for i := range asks {
		asks[i].Amount += rest
	}
	level := max(Level(room, asks), leastParts*float64(inFlight)/float64(len(asks)))
	use := float64(known.use.Requests) + rest
	wasOver := known.overAt != 0 && now-known.overAt <= overTTL
	limit := level
	if wasOver {
		limit *= release
	}
	verdict := Verdict{IsOver: use > limit, Share: min(level, float64(inFlight)), Use: int(use)}
	verdict.HasChanged = verdict.IsOver != wasOver
	known.overAt = 0
	if verdict.IsOver {
		known.overAt = now
	}
	return verdict
}

// Publish returns the uses to publish among the loads of endpoints, given those of all groups at
// this entry.
func (l *Ledger) Publish(collect func() map[Group]Use, now clock.Millis) map[pool.Hash]pool.Load {
	if l.collectedAt != 0 && now-l.collectedAt < collectInterval {
		return l.published
	}
	l.collectedAt = now
	own := collect()
	total := 0
	for _, use := range own {
		total += use.Requests
	}
	groups := slices.SortedFunc(maps.Keys(own), func(a, b Group) int {
		return cmp.Or(
			cmp.Compare(own[b].Requests, own[a].Requests),
			cmp.Compare(a.Service, b.Service), cmp.Compare(a.Organisation, b.Organisation),
		)
	})
	l.published = map[pool.Hash]pool.Load{}
	for _, group := range groups[:min(len(groups), maxPublished)] {
		known := l.groups[group]
		if known == nil || own[group].Requests < max(minPublished, total/publishedDivisor) {
			continue
		}
		hasDoubled := own[group].Requests >= 2*known.published.Requests
		if (hasDoubled || now-known.publishedAt >= publishInterval) && own[group].differs(known.published) {
			known.published, known.publishedAt = own[group], now
		}
		l.published[known.hash] = known.published.Load()
	}
	return l.published
}

// differs reports whether the use differs from the published one by enough to be published.
func (u Use) differs(published Use) bool {
	requests := max(u.Requests-published.Requests, published.Requests-u.Requests)
	work := max(u.PrefillMillis-published.PrefillMillis, published.PrefillMillis-u.PrefillMillis)
	return requests > 1+published.Requests/toleranceDivisor || work > workUnit+published.PrefillMillis/toleranceDivisor
}

// Load returns the use in the form of the load of an endpoint.
func (u Use) Load() pool.Load {
	return pool.Load{Leads: u.Requests, ContextTokens: u.PrefillMillis / workUnit * tokensPerUnit}
}

// UseOf returns the use that was published as a load.
func UseOf(load pool.Load) Use {
	return Use{Requests: load.Leads, PrefillMillis: load.ContextTokens / tokensPerUnit * workUnit}
}
