package pool

import (
	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/point"
)

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
		p.releaseHold(endpoint, now)
		if endpoint.RemovedAt != 0 && !endpoint.isGone(now) {
			endpoint.RemovalGraceUntil = max(endpoint.RemovalGraceUntil, era.Since+RemovalGrace)
		}
	}
}

// ExtendHolds lets what holds at the beginning of an era do so until the given time at least: while nobody can read the list, no
// record that an endpoint has left behind lapses.
func (p *Pool) ExtendHolds(until, now clock.Millis) {
	if now < p.renewalsUntil {
		p.renewalsUntil = max(p.renewalsUntil, until)
	}
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
	return p.isOfEra(e.writtenAt)
}

// isOfEra reports whether the point is one of the era of the list.
func (p *Pool) isOfEra(at point.Point) bool { return !at.IsZero() && at.Era == p.listAt.Era }

// holdUntil returns until when an endpoint is out of use whose record may be older than what is known of it; zero if it isn't. At
// the beginning of an era, that is a record of a run that had left before the era, unless it is known to have been written since. One of
// an earlier run than the last one is held for good. writtenAt is the last point at which a peer knows the record to have been written;
// the one that is known now is returned.
func (p *Pool) holdUntil(listing Listing, writtenAt point.Point, now clock.Millis) (until clock.Millis, _ point.Point) {
	last, hasLeft := p.departureOf(listing.Name, now)
	if endpoint := p.endpoints[listing.Name]; endpoint != nil && endpoint.Epoch == listing.Epoch && endpoint.Address == listing.Address {
		switch {
		case endpoint.RemovedAt == 0:
			writtenAt = point.Max(writtenAt, endpoint.writtenAt)
			if now < endpoint.heldUntil {
				until = max(endpoint.heldUntil, p.renewalsUntil)
			}
		case p.isListedAgain(listing, endpoint.removedPoint):
			writtenAt = p.listAt
		}
	}
	if hasLeft && listing.Epoch == last.Epoch && p.isListedAgain(listing, last.At) {
		writtenAt = p.listAt
	}
	switch {
	case listing.Leaving:
		return 0, writtenAt
	case !hasLeft || listing.Epoch > last.Epoch:
		if p.isOfEra(writtenAt) {
			return 0, writtenAt
		}
		return until, writtenAt
	case writtenAt.IsAfter(last.At):
		return 0, writtenAt
	case listing.Epoch < last.Epoch && now < p.renewalsUntil:
		return now + endlessHold, writtenAt
	case last.hasEnded(listing.Epoch) && !p.listAt.IsAfter(last.At):
		// The list is older than the departure, which is read again soon.
		return max(until, now+RemovalGrace), writtenAt
	case now >= p.renewalsUntil || last.mayReturn():
		return until, writtenAt
	}
	return max(until, p.renewalsUntil), writtenAt
}

// isListedAgain reports whether a record of the list must have been written in its era, since the endpoint was not listed, or as
// leaving, at the given point of it.
func (p *Pool) isListedAgain(listing Listing, at point.Point) bool {
	return !listing.Leaving && at.Era == p.listAt.Era && p.listAt.IsAfter(at)
}

// releaseHold lets an endpoint whose hold has ended, and that is still listed, be used like others.
func (p *Pool) releaseHold(e *Endpoint, now clock.Millis) {
	if e.heldUntil == 0 || now < e.heldUntil {
		return
	}
	e.heldUntil = 0
	if e.RemovedAt == 0 && !e.IsLeaving() {
		e.LeavingAt = 0
		p.forgetDeparture(e)
	}
}
