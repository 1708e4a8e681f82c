// Package pool holds the endpoints that requests can be sent to: their published listing,
// the load that all entries put on them, and their health as seen from the results of
// sends.
package pool

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/evac"
	"mustardhook/internal/flow/point"
)

const (
	// RemovalGrace is how long an endpoint that was removed while the list could not be
	// read stays in use. Live endpoints are listed again within 2 s.
	RemovalGrace = 1900 * clock.Millis(1)
	// InitialBackoff is the first backoff after failures at an endpoint. Each further
	// failure doubles it.
	InitialBackoff = 400 * clock.Millis(1)
	// MaxBackoff bounds the backoff. A crashed endpoint restarts within seconds.
	MaxBackoff = 4 * clock.Second
	// LeavingPublishWindow is how long an entry publishes that an endpoint is leaving.
	LeavingPublishWindow = 3 * clock.Second
	// PeerLeavingTTL is how long a peer's report that an endpoint is leaving is valid.
	// This entry's own list should agree by then.
	PeerLeavingTTL = 4 * clock.Second
	// BackoffFailures is the number of failures in a row that starts a backoff.
	BackoffFailures = 2
	// recheckTime is how long an endpoint stays in use that is missing from a list older than its record. What was
	// published in between is read by then.
	recheckTime = 1 * clock.Second
)

type (
	// Listing is the published record of an endpoint.
	Listing struct {
		Name    ident.Endpoint
		Service ident.Service
		Address string
		Domain  ident.Domain
		Slots   int
		Leaving bool
		// Epoch identifies the run of the endpoint: it changes if the endpoint restarts
		// under the same name.
		Epoch uint64
		// ColdLeft is how much longer the endpoint was cold when the record was written. It
		// falls with each renewal of the record, which is no change of the listing.
		ColdLeft clock.Millis
	}

	// PeerListing is a listing as one entry sends it to another.
	PeerListing struct {
		Listing
		// RemovalGrace is how much longer an endpoint that was removed from the list
		// stays in use. It is zero while the endpoint is listed. IsLost reports whether it was not
		// removed, but a copy that the source came back from lacks its record.
		RemovalGrace clock.Millis
		IsLost       bool
		// Hold is how much longer the endpoint is out of use because its record may be older
		// than what the sender knows of it. WrittenAt is the last point at which its record is known to have
		// been written; zero if none is.
		Hold      clock.Millis
		WrittenAt point.Point
		// ColdRemaining is how much longer the endpoint is cold by what the sender knows.
		ColdRemaining clock.Millis
	}

	// Era is the era of a list, which begins when the source comes back from an older copy.
	Era struct {
		// Since is when the first list of the era was read. Until HoldUntil, a list may still have records that
		// the source had removed, or that endpoints had replaced, in the era before.
		Since     clock.Millis
		HoldUntil clock.Millis
		// IsNew reports whether the list before was of another era.
		IsNew bool
	}

	// Hash is a short hash of an endpoint's name. Entries exchange hashes instead of
	// names. A collision only attributes work to the wrong endpoint.
	Hash uint32

	// Run is a run of an endpoint as entries tell each other of it.
	Run struct {
		Endpoint Hash
		Epoch    uint64
	}

	// Endpoint is an endpoint with its load and health.
	Endpoint struct {
		Listing
		// RemovedAt is when the endpoint was removed from the list; zero while it is
		// listed.
		RemovedAt clock.Millis
		// removedPoint is the point of the list at which that became known.
		removedPoint point.Point
		// RemovalGraceUntil is the end of the removal grace period.
		RemovalGraceUntil clock.Millis
		// isLost reports whether it was not removed, but a copy that the source came back from lacks its record.
		isLost bool
		// heldUntil is until when the endpoint is out of use because its record may be older than
		// what is known of it.
		heldUntil clock.Millis

		ConsecutiveFailures int
		BackoffUntil        clock.Millis
		// Work is the work that this entry runs on the endpoint, by request number.
		// RemoteLoad is the load of all other entries.
		Work       map[uint64]Work
		RemoteLoad Load

		// LeavingAt is when this entry found the endpoint to be leaving, which it publishes
		// for LeavingPublishWindow; zero otherwise.
		LeavingAt clock.Millis
		// PeerLeavingUntil is when the last report of a peer that the endpoint is leaving
		// expires.
		PeerLeavingUntil clock.Millis

		// announcedLeaving is set once the endpoint has announced in an answer that it is leaving.
		// Only another epoch of it is used again.
		announcedLeaving bool
		// pausedUntil is the end of the pause that the endpoint asked for, and ownPauseUntil that of
		// the pause that it asked this entry for.
		pausedUntil   clock.Millis
		ownPauseUntil clock.Millis
		// isEvacuated reports whether the endpoint's failure domain is evacuated.
		isEvacuated bool

		cold coldness

		// ownFailures are the times of this entry's recent failures. failureReports are
		// the recent failures that peers have published.
		ownFailures    []clock.Millis
		failureReports map[ident.Entry]failureReport
		// ejectedUntil is the end of the ejection for failures at several entries.
		// ejections is the number of ejections in a row.
		ejectedUntil clock.Millis
		ejections    int

		// pace is the newest known report to any entry, and reported the newest one to
		// this entry. requestedAt is when this entry last requested a report.
		pace        Pace
		reported    Pace
		requestedAt clock.Millis

		// changedAt is the point of the list at which the endpoint last changed, and writtenAt the last
		// one at which its record is known to have been written; zero if none is. listedAt is the last point at which its
		// record may have been read.
		changedAt point.Point
		writtenAt point.Point
		listedAt  point.Point

		hash Hash
		// sortKey orders the endpoints of a service in the same way at all entries. It
		// doesn't depend on any property but the name.
		sortKey uint64
	}

	// Work is a request, or a shard of its prompt, that runs on an endpoint.
	Work struct {
		// PromptTokens is the length of the whole prompt, OutputTokens the expected
		// length of the answer.
		PromptTokens int
		OutputTokens int
		// Shards is the number of endpoints that share the prefill of the prompt.
		Shards int
		// IsHelper reports whether the endpoint only prefills a shard and doesn't decode.
		IsHelper bool
		// IsDecoding reports whether the answer has begun.
		IsDecoding bool
		// MaxGap is the longest pause between two events that the caller expects.
		MaxGap clock.Millis
		// MemoryTokens is the memory, in tokens, that the work occupies when it ends.
		MemoryTokens int
		// Cost is how long a plain service is expected to take; zero if it is not priced.
		Cost clock.Millis
		// StartedAt is when the work was sent. PrefillEndsAt is when the prefill of its
		// shard is expected to end.
		StartedAt     clock.Millis
		PrefillEndsAt clock.Millis
	}

	// Pool holds all endpoints by name.
	Pool struct {
		endpoints map[ident.Endpoint]*Endpoint
		byHash    map[Hash]*Endpoint
		// byService caches the sorted endpoints of each service. The cached slice is
		// dropped if an endpoint is added to the service or removed from it.
		byService map[ident.Service][]*Endpoint
		// listAt is the point of the list, recordsAt that up to which the records that were last applied may be newer, and
		// completeSince the oldest point after which the pool has all changes of it.
		listAt        point.Point
		recordsAt     point.Point
		completeSince point.Point
		// renewalsUntil is until when the first write of a record in a new era is a change of the list.
		renewalsUntil clock.Millis
		// tracked are the endpoints with recent failures, reports or a leaving state, which
		// are published or counted until they expire.
		tracked map[Hash]*Endpoint
		// unavailableSince is when reads of the list began to fail; zero while they
		// succeed.
		unavailableSince clock.Millis
		// availableAt is when reads of the list last began to succeed again.
		availableAt clock.Millis
		// unreachable holds the failure domains that can't be reached.
		unreachable map[ident.Domain]unreachableDomain
		// evacuated are the evacuated failure domains.
		evacuated evac.Set
		// durations holds how long this entry's sends to each service took.
		durations map[ident.Service]*durations
		// hasList is set once a complete list was applied. coldTimes holds how long the
		// endpoints of each service are cold after their start.
		hasList   bool
		coldTimes map[ident.Service]clock.Millis
		// departures holds the last run of each endpoint that is known to have left.
		departures map[ident.Endpoint]departure
	}

	// unreachableDomain is a failure domain whose entries are unresponsive and one of whose
	// endpoints could not be reached. checkAt is when it is next checked.
	unreachableDomain struct {
		checkAt clock.Millis
		backoff clock.Millis
	}
)

// New returns an empty pool.
func New() *Pool {
	return &Pool{
		endpoints: map[ident.Endpoint]*Endpoint{}, unreachable: map[ident.Domain]unreachableDomain{}, tracked: map[Hash]*Endpoint{},
		byHash: map[Hash]*Endpoint{}, durations: map[ident.Service]*durations{}, byService: map[ident.Service][]*Endpoint{},
		departures: map[ident.Endpoint]departure{},
	}
}

// Find returns the endpoint with the name, or nil.
func (p *Pool) Find(name ident.Endpoint) *Endpoint { return p.endpoints[name] }

// FindByAddress returns the endpoint that is listed with the address, or nil.
func (p *Pool) FindByAddress(address string) *Endpoint {
	for _, endpoint := range p.endpoints {
		if endpoint.Address == address && endpoint.RemovedAt == 0 {
			return endpoint
		}
	}
	return nil
}

// ByService returns the endpoints of the service, in the same order at all entries. The
// caller must not change the slice.
func (p *Pool) ByService(service ident.Service) []*Endpoint {
	if matches, isCached := p.byService[service]; isCached {
		return matches
	}
	var matches []*Endpoint
	for _, endpoint := range p.endpoints {
		if endpoint.Service == service {
			matches = append(matches, endpoint)
		}
	}
	slices.SortFunc(matches, func(a, b *Endpoint) int {
		return cmp.Or(cmp.Compare(a.sortKey, b.sortKey), cmp.Compare(a.Name, b.Name))
	})
	p.byService[service] = matches
	return matches
}

// ByHash returns all endpoints by the hash of their name. The caller must not change the
// map.
func (p *Pool) ByHash() map[Hash]*Endpoint { return p.byHash }

// HashOf returns the hash of an endpoint's name.
func HashOf(name ident.Endpoint) Hash { return Hash(xxhash.Sum64String(string(name))) }

// Hash returns the hash of the endpoint's name.
func (e *Endpoint) Hash() Hash { return e.hash }

// Leads returns the number of requests of all entries that hold a slot on the endpoint.
func (e *Endpoint) Leads() int {
	count := e.RemoteLoad.Leads
	for _, work := range e.Work {
		if !work.IsHelper {
			count++
		}
	}
	return count
}

// MemoryTokens returns the memory, in tokens, that the work of all entries occupies on
// the endpoint when it ends.
func (e *Endpoint) MemoryTokens() int {
	tokens := e.RemoteLoad.MemoryTokens
	for _, work := range e.Work {
		tokens += work.MemoryTokens
	}
	return tokens
}
