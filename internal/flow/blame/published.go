package blame

import (
	"cmp"
	"maps"
	"slices"

	"mustardhook/internal/core/clock"
)

const (
	// maxAcquittals bounds the own acquittals of each kind that are published, acquittalTTL is how
	// long one is.
	maxAcquittals = 16
	acquittalTTL  = 10 * clock.Second
)

type (
	// published holds the acquittals that other entries need, of parts or of whole requests.
	published[K cmp.Ordered] map[K]publishedAcquittal

	// publishedAcquittal is the time of an acquittal, and since when others are told.
	publishedAcquittal struct{ at, since clock.Millis }
)

// put adds an acquittal. Over maxAcquittals, the one that others were told first is dropped.
func (p published[K]) put(key K, at, now clock.Millis) {
	if _, isKnown := p[key]; !isKnown && len(p) == maxAcquittals {
		oldest := slices.MinFunc(slices.Sorted(maps.Keys(p)), func(a, b K) int { return cmp.Compare(p[a].since, p[b].since) })
		delete(p, oldest)
	}
	p[key] = publishedAcquittal{at, now}
}

// since returns the sorted keys of the acquittals that others are told since the given time.
func (p published[K]) since(since clock.Millis) []K {
	var keys []K
	for _, key := range slices.Sorted(maps.Keys(p)) {
		if p[key].since >= since {
			keys = append(keys, key)
		}
	}
	return keys
}

// expire removes the acquittals that others were told long ago.
func (p published[K]) expire(now clock.Millis) {
	maps.DeleteFunc(p, func(_ K, a publishedAcquittal) bool { return now-a.since > acquittalTTL })
}
