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
	// MaxGroups bounds the groups of a service that an entry remembers, groupTTL is how long it does after
	// their last request.
	MaxGroups = 64
	groupTTL  = 20 * clock.Second
	// usesTTL is how long decisions use the same sums.
	usesTTL = 100 * clock.Millis(1)
	// release is the part of its share below which a group that was over it is within it again.
	release = 0.9
	// overTTL is how long a group counts as over its share after it was last found so.
	overTTL = 2 * clock.Second

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
	// Ledger holds the groups that lately sent requests to an entry, and the signs of contention. It is
	// not safe for concurrent use.
	Ledger struct {
		services    map[ident.Service]*service
		collectedAt clock.Millis
		published   map[pool.Hash]pool.Load
	}

	// service is what is known of a service.
	service struct {
		groups map[ident.Organisation]*record
		// refreshedAt is when the uses of the groups were last looked up, and known their requests.
		refreshedAt clock.Millis
		known       int
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
	return &Ledger{services: map[ident.Service]*service{}, published: map[pool.Hash]pool.Load{}}
}

// serviceOf returns what is known of a service.
func (l *Ledger) serviceOf(name ident.Service) *service {
	known := l.services[name]
	if known == nil {
		known = &service{groups: map[ident.Organisation]*record{}}
		l.services[name] = known
	}
	return known
}

// Note records that a group sent a request, and returns the hash of the group. If there are too many
// groups, the one that sent none for the longest time is dropped.
func (l *Ledger) Note(group Group, now clock.Millis) pool.Hash {
	s := l.serviceOf(group.Service)
	known := s.groups[group.Organisation]
	if known == nil {
		if len(s.groups) >= MaxGroups {
			s.dropOldest()
		}
		known = &record{hash: group.Hash()}
		s.groups[group.Organisation] = known
		s.refreshedAt = 0
	}
	known.seenAt = now
	return known.hash
}

// dropOldest drops the group that sent no request for the longest time, the first by name of several.
func (s *service) dropOldest() {
	var oldest ident.Organisation
	for name, known := range s.groups {
		first := s.groups[oldest]
		if first == nil || cmp.Or(cmp.Compare(known.seenAt, first.seenAt), cmp.Compare(name, oldest)) < 0 {
			oldest = name
		}
	}
	delete(s.groups, oldest)
}

// IsOutdated reports whether the uses of the groups of a service have to be looked up again.
func (l *Ledger) IsOutdated(name ident.Service, now clock.Millis) bool {
	s := l.serviceOf(name)
	return s.refreshedAt == 0 || now-s.refreshedAt >= usesTTL
}

// Refresh looks up the uses of the groups of a service, given those at this entry and a function that
// returns those at the others. Groups that lately sent no request are dropped.
func (l *Ledger) Refresh(name ident.Service, own map[Group]Use, remote func(pool.Hash) Use, now clock.Millis) {
	s := l.serviceOf(name)
	s.refreshedAt = now
	s.known = 0
	for organisation, known := range s.groups {
		if now-known.seenAt > groupTTL {
			delete(s.groups, organisation)
			continue
		}
		known.use = own[Group{name, organisation}].Add(remote(known.hash))
		s.known += known.use.Requests
	}
}

// Judge compares the use of a group with its share of the room, both in requests. inFlight is the
// number of all requests at the endpoints of the service; what is not known by group of them is taken to be
// that of all groups alike. A group that is alone is within its share.
func (l *Ledger) Judge(group Group, room float64, inFlight int, now clock.Millis) Verdict {
	s := l.serviceOf(group.Service)
	known := s.groups[group.Organisation]
	if known == nil || len(s.groups) < 2 {
		return Verdict{}
	}
	count := float64(len(s.groups))
	rest := float64(max(inFlight-s.known, 0)) / count
	use := float64(known.use.Requests) + rest
	level := room / count
	if use > release*level {
		asks := make([]Ask, 0, len(s.groups))
		for _, other := range s.groups {
			asks = append(asks, Ask{float64(other.use.Requests) + rest, 1})
		}
		level = Limit(room, asks)
	}
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
		known := l.serviceOf(group.Service).groups[group.Organisation]
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
