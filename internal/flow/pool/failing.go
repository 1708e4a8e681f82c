package pool

import (
	"maps"
	"slices"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
)

const (
	// FailureWindow is how long a failure counts among those of all entries: some times
	// the silence after which a request is taken to have failed.
	FailureWindow = 3 * clock.Second
	// OutFailures is how many failures at all entries take an endpoint out of use, and
	// outEntries how many entries must have seen some: the fault of one entry's own
	// links is none of the endpoint.
	OutFailures = 3
	outEntries  = 2
	// InitialEjection is the first time out of use, until nobody tells of the failures any
	// more; each further one doubles.
	InitialEjection = FailureWindow + 200*clock.Millis(1)
	// LongestOut bounds the times out of use.
	LongestOut = 8 * clock.Second
	// leastInUse is the part of a service's endpoints that stay in use whatever is told
	// of them: when most of them fail, the cause lies elsewhere.
	leastInUse = 0.6
)

// toldFailures is what another entry tells of its failures at an endpoint.
type toldFailures struct {
	count int
	at    clock.Millis
}

// RecordError notes a failed request, whatever was the cause.
func (p *Pool) RecordError(e *Endpoint, now clock.Millis) {
	e.recent = append(e.recent, now)
	p.note(e)
}

// Failing returns the failures of own requests lately, by endpoint.
func (p *Pool) Failing(now clock.Millis) map[Hash]int {
	var failing map[Hash]int
	for _, endpoint := range p.noted {
		endpoint.forgetFailures(now)
		if len(endpoint.recent) == 0 {
			continue
		}
		if failing == nil {
			failing = map[Hash]int{}
		}
		failing[endpoint.mark] = len(endpoint.recent)
	}
	return failing
}

// TellFailing takes the failures that another entry saw lately.
func (p *Pool) TellFailing(entry ident.Entry, failing map[Hash]int, now clock.Millis) {
	for _, endpoint := range p.noted {
		if failing[endpoint.mark] == 0 || now < endpoint.outUntil {
			delete(endpoint.told, entry)
		}
	}
	all := p.ByHash()
	for mark, count := range failing {
		endpoint := all[mark]
		if endpoint == nil || count == 0 || now < endpoint.outUntil {
			continue
		}
		if endpoint.told == nil {
			endpoint.told = map[ident.Entry]toldFailures{}
		}
		endpoint.told[entry] = toldFailures{count, now}
		p.note(endpoint)
	}
}

// TakeOut takes endpoints out of use that failed requests of several entries, and
// returns their names. Such an endpoint may serve some requests well, so that no
// entry alone sees enough of its failures.
func (p *Pool) TakeOut(now clock.Millis) []ident.Endpoint {
	var out []ident.Endpoint
	for mark, endpoint := range p.noted {
		if endpoint.isQuiet(now) {
			delete(p.noted, mark)
			continue
		}
		switch {
		case now < endpoint.outUntil, !endpoint.failsEntries(now), !p.canSpare(endpoint.Service, now):
			continue
		case p.IsUnreachable(endpoint.Domain, now):
			// The failure domain is out of use as a whole, and comes back as one.
			endpoint.forgive()
			continue
		}
		if now-endpoint.outUntil > LongestOut {
			endpoint.outs = 0
		}
		endpoint.outUntil = now + min(InitialEjection<<min(endpoint.outs, 10), LongestOut)
		endpoint.outs++
		endpoint.forgive()
		out = append(out, endpoint.Name)
	}
	slices.Sort(out)
	return out
}

// isQuiet reports whether there is nothing left to tell of the endpoint.
func (e *Endpoint) isQuiet(now clock.Millis) bool {
	e.forgetFailures(now)
	isTold := e.LeftAt == 0 || now-e.LeftAt > TellSpan
	isReported := e.reported.At != 0 && now-e.reported.At <= PaceTTL
	return isTold && !isReported && len(e.recent) == 0 && len(e.told) == 0
}

// forgive forgets the failures so far.
func (e *Endpoint) forgive() {
	e.recent = nil
	e.told = nil
}

func (e *Endpoint) failsEntries(now clock.Millis) bool {
	e.forgetFailures(now)
	total, entries := len(e.recent), 0
	if total > 0 {
		entries++
	}
	for _, told := range e.told {
		total += told.count
		entries++
	}
	return total >= OutFailures && entries >= outEntries
}

func (e *Endpoint) forgetFailures(now clock.Millis) {
	e.recent = slices.DeleteFunc(e.recent, func(at clock.Millis) bool { return now-at > FailureWindow })
	maps.DeleteFunc(e.told, func(_ ident.Entry, told toldFailures) bool { return now-told.at > FailureWindow })
}

func (p *Pool) canSpare(service ident.Service, now clock.Millis) bool {
	listed, used := 0, 0
	for _, endpoint := range p.ByService(service) {
		if endpoint.GoneAt != 0 {
			continue
		}
		listed++
		if now >= endpoint.outUntil {
			used++
		}
	}
	return float64(used-1) >= leastInUse*float64(listed)
}
