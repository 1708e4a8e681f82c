package pool

import "mustardhook/internal/core/clock"

// endlessHold is how long an endpoint is held of which a later run is known, unless its record is written anew.
const endlessHold = clock.Millis(1 << 31)

// beginEra begins a new era: records may be lost with the one before, and are written again. Endpoints whose records were
// lost before that, and that had no time to write them again, get as much of it anew.
func (p *Pool) beginEra(era Era, now clock.Millis) {
	if !era.IsNew {
		return
	}
	p.availableAt = max(p.availableAt, era.Since)
	p.renewalsUntil = era.HoldUntil
	for _, endpoint := range p.endpoints {
		if endpoint.RemovedAt != 0 && !endpoint.isGone(now) {
			endpoint.RemovalGraceUntil = max(endpoint.RemovalGraceUntil, era.Since+RemovalGrace)
		}
	}
}

// ExtendHolds keeps held endpoints out of use until the given time at least: while nobody can read the list, no record that an
// endpoint has left behind lapses.
func (p *Pool) ExtendHolds(until, now clock.Millis) {
	for _, endpoint := range p.endpoints {
		if now < endpoint.heldUntil {
			endpoint.heldUntil = max(endpoint.heldUntil, until)
		}
	}
}

// isOutdated reports whether a record of a complete list is of an earlier run than the known one of the endpoint, whose
// record the source has lost with the era before.
func (p *Pool) isOutdated(listing Listing, now clock.Millis) bool {
	endpoint := p.endpoints[listing.Name]
	return now < p.renewalsUntil && endpoint != nil && listing.Epoch < endpoint.Epoch && !p.isRenewed(endpoint)
}

// isGone reports whether the endpoint was removed and is in no removal grace period.
func (e *Endpoint) isGone(now clock.Millis) bool {
	return e.RemovedAt != 0 && now >= e.RemovalGraceUntil
}

// isRenewed reports whether the record of the endpoint is known to have been written in the era of the list.
func (p *Pool) isRenewed(e *Endpoint) bool {
	return !e.renewedAt.IsZero() && e.renewedAt.Era == p.listAt.Era
}

// holdUntil returns until when an endpoint with a record of a complete list is out of use: in a new era, one whose run is known
// to have been removed or to be leaving is held, and one whose later run was removed is held for good.
func (p *Pool) holdUntil(listing Listing, era Era, now clock.Millis) clock.Millis {
	newEnd := clock.Millis(0)
	if era.IsNew {
		newEnd = era.HoldUntil
	}
	endpoint := p.endpoints[listing.Name]
	run, isExpired := p.expiredRuns[listing.Name]
	isLastRun := isExpired && (endpoint == nil || endpoint.Epoch < run.epoch)
	switch {
	case isLastRun && now < p.renewalsUntil && listing.Epoch < run.epoch:
		return now + endlessHold
	case isLastRun && listing.Epoch == run.epoch:
		return newEnd
	case endpoint == nil:
		return 0
	case endpoint.Epoch != listing.Epoch || endpoint.Address != listing.Address:
		return 0
	}
	if endpoint.isGone(now) || endpoint.Leaving && !listing.Leaving || now < endpoint.heldUntil {
		return max(newEnd, endpoint.heldUntil)
	}
	return 0
}

// releaseHold lets an endpoint that is still listed be used like others.
func (e *Endpoint) releaseHold() {
	e.heldUntil = 0
	if e.RemovedAt == 0 && !e.IsLeaving() {
		e.LeavingAt = 0
	}
}
