package pool

import (
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
)

const (
	// PaceTTL is how long a reported pace is valid. Slow endpoints are polled again
	// within it, so that one or two lost reports do no harm.
	PaceTTL = 4 * clock.Second
	// MinReportInterval is the minimum time between two reports of one endpoint. Each
	// report has a cost, and an endpoint that recovered is needed again within seconds.
	MinReportInterval = 1500 * clock.Millis(1)
	// SlowPace is the pace from which an endpoint counts as slow.
	SlowPace = 1.5

	normalPace = 1.0
	// maxPace bounds the pace accepted from a report.
	maxPace = 100.0
)

// Pace is a report of an endpoint: how many times as long as published its work takes.
type Pace struct {
	Factor float64
	At     clock.Millis
}

// Pace returns how many times as long as published the endpoint takes for its work. Without
// a report within PaceTTL, it is 1, or more for an endpoint that is cold.
func (e *Endpoint) Pace(now clock.Millis) float64 {
	if e.pace.At == 0 || now-e.pace.At > PaceTTL {
		return e.startPace(now)
	}
	return e.pace.Factor
}

// RecordReport records the pace that the endpoint reported to this entry. It returns true
// if the endpoint became slow or recovered.
func (p *Pool) RecordReport(e *Endpoint, factor float64, now clock.Millis) bool {
	wasSlow := e.Pace(now) >= SlowPace
	e.reported = Pace{min(max(factor, normalPace), maxPace), now}
	e.pace = e.reported
	p.track(e)
	return wasSlow != (e.Pace(now) >= SlowPace)
}

// BeginReportRequest reports whether the endpoint is due to be asked for its pace. If so,
// it also records the time of the request.
func (e *Endpoint) BeginReportRequest(now clock.Millis) bool {
	if now-e.requestedAt < MinReportInterval || now-e.pace.At < MinReportInterval {
		return false
	}
	e.requestedAt = now
	return true
}

// SlowEndpoints returns the slow endpoints whose most recent report was sent to this
// entry, which then has to check whether they recover.
func (p *Pool) SlowEndpoints(now clock.Millis) []*Endpoint {
	var slow []*Endpoint
	for _, endpoint := range p.tracked {
		isOwnReport := endpoint.reported.At != 0 && endpoint.reported == endpoint.pace
		if isOwnReport && endpoint.Pace(now) >= SlowPace && endpoint.RemovedAt == 0 && !endpoint.IsLeaving() {
			slow = append(slow, endpoint)
		}
	}
	return slow
}

// RecentReports returns the paces that endpoints reported to this entry within
// MinReportInterval. It returns nil if there are none.
func (p *Pool) RecentReports(now clock.Millis) map[Hash]Pace {
	var reports map[Hash]Pace
	for _, endpoint := range p.tracked {
		if endpoint.reported.At == 0 || now-endpoint.reported.At > MinReportInterval {
			continue
		}
		if reports == nil {
			reports = map[Hash]Pace{}
		}
		reports[endpoint.hash] = endpoint.reported
	}
	return reports
}

// UpdatePeerPaces applies the reports that a peer received; the newest report of an
// endpoint wins. It returns the endpoints that became slow or recovered.
func (p *Pool) UpdatePeerPaces(reports map[Hash]Pace, now clock.Millis) []ident.Endpoint {
	var changed []ident.Endpoint
	all := p.ByHash()
	for hash, pace := range reports {
		endpoint := all[hash]
		if endpoint == nil || pace.At <= endpoint.pace.At {
			continue
		}
		wasSlow := endpoint.Pace(now) >= SlowPace
		endpoint.pace = pace
		if wasSlow != (endpoint.Pace(now) >= SlowPace) {
			changed = append(changed, endpoint.Name)
		}
	}
	return changed
}
