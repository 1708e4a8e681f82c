// Package budget bounds the sends beyond the first of each request, so that
// retries can't multiply the load on a service that fails.
package budget

import (
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
)

const (
	// SafetyFactor is the part of the allowance that is used; entries count apart
	// and windows slide.
	SafetyFactor = 0.5
	// slots is into how many parts a window is divided.
	slots = 10
)

type (
	// Budget counts requests and sends beyond the first, by service.
	Budget struct {
		counts map[ident.Service]*window
	}

	window struct {
		slot     int64
		requests [slots]int
		repeats  [slots]int
	}

	// Limits say how many repeats are allowed in a window, over all entries.
	Limits struct {
		Ratio  float64
		Slack  float64
		Window clock.Millis
		// Entries is how many entries share the slack.
		Entries int
	}
)

// New returns an empty budget.
func New() *Budget { return &Budget{map[ident.Service]*window{}} }

// Count notes a request for the service.
func (b *Budget) Count(service ident.Service, limits Limits, now clock.Millis) {
	w := b.at(service, limits, now)
	w.requests[w.slot%slots]++
}

// Spend takes one repeat from the budget, or returns false.
func (b *Budget) Spend(service ident.Service, limits Limits, now clock.Millis) bool {
	w := b.at(service, limits, now)
	requests, repeats := 0, 0
	for i := range slots {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	allowed := SafetyFactor * (limits.Ratio*float64(requests) + limits.Slack/float64(max(limits.Entries, 1)))
	if float64(repeats+1) > allowed {
		return false
	}
	w.repeats[w.slot%slots]++
	return true
}

func (b *Budget) at(service ident.Service, limits Limits, now clock.Millis) *window {
	w := b.counts[service]
	if w == nil {
		w = &window{}
		b.counts[service] = w
	}
	slot := int64(now / max(limits.Window/slots, 1))
	for range min(slot-w.slot, slots) {
		w.slot++
		w.requests[w.slot%slots] = 0
		w.repeats[w.slot%slots] = 0
	}
	w.slot = max(w.slot, slot)
	return w
}
