package pool

import (
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
)

// DurationWindow is how long the durations of a service are collected. Those of the last window count
// until the next one ends.
const DurationWindow = 30 * clock.Second

// durations holds the longest durations of the sends to a service in two successive windows.
type durations struct {
	startedAt clock.Millis
	current   clock.Millis
	previous  clock.Millis
}

// RecordDuration records how long an endpoint of the service took for a send.
func (p *Pool) RecordDuration(service ident.Service, duration, now clock.Millis) {
	known := p.durations[service]
	if known == nil {
		known = &durations{startedAt: now}
		p.durations[service] = known
	}
	if age := now - known.startedAt; age >= DurationWindow {
		known.previous = 0
		if age < 2*DurationWindow {
			known.previous = known.current
		}
		known.current = 0
		known.startedAt = now
	}
	known.current = max(known.current, duration)
}

// LongestDuration returns the longest recent duration of a send to the service. It reports false if
// there was none.
func (p *Pool) LongestDuration(service ident.Service) (clock.Millis, bool) {
	known := p.durations[service]
	if known == nil {
		return 0, false
	}
	return max(known.current, known.previous), true
}
