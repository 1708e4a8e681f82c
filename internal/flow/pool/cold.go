package pool

import (
	"maps"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/warm"
)

const (
	// startPace is how many times as long as published an endpoint takes for its work when
	// its coldness begins. The pace falls to the normal one until the coldness ends.
	startPace = 1.4
	// coldTolerance is by how much a record may tell of a longer coldness than is known
	// without being a change that entries tell each other: a record may be read late.
	coldTolerance = 1500 * clock.Millis(1)
	// viewTTL is how long a ranking of the entries is used.
	viewTTL = 250 * clock.Millis(1)
)

type (
	// coldness is what this entry knows of the coldness of an endpoint.
	coldness struct {
		// since is when the coldness became known, until when it ends; both are zero for an
		// endpoint that was never cold.
		since clock.Millis
		until clock.Millis
		// sentAt is when this entry last sent a request to the endpoint.
		sentAt clock.Millis
		// view is the ranking of the entries as of viewedAt.
		view     warm.View
		viewedAt clock.Millis
		isLogged bool
	}
)

// SetColdTimes sets how long the endpoints of each service are cold after their start. The
// endpoints of other services are never cold.
func (p *Pool) SetColdTimes(times map[ident.Service]clock.Millis, now clock.Millis) {
	before := p.coldTimes
	p.coldTimes = times
	if maps.Equal(before, times) {
		return
	}
	for _, endpoint := range p.endpoints {
		if _, wasKnown := before[endpoint.Service]; !wasKnown && endpoint.ColdLeft > 0 {
			p.MarkEndpointCold(endpoint, now+endpoint.ColdLeft, now)
		}
	}
}

// MarkEndpointCold records that an endpoint is cold until the given time at least.
func (p *Pool) MarkEndpointCold(e *Endpoint, until, now clock.Millis) {
	if _, canBeCold := p.coldTimes[e.Service]; !canBeCold || until <= max(now, e.cold.until) {
		return
	}
	if now >= e.cold.until {
		e.cold.since = now
		e.cold.isLogged = false
	}
	e.cold.until = until
}

// UpdateColdness records the coldness that a record tells of whose other values are known.
func (p *Pool) UpdateColdness(listing Listing, now clock.Millis) {
	p.updateColdness(p.endpoints[listing.Name], listing, listing.ColdLeft, now)
}

// updateColdness records that the endpoint is cold for the given time. A record that is read again
// says nothing new.
func (p *Pool) updateColdness(e *Endpoint, listing Listing, coldLeft, now clock.Millis) {
	if listing.ColdLeft > 0 && listing.ColdLeft == e.ColdLeft {
		return
	}
	e.ColdLeft = listing.ColdLeft
	p.MarkEndpointCold(e, now+coldLeft, now)
}

// IsCold reports whether the endpoint is cold.
func (e *Endpoint) IsCold(now clock.Millis) bool { return now < e.cold.until }

// IsBounded reports whether the rate of requests to the endpoint is bounded, since it is cold
// or was lately.
func (e *Endpoint) IsBounded(now clock.Millis) bool {
	return e.cold.until != 0 && now < e.cold.until+warm.RampTime
}

// ColdUntil returns when the last known coldness of the endpoint ends; zero if there was none.
func (e *Endpoint) ColdUntil() clock.Millis { return e.cold.until }

// MarkSent records that this entry sends a request to the endpoint.
func (e *Endpoint) MarkSent(now clock.Millis) { e.cold.sentAt = now }

// NextSend returns when this entry may send the next request to an endpoint with a bounded
// rate, of which it has the given part.
func (e *Endpoint) NextSend(part warm.Part) clock.Millis {
	return max(e.cold.since+part.Delay, e.cold.sentAt+part.Interval)
}

// View returns the ranking of the entries for the endpoint. If it is too old, it is
// replaced by that of the function.
func (e *Endpoint) View(now clock.Millis, rank func(run uint64) warm.View) warm.View {
	if e.cold.viewedAt == 0 || now-e.cold.viewedAt >= viewTTL {
		e.cold.view = rank(warm.RunKey(uint32(e.hash), e.Epoch))
		e.cold.viewedAt = now
	}
	return e.cold.view
}

// BeginColdLog reports whether the coldness of the endpoint was not logged before.
func (e *Endpoint) BeginColdLog() bool {
	wasLogged := e.cold.isLogged
	e.cold.isLogged = true
	return !wasLogged
}

// markStart records the coldness of an endpoint that was not in the pool before. One that
// appears after the first list has just started, unless it was removed from the list for a
// while only.
func (p *Pool) markStart(e *Endpoint, left, now clock.Millis) {
	last, hasLeft := p.departures[e.Name]
	isKnown := hasLeft && last.Epoch == e.Epoch
	if p.hasList && !isKnown {
		left = max(left, p.coldTimes[e.Service])
	}
	p.MarkEndpointCold(e, now+left, now)
}

// startPace returns the assumed pace of an endpoint that is cold.
func (e *Endpoint) startPace(now clock.Millis) float64 {
	if !e.IsCold(now) {
		return normalPace
	}
	left := float64(e.cold.until-now) / float64(max(e.cold.until-e.cold.since, 1))
	return normalPace + (startPace-normalPace)*min(left, 1)
}
