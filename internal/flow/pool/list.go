package pool

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
)

// SetRevision takes the list to the revision, at which all changes that follow were made.
func (p *Pool) SetRevision(revision uint64) { p.revision = revision }

// Put takes a published entry.
func (p *Pool) Put(entry Listing, now clock.Millis) {
	put := p.put(entry)
	if !put.Leaving {
		put.LeftAt = 0
		return
	}
	put.leave(now)
	p.note(put)
}

func (p *Pool) put(entry Listing) *Endpoint {
	if p.Has(entry) {
		return p.endpoints[entry.Name]
	}
	known := p.endpoints[entry.Name]
	if known == nil || known.Epoch != entry.Epoch || known.Address != entry.Address {
		return p.begin(entry, known)
	}
	if known.Service != entry.Service {
		delete(p.byService, known.Service)
		delete(p.byService, entry.Service)
	}
	known.Listing = entry
	known.GoneAt = 0
	known.DoubtUntil = 0
	known.revision = p.revision
	return known
}

// begin takes an endpoint that was not known, or a new life of one.
func (p *Pool) begin(entry Listing, before *Endpoint) *Endpoint {
	made := &Endpoint{
		Listing: entry, Work: map[uint64]Work{}, revision: p.revision, mark: HashOf(entry.Name),
		order: xxhash.Sum64String(string(entry.Name)),
	}
	if before != nil {
		made.RemoteLoad = before.RemoteLoad
		delete(p.byService, before.Service)
	}
	p.endpoints[entry.Name] = made
	p.byMark[made.mark] = made
	delete(p.byService, entry.Service)
	delete(p.noted, made.mark)
	return made
}

// Has reports whether the entry is listed just so.
func (p *Pool) Has(entry Listing) bool {
	known := p.endpoints[entry.Name]
	return known != nil && known.GoneAt == 0 && known.Listing == entry
}

// Remove takes the news that an entry vanished from the list. While reads fail
// and shortly after, it may be back, and stays in use as long as it answers.
func (p *Pool) Remove(name ident.Endpoint, now clock.Millis) {
	known := p.endpoints[name]
	if known == nil || known.GoneAt != 0 {
		return
	}
	known.GoneAt = now
	known.revision = p.revision
	switch {
	case p.lost != 0:
		known.DoubtUntil = now + RemovalGrace
	case p.backAt != 0 && now < p.backAt+RemovalGrace:
		// Its entry may have lapsed while the list was away.
		known.DoubtUntil = p.backAt + RemovalGrace
	default:
		known.leave(now)
		p.note(known)
	}
}

// Replace takes the whole list.
func (p *Pool) Replace(list []Listing, now clock.Millis) {
	listed := make(map[ident.Endpoint]bool, len(list))
	for _, entry := range list {
		listed[entry.Name] = true
		p.Put(entry, now)
	}
	for name := range p.endpoints {
		if !listed[name] {
			p.Remove(name, now)
		}
	}
}

// ApplySnapshot takes the list that another entry has. Its doubts come with it:
// whether this entry can read the list itself does not matter.
func (p *Pool) ApplySnapshot(list []PeerListing, now clock.Millis) {
	known := make(map[ident.Endpoint]bool, len(list))
	for _, entry := range list {
		known[entry.Name] = true
		if entry.RemovalGrace > 0 {
			p.doubt(entry, now)
			continue
		}
		p.Put(entry.Listing, now)
	}
	for name, endpoint := range p.endpoints {
		if !known[name] {
			p.settle(endpoint, now)
		}
	}
}

// ApplyDelta takes the changes of the list that another entry knows; the endpoints
// that are named as gone are so beyond doubt.
func (p *Pool) ApplyDelta(list []PeerListing, gone []ident.Endpoint, now clock.Millis) {
	for _, entry := range list {
		if entry.RemovalGrace > 0 {
			p.doubt(entry, now)
			continue
		}
		p.Put(entry.Listing, now)
	}
	for _, name := range gone {
		if endpoint := p.endpoints[name]; endpoint != nil {
			p.settle(endpoint, now)
		}
	}
}

// Delta returns what changed in the list after the revision: the endpoints to pass on
// and those that are gone. It reports false when that is not known any more.
func (p *Pool) Delta(after uint64, now clock.Millis) (list []PeerListing, gone []ident.Endpoint, isKnown bool) {
	if after == 0 || after < p.sweptRevision {
		return nil, nil, false
	}
	for name, endpoint := range p.endpoints {
		switch {
		case endpoint.revision <= after:
		case endpoint.GoneAt == 0:
			list = append(list, PeerListing{Listing: endpoint.Listing})
		case now < endpoint.DoubtUntil:
			list = append(list, PeerListing{Listing: endpoint.Listing, RemovalGrace: endpoint.DoubtUntil - now})
		default:
			gone = append(gone, name)
		}
	}
	slices.SortFunc(list, func(a, b PeerListing) int { return cmp.Compare(a.Name, b.Name) })
	slices.Sort(gone)
	return list, gone, true
}

// doubt takes another entry's doubt about an endpoint that is listed here. It
// brings back none that is gone.
func (p *Pool) doubt(entry PeerListing, now clock.Millis) {
	known := p.endpoints[entry.Name]
	if known == nil || known.GoneAt != 0 {
		return
	}
	known.GoneAt = now
	known.DoubtUntil = now + entry.RemovalGrace
	known.revision = p.revision
}

// leave notes that the endpoint was found to leave.
func (e *Endpoint) leave(now clock.Millis) {
	if e.LeftAt == 0 {
		e.LeftAt = now
	}
}

// settle takes the news that the endpoint is gone beyond doubt.
func (p *Pool) settle(e *Endpoint, now clock.Millis) {
	if e.GoneAt == 0 {
		e.GoneAt = now
		e.revision = p.revision
	}
	e.leave(now)
	e.DoubtUntil = 0
	p.note(e)
}

// Snapshot returns the list to pass on, in order of the names.
func (p *Pool) Snapshot(now clock.Millis) []PeerListing {
	var list []PeerListing
	for _, name := range slices.Sorted(maps.Keys(p.endpoints)) {
		endpoint := p.endpoints[name]
		switch {
		case endpoint.GoneAt == 0:
			list = append(list, PeerListing{Listing: endpoint.Listing})
		case now < endpoint.DoubtUntil:
			list = append(list, PeerListing{Listing: endpoint.Listing, RemovalGrace: endpoint.DoubtUntil - now})
		}
	}
	return list
}

// MarkListUnavailable takes the news that the list can't be read.
func (p *Pool) MarkListUnavailable(now clock.Millis) {
	if p.lost == 0 {
		p.lost = now
	}
}

// MarkListAvailable takes the news that the list can be read again.
func (p *Pool) MarkListAvailable(now clock.Millis) {
	p.lost = 0
	p.backAt = now
}

// Expire forgets endpoints that are gone and run nothing of ours.
func (p *Pool) Expire(now clock.Millis) {
	for name, endpoint := range p.endpoints {
		if endpoint.GoneAt == 0 || now <= endpoint.DoubtUntil || len(endpoint.Work) > 0 {
			continue
		}
		p.sweptRevision = max(p.sweptRevision, endpoint.revision)
		delete(p.endpoints, name)
		delete(p.byMark, endpoint.mark)
		delete(p.byService, endpoint.Service)
	}
}
