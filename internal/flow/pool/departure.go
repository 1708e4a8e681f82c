package pool

import (
	"cmp"
	"slices"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/point"
)

// departureTTL is how long the departure of an endpoint that is no longer listed is remembered.
const departureTTL = 60 * clock.Second

type (
	// Departure is the last run of an endpoint that is known to have left.
	Departure struct {
		Name  ident.Endpoint
		Epoch uint64
		// At is the point of the list at which the run was found to have left, or a later one before which it was.
		At point.Point
		// IsLost reports whether the run has only lost its record, since the source came back from a copy without it. It
		// was not seen to leave, but earlier runs have ended.
		IsLost bool
	}

	// departure is a Departure that this entry knows of since knownAt. isTold reports whether it knows so from peers only,
	// isAnnounced whether the run itself has told this entry that it leaves.
	departure struct {
		Departure
		knownAt     clock.Millis
		isTold      bool
		isAnnounced bool
	}
)

// hasEnded reports whether a run of the endpoint has ended by the departure.
func (d Departure) hasEnded(epoch uint64) bool {
	return epoch < d.Epoch || epoch == d.Epoch && !d.IsLost
}

// supersedes reports whether the departure is newer than another one of the endpoint: by the run first, then by the point.
func (d Departure) supersedes(other Departure) bool {
	order := cmp.Or(cmp.Compare(d.Epoch, other.Epoch), d.At.Compare(other.At))
	return order > 0 || order == 0 && other.IsLost
}

// recordDeparture records a departure unless a newer one is known.
func (p *Pool) recordDeparture(found Departure, isTold bool, now clock.Millis) {
	known, isKnown := p.departures[found.Name]
	if !isKnown || known.Epoch < found.Epoch {
		known = departure{found, now, isTold, false}
	}
	if found.supersedes(known.Departure) {
		known.Departure = found
	}
	if known.Epoch == found.Epoch {
		known.isTold = known.isTold && isTold
	}
	if !isTold {
		// Entries that repeat it to each other don't keep it for longer.
		known.knownAt = now
	}
	p.departures[found.Name] = known
}

// mayReturn reports whether a copy that lists the run of the departure may be believed: only peers have given the run up, since it
// had lost its record.
func (d departure) mayReturn() bool { return d.IsLost && d.isTold }

// departureOf returns the last known departure of the endpoint.
func (p *Pool) departureOf(name ident.Endpoint, now clock.Millis) (found departure, isKnown bool) {
	if endpoint := p.endpoints[name]; endpoint != nil && endpoint.isGone(now) {
		p.recordDeparture(endpoint.departure(), false, now)
	}
	found, isKnown = p.departures[name]
	return found, isKnown
}

// hasLeft reports whether the run of the endpoint is known to be leaving, or to have left before it was listed again.
func (p *Pool) hasLeft(e *Endpoint) bool {
	last, isKnown := p.departures[e.Name]
	return e.IsLeaving() || isKnown && last.hasEnded(e.Epoch)
}

// departure returns the departure of an endpoint that is gone.
func (e *Endpoint) departure() Departure { return Departure{e.Name, e.Epoch, e.removedPoint, e.isLost} }

// forgetDeparture forgets the departure of a run that is in use again, or of a later one.
func (p *Pool) forgetDeparture(e *Endpoint) {
	if known, isKnown := p.departures[e.Name]; isKnown && e.Epoch <= known.Epoch {
		delete(p.departures, e.Name)
	}
}

// learnDepartures records the departures that a peer tells of, unless this entry knows that the run has written its record since.
// It returns them by name.
func (p *Pool) learnDepartures(told []Departure, now clock.Millis) map[ident.Endpoint]Departure {
	learnt := make(map[ident.Endpoint]Departure, len(told))
	for _, found := range told {
		if endpoint := p.endpoints[found.Name]; endpoint != nil && endpoint.isWrittenAfter(found) {
			continue
		}
		learnt[found.Name] = found
		p.recordDeparture(found, true, now)
	}
	return learnt
}

// isWrittenAfter reports whether the record of the endpoint is known to have been written after the departure.
func (e *Endpoint) isWrittenAfter(found Departure) bool {
	return e.RemovedAt == 0 && e.Epoch == found.Epoch && e.writtenAt.IsAfter(found.At)
}

// recordDepartures records the departures of the endpoints that are gone.
func (p *Pool) recordDepartures(now clock.Millis) {
	for name := range p.endpoints {
		p.departureOf(name, now)
	}
}

// Departures returns the known departures of endpoints, in order of the names.
func (p *Pool) Departures(now clock.Millis) []Departure {
	p.recordDepartures(now)
	known := make([]Departure, 0, len(p.departures))
	for _, found := range p.departures {
		known = append(known, found.Departure)
	}
	sortDepartures(known)
	return known
}

func sortDepartures(list []Departure) {
	slices.SortFunc(list, func(a, b Departure) int { return cmp.Compare(a.Name, b.Name) })
}

// confirmAbsence records that the complete list of the source has no run of endpoints that had left.
func (p *Pool) confirmAbsence(isListed map[ident.Endpoint]bool, now clock.Millis) {
	p.recordDepartures(now)
	for name, known := range p.departures {
		if !isListed[name] {
			known.At = point.Max(known.At, p.recordsAt)
			p.departures[name] = known
		}
	}
}

// expireDepartures forgets the departures of endpoints that are not listed and left long ago.
func (p *Pool) expireDepartures(now clock.Millis) {
	for name, known := range p.departures {
		if endpoint := p.endpoints[name]; endpoint == nil && now-known.knownAt > departureTTL {
			delete(p.departures, name)
		} else if endpoint != nil {
			known.knownAt = now
			p.departures[name] = known
		}
	}
}
