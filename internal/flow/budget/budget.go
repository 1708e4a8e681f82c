// Package budget limits the number of retries, so that they can't multiply the load
// on a failing service.
package budget

import (
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
)

const (
	// SafetyFactor is the fraction of the allowance that an entry uses, since entries
	// count independently of one another and windows slide.
	SafetyFactor = 0.5
	// slots is the number of slots into which a window is divided.
	slots = 10
)

type (
	// Budget counts the requests and the retries of each service in a sliding window.
	Budget struct {
		counts map[ident.Service]*window
	}

	window struct {
		// length is the length of the window that slot counts in.
		length   clock.Millis
		slot     int64
		requests [slots]int
		retries  [slots]int
	}

	// Limits bounds the retries in a window at all entries: Ratio of the requests plus
	// Slack.
	Limits struct {
		Ratio  float64
		Slack  float64
		Window clock.Millis
		// Entries is the number of entries among which the slack is divided.
		Entries int
	}
)

// New returns an empty budget.
func New() *Budget { return &Budget{map[ident.Service]*window{}} }

// CountRequest counts a request for the service.
func (b *Budget) CountRequest(service ident.Service, limits Limits, now clock.Millis) {
	w := b.windowAt(service, limits, now)
	w.requests[w.slot%slots]++
}

// TakeRetry counts one retry against the budget of the service. It returns false and
// counts nothing if the budget is exhausted.
func (b *Budget) TakeRetry(service ident.Service, limits Limits, now clock.Millis) bool {
	if !b.HasRetry(service, limits, now) {
		return false
	}
	w := b.windowAt(service, limits, now)
	w.retries[w.slot%slots]++
	return true
}

// HasRetry reports whether the budget of the service allows a retry.
func (b *Budget) HasRetry(service ident.Service, limits Limits, now clock.Millis) bool {
	w := b.windowAt(service, limits, now)
	requests, retries := 0, 0
	for i := range slots {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	allowed := SafetyFactor * (limits.Ratio*float64(requests) + limits.Slack/float64(max(limits.Entries, 1)))
	return float64(retries+1) <= allowed
}

// windowAt returns the window of the service and advances it to now, which clears
// expired slots. A window of another length begins without counts.
func (b *Budget) windowAt(service ident.Service, limits Limits, now clock.Millis) *window {
	w := b.counts[service]
	if w == nil || w.length != limits.Window {
		w = &window{length: limits.Window}
		b.counts[service] = w
	}
	slot := int64(now / max(limits.Window/slots, 1))
	for range min(slot-w.slot, slots) {
		w.slot++
		w.requests[w.slot%slots] = 0
		w.retries[w.slot%slots] = 0
	}
	w.slot = max(w.slot, slot)
	return w
}
