// Package warm divides the requests that a cold endpoint tolerates among the entries. An
// endpoint is cold for some seconds after its start, or from any other moment; too many
// requests a second make it crash. Entries agree on the division without messages: each
// ranks all known entries by a hash of the endpoint and the entry.
package warm

import (
	"math"

	"mustardhook/internal/core/clock"
)

const (
	// RampTime is how long the rate stays bounded after an endpoint was cold. The bound
	// doubles each second.
	RampTime = 2 * clock.Second
	// SettleTime is how long after its start an entry sends nothing to cold endpoints, as
	// it may not know the other entries yet.
	SettleTime = 3 * clock.Second
)

type (
	// View is what an entry knows of all entries when it ranks them for an endpoint.
	View struct {
		// Rank is the number of known entries that come before this one.
		Rank int
		// Known counts the known entries that are not leaving, Heard those among them that
		// were heard lately. Both include this one.
		Known int
		Heard int
		// Members is the largest number of entries that any of them has known at a time.
		Members int
	}

	// Part is what an entry may send to a bounded endpoint.
	Part struct {
		// Interval is the least time between two requests.
		Interval clock.Millis
		// Delay is the least time from when the bound became known to the first request. It
		// differs between the entries, so that they don't begin at once.
		Delay clock.Millis
	}
)

// Rate returns how many requests a second an endpoint may get from all entries that
// tolerates coldRate until the given time. It reports false if there is no bound any more.
func Rate(coldRate float64, until, now clock.Millis) (float64, bool) {
	switch {
	case now < until:
		return coldRate, true
	case now < until+RampTime:
		return coldRate * math.Exp2(float64(now-until)/float64(clock.Second)), true
	}
	return 0, false
}

// PartOf returns the part of this entry in a rate of requests a second. It reports false if
// it has none. The parts of all entries with equal views add up to the rate at most. An
// entry that knows only some of the others counts as that share of them, so that the parts
// on both sides of a cut add up to the rate, too.
func PartOf(perSecond float64, view View) (Part, bool) {
	members := max(view.Members, view.Known, 1)
	if 2*view.Heard < members {
		return Part{}, false
	}
	keepers := max(min(int(perSecond), members), 1)
	if view.Rank >= keepers*view.Known/members {
		return Part{}, false
	}
	each := perSecond / float64(keepers)
	if each >= 1 {
		each = math.Floor(each)
	}
	interval := clock.Millis(math.Ceil(float64(clock.Second) / each))
	return Part{Interval: interval, Delay: interval * clock.Millis(view.Rank) / clock.Millis(keepers)}, true
}

// RunKey identifies a run of an endpoint in the ranking of entries.
func RunKey(endpoint uint32, epoch uint64) uint64 { return mix(uint64(endpoint) ^ mix(epoch)) }

// Score is the position of an entry in the ranking for a run of an endpoint; the entry with
// the highest score comes first.
func Score(run uint64, entry uint32) uint64 { return mix(run ^ uint64(entry)) }

// mix is the finalizer of SplitMix64, which spreads each bit over the whole result.
func mix(value uint64) uint64 {
	value += 0x9e3779b97f4a7c15
	value = (value ^ value>>30) * 0xbf58476d1ce4e5b9
	value = (value ^ value>>27) * 0x94d049bb133111eb
	return value ^ value>>31
}
