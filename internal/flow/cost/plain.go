package cost

import (
	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/pool"
)

const (
	// NewsDelay is the time until all entries know of a send: two hubs batch changes for
	// 25 ms each, and three datagrams are in transit.
	NewsDelay = 60 * clock.Millis(1)
	// minPublished is the least cost or age of published work of plain services. Shorter
	// requests have ended when others know of them.
	minPublished = 2 * NewsDelay
)

// PlainLoad returns the load of a request at a plain service. It is empty if the request is too short
// to publish.
func PlainLoad(work pool.Work, now clock.Millis) pool.Load {
	if work.Cost == 0 || work.Cost < minPublished && now-work.StartedAt < minPublished {
		return pool.Load{}
	}
	// A request that lasts longer than expected is published as one of the least published cost.
	expected := max(work.Cost, minPublished)
	return pool.Load{
		Leads: 1, Prefilling: 1, PrefillMillis: int(expected), LastPrefillEndsAt: work.StartedAt + expected,
	}
}

// PlainLeft returns how much longer a request is expected to run at a plain service. One that has outlasted its
// estimate is likely to go on.
func PlainLeft(work pool.Work, now clock.Millis) float64 {
	age := now - work.StartedAt
	return float64(max(work.Cost-age, age/2))
}
