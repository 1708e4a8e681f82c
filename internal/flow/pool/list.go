package pool

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/point"
)

// SetPoint sets the point of the list to which the changes that follow belong.
func (p *Pool) SetPoint(at point.Point) { p.listAt, p.recordsAt = at, at }

// Put adds or updates an endpoint whose record was just written.
func (p *Pool) Put(listing Listing, now clock.Millis) {
	p.put(listing, listing.ColdLeft, 0, now).writtenAt = p.listAt
}

// putPeerListing adds or updates an endpoint of a peer's list. It is held for as long as here or at the peer, unless one of them
// knows that its record was written since it had left.
func (p *Pool) putPeerListing(listing PeerListing, now clock.Millis) {
	heldUntil, writtenAt := p.holdUntil(listing.Listing, listing.WrittenAt, now)
	if heldUntil > 0 || writtenAt.IsZero() {
		heldUntil = max(heldUntil, now+listing.Hold)
	}
	endpoint := p.put(listing.Listing, listing.ColdRemaining, heldUntil, now)
	// Others that ask for the changes may have removed it since, although nothing changed here.
	endpoint.changedAt = p.listAt
	endpoint.writtenAt = point.Max(endpoint.writtenAt, writtenAt)
}

// put adds or updates an endpoint that is cold for the given time, and out of use until heldUntil.
func (p *Pool) put(listing Listing, coldLeft, heldUntil, now clock.Millis) *Endpoint {
	endpoint := p.upsert(listing, coldLeft, now)
	endpoint.listedAt = point.Max(endpoint.listedAt, p.recordsAt)
	endpoint.heldUntil = 0
	if heldUntil > now {
		// What is known of the endpoint stays published.
		endpoint.heldUntil = heldUntil
		return endpoint
	}
	if !endpoint.IsLeaving() {
		endpoint.LeavingAt = 0
		p.forgetDeparture(endpoint)
		return endpoint
	}
	p.markRemoved(endpoint, now)
	p.recordDeparture(Departure{Name: endpoint.Name, Epoch: endpoint.Epoch, At: p.recordsAt}, false, now)
	return endpoint
}

func (p *Pool) upsert(listing Listing, coldLeft, now clock.Millis) *Endpoint {
	endpoint := p.endpoints[listing.Name]
	if p.Has(listing, now) {
		p.updateColdness(endpoint, listing, coldLeft, now)
		return endpoint
	}
	if endpoint == nil || endpoint.Epoch != listing.Epoch || endpoint.Address != listing.Address {
		p.departureOf(listing.Name, now)
		created := p.create(listing, endpoint)
		p.markStart(created, coldLeft, now)
		return created
	}
	p.updateColdness(endpoint, listing, coldLeft, now)
	if endpoint.Service != listing.Service {
		delete(p.byService, endpoint.Service)
		delete(p.byService, listing.Service)
	}
	listing.ColdLeft = endpoint.ColdLeft
	endpoint.Listing = listing
	endpoint.isEvacuated = p.evacuated.Contains(listing.Domain)
	endpoint.RemovedAt = 0
	endpoint.RemovalGraceUntil = 0
	endpoint.isLost = false
	endpoint.changedAt = p.listAt
	return endpoint
}

// create adds an endpoint that was not listed before or that has restarted with a new
// epoch or address.
func (p *Pool) create(listing Listing, previous *Endpoint) *Endpoint {
	created := &Endpoint{
		Listing: listing, Work: map[uint64]Work{}, changedAt: p.listAt, hash: HashOf(listing.Name),
		sortKey: xxhash.Sum64String(string(listing.Name)), isEvacuated: p.evacuated.Contains(listing.Domain),
	}
	last := p.departures[listing.Name]
	created.announcedLeaving = last.isAnnounced && last.Epoch == listing.Epoch
	if previous != nil {
		created.RemoteLoad = previous.RemoteLoad
		// A run that replaces one whose record was written in this era was, too.
		created.writtenAt = previous.writtenAt
		delete(p.byService, previous.Service)
	}
	p.endpoints[listing.Name] = created
	p.byHash[created.hash] = created
	delete(p.byService, listing.Service)
	delete(p.tracked, created.hash)
	return created
}

// Has reports whether the endpoint is listed with these values, and the coldness that the
// record tells of is known, but for coldTolerance. In a new era it must also be known that the
// record was written there.
func (p *Pool) Has(listing Listing, now clock.Millis) bool {
	endpoint := p.endpoints[listing.Name]
	if endpoint == nil || endpoint.RemovedAt != 0 || endpoint.heldUntil != 0 || now < p.renewalsUntil && !p.isRenewed(endpoint) {
		return false
	}
	coldLeft := listing.ColdLeft
	listing.ColdLeft = endpoint.ColdLeft
	return endpoint.Listing == listing &&
		(coldLeft == 0 || p.coldTimes[listing.Service] == 0 || now+coldLeft <= endpoint.cold.until+coldTolerance)
}

// Remove records that the endpoint was removed from the list. While the list can't be
// read and shortly after, the endpoint may be listed again soon: it stays in use for a
// grace period, as long as it answers. Remove returns how long that period lasts.
func (p *Pool) Remove(name ident.Endpoint, now clock.Millis) clock.Millis {
	endpoint := p.endpoints[name]
	if endpoint == nil {
		// Others may list it: they need the whole list.
		p.completeSince = point.Max(p.completeSince, p.listAt)
		return 0
	}
	// Others that ask for the changes may have listed it since, or another run of it.
	endpoint.changedAt = p.listAt
	if endpoint.RemovedAt != 0 {
		return 0
	}
	p.markUnlisted(endpoint, now)
	switch {
	case p.unavailableSince != 0:
		endpoint.RemovalGraceUntil = now + RemovalGrace
	case p.availableAt != 0 && now < p.availableAt+RemovalGrace:
		// The endpoint's listing may have expired while the list was unavailable.
		endpoint.RemovalGraceUntil = p.availableAt + RemovalGrace
	default:
		p.markRemoved(endpoint, now)
		return 0
	}
	return endpoint.RemovalGraceUntil - now
}

// lose records that the first known list of an era lacks the endpoint, whose record may be lost with the era before. It
// stays in use until the removal grace period of the era ends.
func (p *Pool) lose(endpoint *Endpoint, now clock.Millis) {
	endpoint.changedAt = p.listAt
	if endpoint.RemovedAt != 0 {
		return
	}
	p.markUnlisted(endpoint, now)
	endpoint.isLost = !p.hasLeft(endpoint)
	endpoint.RemovalGraceUntil = p.availableAt + RemovalGrace
}

// isListedAfter reports whether the record of the endpoint may have been read after the point, on a later page of a list.
func (e *Endpoint) isListedAfter(at point.Point) bool {
	return e.RemovedAt == 0 && e.listedAt.IsAfter(at)
}

// recheck records that a list which may be older than the record of the endpoint lacks it.
func (p *Pool) recheck(endpoint *Endpoint, now clock.Millis) {
	endpoint.changedAt = p.listAt
	p.markUnlisted(endpoint, now)
	endpoint.RemovalGraceUntil = now + recheckTime
}

// markUnlisted records that the endpoint is no longer listed. One that is held stays out of use until it is listed again.
func (p *Pool) markUnlisted(e *Endpoint, now clock.Millis) {
	p.releaseHold(e, now)
	e.RemovedAt = now
	e.removedPoint = p.recordsAt
	if now < e.heldUntil {
		e.heldUntil = now + endlessHold
	}
}

// Replace applies a complete list of the era that was read from the published state, with records up to the last point.
func (p *Pool) Replace(list []Listing, last point.Point, era Era, now clock.Millis) {
	p.beginEra(era, now)
	p.recordsAt = point.Max(p.listAt, last)
	isListed := make(map[ident.Endpoint]bool, len(list))
	isKept := make(map[ident.Endpoint]bool, len(list))
	for _, listing := range list {
		isListed[listing.Name] = true
		if p.isOutdated(listing, now) {
			continue
		}
		isKept[listing.Name] = true
		heldUntil, writtenAt := p.holdUntil(listing, point.Point{}, now)
		endpoint := p.put(listing, listing.ColdLeft, heldUntil, now)
		endpoint.writtenAt = point.Max(endpoint.writtenAt, writtenAt)
	}
	for name, endpoint := range p.endpoints {
		switch {
		case isKept[name]:
		case era.IsNew:
			p.lose(endpoint, now)
		case endpoint.isListedAfter(p.recordsAt):
			p.recheck(endpoint, now)
		default:
			p.Remove(name, now)
		}
	}
	p.confirmAbsence(isListed, now)
	p.hasList = true
	p.completeSince = p.recordsAt
}

// ApplySnapshot applies the complete list of a peer, which has removed the other endpoints. Removal grace
// periods and holds are taken over from the peer, whether or not this entry can read the list itself.
// departed are the departures that the peer knows; the list has records up to the last point.
func (p *Pool) ApplySnapshot(list []PeerListing, departed []Departure, last point.Point, era Era, now clock.Millis) {
	p.beginEra(era, now)
	p.recordsAt = point.Max(p.listAt, last)
	if !p.hasList && slices.ContainsFunc(departed, func(d Departure) bool { return d.IsLost || d.At.Era != p.listAt.Era }) {
		// The peer has seen the era begin.
		p.renewalsUntil = era.HoldUntil
	}
	learnt := p.learnDepartures(departed, now)
	isListed := make(map[ident.Endpoint]bool, len(list))
	for _, listing := range list {
		if !p.isOfEra(listing.WrittenAt) && p.isOutdated(listing.Listing, now) {
			continue
		}
		isListed[listing.Name] = true
		if listing.RemovalGrace > 0 {
			p.startRemovalGrace(listing, now)
			continue
		}
		p.putPeerListing(listing, now)
	}
	for name, endpoint := range p.endpoints {
		found, isLearnt := learnt[name]
		switch {
		case isListed[name]:
		case isLearnt && found.hasEnded(endpoint.Epoch):
			p.confirmRemoval(endpoint, now)
		case era.IsNew:
			// The peer may not know the endpoint: its record may be lost with the era before.
			p.lose(endpoint, now)
		case endpoint.RemovedAt != 0:
			// Its removal grace period, if it has one, goes on.
		case endpoint.isListedAfter(p.recordsAt):
			p.recheck(endpoint, now)
		default:
			p.confirmRemoval(endpoint, now)
		}
	}
	p.hasList = true
	p.completeSince = p.recordsAt
}

// LastAt returns the point of the newest record that the list may have.
func (p *Pool) LastAt() point.Point { return point.Max(p.listAt, p.completeSince) }

// ApplyDelta applies a peer's changes to the list. Endpoints that have departed are removed
// without a grace period.
func (p *Pool) ApplyDelta(list []PeerListing, departed []Departure, now clock.Millis) {
	learnt := p.learnDepartures(departed, now)
	for _, listing := range list {
		if listing.RemovalGrace > 0 {
			p.startRemovalGrace(listing, now)
			continue
		}
		p.putPeerListing(listing, now)
	}
	isListed := func(name ident.Endpoint) bool {
		return slices.ContainsFunc(list, func(l PeerListing) bool { return l.Name == name })
	}
	for name, found := range learnt {
		endpoint := p.endpoints[name]
		switch {
		case isListed(name):
		case endpoint == nil:
			p.completeSince = point.Max(p.completeSince, p.listAt)
		case found.hasEnded(endpoint.Epoch):
			p.confirmRemoval(endpoint, now)
		}
	}
}

// Delta returns the changes to the list after the point, in order of the names: the
// endpoints that are listed or in a removal grace period, and those that have departed. ok
// is false if the pool no longer has all changes since then.
func (p *Pool) Delta(after point.Point, now clock.Millis) (list []PeerListing, departed []Departure, ok bool) {
	if after.IsZero() || after.Era != p.listAt.Era || p.completeSince.IsAfter(after) {
		return nil, nil, false
	}
	for name, endpoint := range p.endpoints {
		if !endpoint.changedAt.IsAfter(after) {
			continue
		}
		if !endpoint.isGone(now) {
			list = append(list, p.peerListing(endpoint, now))
		}
		if last, isKnown := p.departureOf(name, now); isKnown {
			departed = append(departed, last.Departure)
		}
	}
	slices.SortFunc(list, func(a, b PeerListing) int { return cmp.Compare(a.Name, b.Name) })
	sortDepartures(departed)
	return list, departed, true
}

// startRemovalGrace takes over a peer's removal grace period for an endpoint that is
// listed here. It doesn't restore an endpoint that was already removed.
func (p *Pool) startRemovalGrace(listing PeerListing, now clock.Millis) {
	endpoint := p.endpoints[listing.Name]
	if endpoint == nil {
		p.completeSince = point.Max(p.completeSince, p.listAt)
		return
	}
	endpoint.changedAt = p.listAt
	if endpoint.RemovedAt != 0 {
		return
	}
	p.markUnlisted(endpoint, now)
	endpoint.isLost = listing.IsLost && !p.hasLeft(endpoint)
	endpoint.RemovalGraceUntil = now + listing.RemovalGrace
}

// markRemoved makes known that the endpoint is leaving or was removed without a grace period.
func (p *Pool) markRemoved(e *Endpoint, now clock.Millis) {
	e.markLeaving(now)
	p.track(e)
}

// markLeaving records the first time at which the endpoint was found to be leaving.
func (e *Endpoint) markLeaving(now clock.Millis) {
	if e.LeavingAt == 0 {
		e.LeavingAt = now
	}
}

// confirmRemoval removes the endpoint without a grace period.
func (p *Pool) confirmRemoval(e *Endpoint, now clock.Millis) {
	if e.RemovedAt == 0 {
		p.markUnlisted(e, now)
	}
	e.changedAt = p.listAt
	e.RemovalGraceUntil = 0
	e.isLost = false
	p.markRemoved(e, now)
}

// Snapshot returns the list to publish to peers, in order of the names.
func (p *Pool) Snapshot(now clock.Millis) []PeerListing {
	var list []PeerListing
	for _, name := range slices.Sorted(maps.Keys(p.endpoints)) {
		endpoint := p.endpoints[name]
		switch {
		case endpoint.RemovedAt == 0, now < endpoint.RemovalGraceUntil:
			list = append(list, p.peerListing(endpoint, now))
		}
	}
	return list
}

// peerListing returns the listing of the endpoint as it is sent to peers.
func (p *Pool) peerListing(e *Endpoint, now clock.Millis) PeerListing {
	listing := PeerListing{
		Listing: e.Listing, ColdRemaining: max(e.cold.until-now, 0), Hold: max(e.heldUntil-now, 0),
		WrittenAt: e.writtenAt,
	}
	if last, hasLeft := p.departures[e.Name]; hasLeft && last.IsLost && last.Epoch == e.Epoch {
		// That this entry gave the endpoint up without its record holds for nobody else.
		listing.Hold = 0
	}
	if e.RemovedAt != 0 {
		listing.RemovalGrace, listing.IsLost = e.RemovalGraceUntil-now, e.isLost
	}
	return listing
}

// MarkListUnavailable records that the list can't be read.
func (p *Pool) MarkListUnavailable(now clock.Millis) {
	if p.unavailableSince == 0 {
		p.unavailableSince = now
	}
}

// MarkListAvailable records that the list can be read again.
func (p *Pool) MarkListAvailable(now clock.Millis) {
	p.unavailableSince = 0
	p.availableAt = now
}

// Expire deletes the endpoints that were removed, have no removal grace left and run no
// work of this entry.
func (p *Pool) Expire(now clock.Millis) {
	p.expireDepartures(now)
	for name, endpoint := range p.endpoints {
		p.releaseHold(endpoint, now)
		if endpoint.RemovedAt == 0 || now <= endpoint.RemovalGraceUntil || len(endpoint.Work) > 0 {
			continue
		}
		p.completeSince = point.Max(p.completeSince, endpoint.changedAt)
		p.recordDeparture(endpoint.departure(), false, now)
		delete(p.endpoints, name)
		delete(p.byHash, endpoint.hash)
		delete(p.byService, endpoint.Service)
	}
}
