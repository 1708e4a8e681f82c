package pool

import (
	"iter"
	"maps"
	"slices"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
)

const (
	// FailureWindow is how long a failed request counts towards an ejection. It is a few
	// times the timeout after which a request without events is considered failed.
	FailureWindow = 3 * clock.Second
	// EjectionFailures is the number of failures, over all entries, that ejects an
	// endpoint. At least ejectionEntries entries must have seen some of them, since an
	// entry with faulty links of its own sees healthy endpoints fail.
	EjectionFailures = 3
	ejectionEntries  = 2
	// InitialEjection is the duration of the first ejection. It exceeds FailureWindow, so
	// that peers no longer publish the old failures when it ends. Each further ejection
	// in a row lasts twice as long.
	InitialEjection = FailureWindow + 200*clock.Millis(1)
	// MaxEjection bounds the duration of one ejection.
	MaxEjection = 8 * clock.Second
	// minInUseRatio is the share of a service's endpoints that must stay in use whatever
	// peers report. If most endpoints fail, the cause lies elsewhere.
	minInUseRatio = 0.6
)

// failureReport is the number of recent failures at an endpoint that a peer has
// published.
type failureReport struct {
	count int
	at    clock.Millis
	// grewAt is when the count last grew.
	grewAt clock.Millis
}

// RecordError counts a failed request towards an ejection, whatever the cause.
func (p *Pool) RecordError(e *Endpoint, now clock.Millis) {
	e.ownFailures = append(e.ownFailures, now)
	p.track(e)
}

// RecentFailures returns the number of this entry's own failures within FailureWindow, by
// endpoint. It returns nil if there are none.
func (p *Pool) RecentFailures(now clock.Millis) map[Hash]int {
	var counts map[Hash]int
	for _, endpoint := range p.tracked {
		endpoint.expireFailures(now)
		if len(endpoint.ownFailures) == 0 {
			continue
		}
		if counts == nil {
			counts = map[Hash]int{}
		}
		counts[endpoint.hash] = len(endpoint.ownFailures)
	}
	return counts
}

// UpdatePeerFailures replaces the recent failures that the peer has published. Failures
// at endpoints that are currently ejected are ignored.
func (p *Pool) UpdatePeerFailures(entry ident.Entry, counts map[Hash]int, now clock.Millis) {
	for _, endpoint := range p.tracked {
		if counts[endpoint.hash] == 0 || now < endpoint.ejectedUntil {
			delete(endpoint.failureReports, entry)
		}
	}
	all := p.ByHash()
	for hash, count := range counts {
		endpoint := all[hash]
		if endpoint == nil || count == 0 || now < endpoint.ejectedUntil {
			continue
		}
		if endpoint.failureReports == nil {
			endpoint.failureReports = map[ident.Entry]failureReport{}
		}
		report := failureReport{count, now, now}
		if previous, isKnown := endpoint.failureReports[entry]; isKnown && count <= previous.count {
			report.grewAt = previous.grewAt
		}
		endpoint.failureReports[entry] = report
		p.track(endpoint)
	}
}

// EjectFailing ejects the endpoints at which requests of several entries failed and
// returns their names in order. Failures are counted over all entries because an endpoint
// may serve some requests well, so that no single entry sees enough of them.
func (p *Pool) EjectFailing(now clock.Millis) []ident.Endpoint {
	var ejected []ident.Endpoint
	for hash, endpoint := range p.tracked {
		if endpoint.canUntrack(now) {
			delete(p.tracked, hash)
			continue
		}
		switch {
		case now < endpoint.ejectedUntil, !endpoint.failsSeveralEntries(now), !p.canEjectFrom(endpoint.Service, now):
			continue
		case p.IsUnreachable(endpoint.Domain):
			// The whole failure domain is out of use and is readmitted as a whole.
			endpoint.clearFailures()
			continue
		}
		if now-endpoint.ejectedUntil > MaxEjection {
			endpoint.ejections = 0
		}
		endpoint.ejectedUntil = now + min(InitialEjection<<min(endpoint.ejections, 10), MaxEjection)
		endpoint.ejections++
		endpoint.clearFailures()
		ejected = append(ejected, endpoint.Name)
	}
	slices.Sort(ejected)
	return ejected
}

// canUntrack reports whether all that the endpoint was tracked for has expired.
func (e *Endpoint) canUntrack(now clock.Millis) bool {
	e.expireFailures(now)
	hasLeavingExpired := e.LeavingAt == 0 || now-e.LeavingAt > LeavingPublishWindow
	hasReport := e.reported.At != 0 && now-e.reported.At <= PaceTTL
	return hasLeavingExpired && !hasReport && now >= e.ownPauseUntil && len(e.ownFailures) == 0 && len(e.failureReports) == 0
}

// clearFailures discards the failures recorded so far.
func (e *Endpoint) clearFailures() {
	e.ownFailures = nil
	e.failureReports = nil
}

func (e *Endpoint) failsSeveralEntries(now clock.Millis) bool {
	e.expireFailures(now)
	total, entries := len(e.ownFailures), 0
	if total > 0 {
		entries++
	}
	for _, report := range e.failureReports {
		total += report.count
		entries++
	}
	return total >= EjectionFailures && entries >= ejectionEntries
}

func (e *Endpoint) expireFailures(now clock.Millis) {
	e.ownFailures = slices.DeleteFunc(e.ownFailures, func(at clock.Millis) bool { return now-at > FailureWindow })
	maps.DeleteFunc(e.failureReports, func(_ ident.Entry, report failureReport) bool { return now-report.at > FailureWindow })
}

// canEjectFrom reports whether enough endpoints of the service would stay in use if one
// more were ejected.
func (p *Pool) canEjectFrom(service ident.Service, now clock.Millis) bool {
	listed, inUse := 0, 0
	for _, endpoint := range p.ByService(service) {
		if endpoint.RemovedAt != 0 || endpoint.isEvacuated {
			continue
		}
		listed++
		if now >= endpoint.ejectedUntil {
			inUse++
		}
	}
	return float64(inUse-1) >= minInUseRatio*float64(listed)
}

// LastFailure returns when a request of any entry last failed at the endpoint, or zero if none
// did within FailureWindow.
func (e *Endpoint) LastFailure(now clock.Millis) clock.Millis {
	e.expireFailures(now)
	last := clock.Millis(0)
	for _, at := range e.ownFailures {
		last = max(last, at)
	}
	for _, report := range e.failureReports {
		last = max(last, report.grewAt)
	}
	return last
}

// Tracked yields the endpoints with recent failures, reports or a leaving state.
func (p *Pool) Tracked() iter.Seq[*Endpoint] { return maps.Values(p.tracked) }
