package pool

import (
	"slices"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
)

// MarkUnreachable notes that the failure domain can't be reached. Its endpoints are out of
// use for a pause that doubles until one of them answers.
func (p *Pool) MarkUnreachable(domain ident.Domain, now clock.Millis) {
	known := p.cut[domain]
	if now < known.restUntil {
		return
	}
	known.rest = min(max(2*known.rest, FirstRest), LongestRest)
	known.restUntil = now + known.rest
	p.cut[domain] = known
}

// MarkReachable notes that the failure domain can be reached.
func (p *Pool) MarkReachable(domain ident.Domain) { delete(p.cut, domain) }

// IsUnreachable reports whether the failure domain is out of use.
func (p *Pool) IsUnreachable(domain ident.Domain, now clock.Millis) bool {
	return now < p.cut[domain].restUntil
}

// IsUsable reports whether new work may be sent to the endpoint.
func (e *Endpoint) IsUsable(now clock.Millis) bool {
	isListed := e.GoneAt == 0 || now < e.DoubtUntil
	return isListed && !e.Leaving && now >= e.BackoffUntil && now >= e.ToldUntil && now >= e.outUntil
}

// RecentlyLeaving returns the marks of endpoints that were found to leave lately.
func (p *Pool) RecentlyLeaving(now clock.Millis) []Hash {
	var left []Hash
	for _, endpoint := range p.noted {
		if endpoint.LeftAt != 0 && now-endpoint.LeftAt <= TellSpan {
			left = append(left, endpoint.mark)
		}
	}
	slices.Sort(left)
	return left
}

// TellLeft takes the word of another entry that endpoints leave.
func (p *Pool) TellLeft(left []Hash, now clock.Millis) {
	all := p.ByHash()
	for _, mark := range left {
		if endpoint := all[mark]; endpoint != nil {
			endpoint.ToldUntil = now + ToldSpan
		}
	}
}

// note adds the endpoint to those that there is something to tell of.
func (p *Pool) note(endpoint *Endpoint) { p.noted[endpoint.mark] = endpoint }

// RecordFailure notes a send that failed by the endpoint's fault.
func (p *Pool) RecordFailure(e *Endpoint, now clock.Millis) {
	p.RecordError(e, now)
	e.Failures++
	if e.Failures < FailuresToRest {
		return
	}
	rest := FirstRest << min(e.Failures-FailuresToRest, 10)
	e.BackoffUntil = now + min(rest, LongestRest)
}

// RecordUnreachable notes that no connection could be opened.
func (p *Pool) RecordUnreachable(e *Endpoint, now clock.Millis) {
	e.Failures = max(e.Failures, FailuresToRest-1)
	p.RecordFailure(e, now)
}

// RecordSuccess notes a whole answer.
func (e *Endpoint) RecordSuccess() {
	e.Failures = 0
	e.BackoffUntil = 0
}
