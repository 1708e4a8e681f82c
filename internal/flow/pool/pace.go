package pool

import (
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
)

const (
	// PaceTTL is how long a reported pace counts; slow endpoints are asked again
	// within it, so that a lost report or two do no harm.
	PaceTTL = 4 * clock.Second
	// MinReportInterval is the least time between two reports of one endpoint; reports are
	// priced, and an endpoint that recovered is needed again within some seconds.
	MinReportInterval = 1500 * clock.Millis(1)
	// SlowPace is the pace from which an endpoint is slow.
	SlowPace = 1.5

	normalPace = 1.0
	// slowestPace bounds what is believed of a report.
	slowestPace = 100.0
)

// Pace is how many times as long as published an endpoint takes for its work, by
// its own report.
type Pace struct {
	Factor float64
	At     clock.Millis
}

// Pace returns how many times as long as published the endpoint takes; 1 unless a
// recent report says otherwise.
func (e *Endpoint) Pace(now clock.Millis) float64 {
	if e.pace.At == 0 || now-e.pace.At > PaceTTL {
		return normalPace
	}
	return e.pace.Factor
}

// RecordReport takes the pace that the endpoint reported to this entry. It reports
// whether the endpoint was found to become slow or to recover.
func (p *Pool) RecordReport(e *Endpoint, factor float64, now clock.Millis) bool {
	before := e.Pace(now) >= SlowPace
	e.reported = Pace{min(max(factor, normalPace), slowestPace), now}
	e.pace = e.reported
	p.note(e)
	return before != (e.Pace(now) >= SlowPace)
}

// BeginReportRequest reports whether it is time to ask the endpoint for its pace, and
// notes that it is asked.
func (e *Endpoint) BeginReportRequest(now clock.Millis) bool {
	if now-e.askedAt < MinReportInterval || now-e.pace.At < MinReportInterval {
		return false
	}
	e.askedAt = now
	return true
}

// SlowEndpoints returns the slow endpoints whose last report this entry got: it is the
// one to see whether they recover.
func (p *Pool) SlowEndpoints(now clock.Millis) []*Endpoint {
	var watched []*Endpoint
	for _, endpoint := range p.noted {
		isLast := endpoint.reported.At != 0 && endpoint.reported == endpoint.pace
		if isLast && endpoint.Pace(now) >= SlowPace && endpoint.GoneAt == 0 {
			watched = append(watched, endpoint)
		}
	}
	return watched
}

// Reported returns the reports that this entry got lately, by endpoint.
func (p *Pool) Reported(now clock.Millis) map[Hash]Pace {
	var found map[Hash]Pace
	for _, endpoint := range p.noted {
		if endpoint.reported.At == 0 || now-endpoint.reported.At > MinReportInterval {
			continue
		}
		if found == nil {
			found = map[Hash]Pace{}
		}
		found[endpoint.mark] = endpoint.reported
	}
	return found
}

// TellPaces takes the reports that another entry got; the newest one counts. It
// returns the endpoints that were found to become slow or to recover.
func (p *Pool) TellPaces(told map[Hash]Pace, now clock.Millis) []ident.Endpoint {
	var changed []ident.Endpoint
	all := p.ByHash()
	for mark, pace := range told {
		endpoint := all[mark]
		if endpoint == nil || pace.At <= endpoint.pace.At {
			continue
		}
		before := endpoint.Pace(now) >= SlowPace
		endpoint.pace = pace
		if before != (endpoint.Pace(now) >= SlowPace) {
			changed = append(changed, endpoint.Name)
		}
	}
	return changed
}
