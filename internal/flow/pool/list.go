package pool

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
)

// SetRevision sets the revision of the list to which the changes that follow belong.
func (p *Pool) SetRevision(revision uint64) { p.revision = revision }

// Put adds or updates an endpoint of the published list.
func (p *Pool) Put(listing Listing, now clock.Millis) { p.put(listing, listing.ColdLeft, now) }

// putPeerListing adds or updates an endpoint of a peer's list.
func (p *Pool) putPeerListing(listing PeerListing, now clock.Millis) {
	p.put(listing.Listing, listing.ColdRemaining, now)
}

// put adds or updates an endpoint that is cold for the given time.
func (p *Pool) put(listing Listing, coldLeft, now clock.Millis) {
	endpoint := p.upsert(listing, coldLeft, now)
	if !endpoint.IsLeaving() {
		endpoint.LeavingAt = 0
		return
	}
	endpoint.markLeaving(now)
	p.track(endpoint)
}

func (p *Pool) upsert(listing Listing, coldLeft, now clock.Millis) *Endpoint {
	endpoint := p.endpoints[listing.Name]
	if p.Has(listing, now) {
		p.updateColdness(endpoint, listing, coldLeft, now)
		return endpoint
	}
	if endpoint == nil || endpoint.Epoch != listing.Epoch || endpoint.Address != listing.Address {
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
	endpoint.revision = p.revision
	return endpoint
}

// create adds an endpoint that was not listed before or that has restarted with a new
// epoch or address.
func (p *Pool) create(listing Listing, previous *Endpoint) *Endpoint {
	created := &Endpoint{
		Listing: listing, Work: map[uint64]Work{}, revision: p.revision, hash: HashOf(listing.Name),
		sortKey: xxhash.Sum64String(string(listing.Name)), isEvacuated: p.evacuated.Contains(listing.Domain),
	}
	if previous != nil {
		created.RemoteLoad = previous.RemoteLoad
		delete(p.byService, previous.Service)
	}
	p.endpoints[listing.Name] = created
	p.byHash[created.hash] = created
	delete(p.byService, listing.Service)
	delete(p.tracked, created.hash)
	return created
}

// Has reports whether the endpoint is listed with these values, and the coldness that the
// record tells of is known, but for coldTolerance.
func (p *Pool) Has(listing Listing, now clock.Millis) bool {
	endpoint := p.endpoints[listing.Name]
	if endpoint == nil || endpoint.RemovedAt != 0 {
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
	if endpoint == nil || endpoint.RemovedAt != 0 {
		return 0
	}
	endpoint.RemovedAt = now
	endpoint.revision = p.revision
	switch {
	case p.unavailableSince != 0:
		endpoint.RemovalGraceUntil = now + RemovalGrace
	case p.availableAt != 0 && now < p.availableAt+RemovalGrace:
		// The endpoint's listing may have expired while the list was unavailable.
		endpoint.RemovalGraceUntil = p.availableAt + RemovalGrace
	default:
		endpoint.markLeaving(now)
		p.track(endpoint)
		return 0
	}
	return endpoint.RemovalGraceUntil - now
}

// Replace applies a complete list that was read from the published state.
func (p *Pool) Replace(list []Listing, now clock.Millis) {
	isListed := make(map[ident.Endpoint]bool, len(list))
	for _, listing := range list {
		isListed[listing.Name] = true
		p.Put(listing, now)
	}
	for name := range p.endpoints {
		if !isListed[name] {
			p.Remove(name, now)
		}
	}
	p.hasList = true
}

// ApplySnapshot applies the complete list of a peer. Removal grace periods are taken over
// from the peer, whether or not this entry can read the list itself.
func (p *Pool) ApplySnapshot(list []PeerListing, now clock.Millis) {
	isListed := make(map[ident.Endpoint]bool, len(list))
	for _, listing := range list {
		isListed[listing.Name] = true
		if listing.RemovalGrace > 0 {
			p.startRemovalGrace(listing, now)
			continue
		}
		p.putPeerListing(listing, now)
	}
	for name, endpoint := range p.endpoints {
		if !isListed[name] {
			p.confirmRemoval(endpoint, now)
		}
	}
	p.hasList = true
}

// ApplyDelta applies a peer's changes to the list. The endpoints in removed are removed
// without a grace period.
func (p *Pool) ApplyDelta(list []PeerListing, removed []ident.Endpoint, now clock.Millis) {
	for _, listing := range list {
		if listing.RemovalGrace > 0 {
			p.startRemovalGrace(listing, now)
			continue
		}
		p.putPeerListing(listing, now)
	}
	for _, name := range removed {
		if endpoint := p.endpoints[name]; endpoint != nil {
			p.confirmRemoval(endpoint, now)
		}
	}
}

// Delta returns the changes to the list after the revision, in order of the names: the
// endpoints that are listed or in a removal grace period, and those that are removed. ok
// is false if the pool no longer has all changes since then.
func (p *Pool) Delta(after uint64, now clock.Millis) (list []PeerListing, removed []ident.Endpoint, ok bool) {
	if after == 0 || after < p.expiredRevision {
		return nil, nil, false
	}
	for name, endpoint := range p.endpoints {
		switch {
		case endpoint.revision <= after:
		case endpoint.RemovedAt == 0, now < endpoint.RemovalGraceUntil:
			list = append(list, endpoint.peerListing(now))
		default:
			removed = append(removed, name)
		}
	}
	slices.SortFunc(list, func(a, b PeerListing) int { return cmp.Compare(a.Name, b.Name) })
	slices.Sort(removed)
	return list, removed, true
}

// startRemovalGrace takes over a peer's removal grace period for an endpoint that is
// listed here. It doesn't restore an endpoint that was already removed.
func (p *Pool) startRemovalGrace(listing PeerListing, now clock.Millis) {
	endpoint := p.endpoints[listing.Name]
	if endpoint == nil || endpoint.RemovedAt != 0 {
		return
	}
	endpoint.RemovedAt = now
	endpoint.RemovalGraceUntil = now + listing.RemovalGrace
	endpoint.revision = p.revision
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
		e.RemovedAt = now
		e.revision = p.revision
	}
	e.markLeaving(now)
	e.RemovalGraceUntil = 0
	p.track(e)
}

// Snapshot returns the list to publish to peers, in order of the names.
func (p *Pool) Snapshot(now clock.Millis) []PeerListing {
	var list []PeerListing
	for _, name := range slices.Sorted(maps.Keys(p.endpoints)) {
		endpoint := p.endpoints[name]
		switch {
		case endpoint.RemovedAt == 0, now < endpoint.RemovalGraceUntil:
			list = append(list, endpoint.peerListing(now))
		}
	}
	return list
}

// peerListing returns the listing of the endpoint as it is sent to peers.
func (e *Endpoint) peerListing(now clock.Millis) PeerListing {
	listing := PeerListing{Listing: e.Listing, ColdRemaining: max(e.cold.until-now, 0)}
	if e.RemovedAt != 0 {
		listing.RemovalGrace = e.RemovalGraceUntil - now
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
	maps.DeleteFunc(p.expiredRuns, func(_ ident.Endpoint, run expiredRun) bool { return now-run.at > expiredRunTTL })
	for name, endpoint := range p.endpoints {
		if endpoint.RemovedAt == 0 || now <= endpoint.RemovalGraceUntil || len(endpoint.Work) > 0 {
			continue
		}
		p.expiredRevision = max(p.expiredRevision, endpoint.revision)
		p.expiredRuns[name] = expiredRun{endpoint.Epoch, now}
		delete(p.endpoints, name)
		delete(p.byHash, endpoint.hash)
		delete(p.byService, endpoint.Service)
	}
}
