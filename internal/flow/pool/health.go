package pool

import (
	"cmp"
	"maps"
	"slices"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
)

// MarkUnreachable records that the failure domain can't be reached. Its endpoints are out
// of use until MarkReachable. The first check whether it can be reached again is due after
// InitialBackoff.
func (p *Pool) MarkUnreachable(domain ident.Domain, now clock.Millis) {
	if !p.IsUnreachable(domain) {
		p.unreachable[domain] = unreachableDomain{checkAt: now + InitialBackoff, backoff: InitialBackoff}
	}
}

// MarkReachable records that the failure domain can be reached.
func (p *Pool) MarkReachable(domain ident.Domain) { delete(p.unreachable, domain) }

// IsUnreachable reports whether the failure domain can't be reached.
func (p *Pool) IsUnreachable(domain ident.Domain) bool {
	_, isUnreachable := p.unreachable[domain]
	return isUnreachable
}

// Unreachable returns the unreachable failure domains, sorted by name.
func (p *Pool) Unreachable() []ident.Domain { return slices.Sorted(maps.Keys(p.unreachable)) }

// BeginCheck reports whether an unreachable failure domain is due to be checked. If so, the
// next check is due after twice the last backoff, or MaxBackoff.
func (p *Pool) BeginCheck(domain ident.Domain, now clock.Millis) bool {
	state := p.unreachable[domain]
	if now < state.checkAt {
		return false
	}
	state.backoff = min(2*state.backoff, MaxBackoff)
	state.checkAt = now + state.backoff
	p.unreachable[domain] = state
	return true
}

// IsUsable reports whether new work may be sent to the endpoint.
func (e *Endpoint) IsUsable(now clock.Millis) bool {
	isListed := (e.RemovedAt == 0 || now < e.RemovalGraceUntil) && now >= e.heldUntil
	return isListed && !e.isEvacuated && !e.IsLeaving() && now >= e.BackoffUntil && now >= e.PeerLeavingUntil && now >= e.ejectedUntil &&
		now >= e.pausedUntil
}

// IsLeaving reports whether the endpoint is leaving by the list or by its own word.
func (e *Endpoint) IsLeaving() bool { return e.Leaving || e.announcedLeaving }

// RecentlyLeaving returns the runs of endpoints that this entry found to be leaving
// within the last LeavingPublishWindow, in order of the hashes.
func (p *Pool) RecentlyLeaving(now clock.Millis) []Run {
	var leaving []Run
	for _, endpoint := range p.tracked {
		if endpoint.LeavingAt != 0 && now-endpoint.LeavingAt <= LeavingPublishWindow {
			leaving = append(leaving, Run{endpoint.hash, endpoint.Epoch})
		}
	}
	slices.SortFunc(leaving, func(a, b Run) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return leaving
}

// UpdatePeerLeaving records that a peer reported the runs of endpoints as leaving. Each is out of
// use for PeerLeavingTTL. Other runs are not.
func (p *Pool) UpdatePeerLeaving(leaving []Run, now clock.Millis) {
	all := p.ByHash()
	for _, run := range leaving {
		if endpoint := all[run.Endpoint]; endpoint != nil && endpoint.Epoch == run.Epoch {
			endpoint.PeerLeavingUntil = now + PeerLeavingTTL
		}
	}
}

// AnnounceLeaving records that the endpoint has announced that it is leaving, whatever the list
// says. It returns false if that is known.
func (p *Pool) AnnounceLeaving(e *Endpoint, now clock.Millis) bool {
	if e.announcedLeaving {
		return false
	}
	e.announcedLeaving = true
	p.markRemoved(e, now)
	p.recordDeparture(Departure{Name: e.Name, Epoch: e.Epoch, At: p.recordsAt}, false, now)
	announced := p.departures[e.Name]
	announced.isAnnounced = announced.Epoch == e.Epoch
	p.departures[e.Name] = announced
	return true
}

// track adds the endpoint to those with recent failures, reports or a leaving state.
func (p *Pool) track(endpoint *Endpoint) { p.tracked[endpoint.hash] = endpoint }

// RecordFailure records a send that failed through the endpoint's fault. After
// BackoffFailures failures in a row the endpoint goes into backoff.
func (p *Pool) RecordFailure(e *Endpoint, now clock.Millis) {
	p.RecordError(e, now)
	e.ConsecutiveFailures++
	if e.ConsecutiveFailures < BackoffFailures {
		return
	}
	backoff := InitialBackoff << min(e.ConsecutiveFailures-BackoffFailures, 10)
	e.BackoffUntil = now + min(backoff, MaxBackoff)
}

// RecordUnreachable records that no connection to the endpoint could be opened, that
// another one has its address, or that another one named it as the cause of a failure. It
// starts a backoff at once.
func (p *Pool) RecordUnreachable(e *Endpoint, now clock.Millis) {
	e.ConsecutiveFailures = max(e.ConsecutiveFailures, BackoffFailures-1)
	p.RecordFailure(e, now)
}

// RecordSuccess records a complete answer. It ends the backoff.
func (e *Endpoint) RecordSuccess() {
	e.ConsecutiveFailures = 0
	e.BackoffUntil = 0
}
