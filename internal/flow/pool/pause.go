package pool

import (
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
)

// MaxPause is the longest pause that an endpoint can ask for. A longer one counts as this one, so
// that no value takes an endpoint out of use for good.
const MaxPause = 60 * clock.Second

// Pause records that the endpoint asked this entry to send it nothing for the given time, and returns
// when that ends. It is no failure of the endpoint, and a shorter pause does not end a longer one.
func (p *Pool) Pause(e *Endpoint, duration, now clock.Millis) clock.Millis {
	e.ownPauseUntil = max(e.ownPauseUntil, now+min(duration, MaxPause))
	e.pausedUntil = max(e.pausedUntil, e.ownPauseUntil)
	p.track(e)
	return e.ownPauseUntil
}

// Pauses returns when the pauses end that endpoints asked this entry for. It returns nil if there
// are none.
func (p *Pool) Pauses(now clock.Millis) map[Hash]clock.Millis {
	var pauses map[Hash]clock.Millis
	for _, endpoint := range p.tracked {
		if endpoint.ownPauseUntil <= now {
			continue
		}
		if pauses == nil {
			pauses = map[Hash]clock.Millis{}
		}
		pauses[endpoint.hash] = endpoint.ownPauseUntil
	}
	return pauses
}

// UpdatePeerPauses applies the pauses that endpoints asked a peer for, so that not every entry has
// to be turned away.
func (p *Pool) UpdatePeerPauses(pauses map[Hash]clock.Millis, now clock.Millis) {
	for hash, until := range pauses {
		if endpoint := p.byHash[hash]; endpoint != nil {
			endpoint.pausedUntil = max(endpoint.pausedUntil, min(until, now+MaxPause))
		}
	}
}

// PauseEnd returns when the first pause of an endpoint of the service ends that could otherwise be
// used, or zero if there is none.
func (p *Pool) PauseEnd(service ident.Service, now clock.Millis) clock.Millis {
	first := clock.Millis(0)
	for _, endpoint := range p.ByService(service) {
		isPaused := endpoint.pausedUntil > now && !p.IsUnreachable(endpoint.Domain) && endpoint.IsUsable(endpoint.pausedUntil)
		if isPaused && (first == 0 || endpoint.pausedUntil < first) {
			first = endpoint.pausedUntil
		}
	}
	return first
}
