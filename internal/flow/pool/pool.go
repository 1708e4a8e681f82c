// Package pool keeps the endpoints that requests can be sent to: what is
// published of them, what the entries have running there and how sends ended.
package pool

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
)

const (
	// RemovalGrace is how long an endpoint that vanished from the list while the list
	// could not be read stays in use: live endpoints are listed again within 2 s.
	RemovalGrace = 1900 * clock.Millis(1)
	// FirstRest is the first pause after failures at an endpoint; each further
	// failure doubles it.
	FirstRest = 400 * clock.Millis(1)
	// LongestRest bounds the pause: a runner that crashed is back after seconds.
	LongestRest = 4 * clock.Second
	// TellSpan is how long others are told that an endpoint leaves.
	TellSpan = 3 * clock.Second
	// ToldSpan is how long the word of another entry counts; the own list should
	// agree by then.
	ToldSpan = 4 * clock.Second
	// FailuresToRest is how many failures in a row take an endpoint out of use.
	FailuresToRest = 2
)

type (
	// Listing is what is published of an endpoint.
	Listing struct {
		Name    ident.Endpoint
		Service ident.Service
		Address string
		Domain  ident.Domain
		Slots   int
		Leaving bool
		// Epoch is the start of this life; an endpoint may come back under its name.
		Epoch uint64
	}

	// PeerListing is an endpoint of the list as an entry passes it on.
	PeerListing struct {
		Listing
		// RemovalGrace is how long an endpoint that vanished from the list is still taken to
		// be alive; zero while it is listed.
		RemovalGrace clock.Millis
	}

	// Hash is a short hash of an endpoint's name. Entries tell one another marks in
	// place of names; a clash only misplaces a piece of work.
	Hash uint32

	// Endpoint is one endpoint with what is known of its load and health.
	Endpoint struct {
		Listing
		// GoneAt is when the entry vanished from the list; zero while it is listed.
		GoneAt clock.Millis
		// DoubtUntil is how long a vanished entry is still taken to be alive.
		DoubtUntil clock.Millis

		Failures     int
		BackoffUntil clock.Millis
		// Work is what runs here of this entry, by the number of the request, and Others
		// what runs here of all other entries.
		Work       map[uint64]Work
		RemoteLoad Load

		// LeftAt is when the endpoint was found to leave; zero while it stays. Others
		// are told for TellSpan.
		LeftAt clock.Millis
		// ToldUntil is until when the word of another entry that it leaves counts.
		ToldUntil clock.Millis

		// recent are the last failures of own requests, told what others tell of theirs.
		recent []clock.Millis
		told   map[ident.Entry]toldFailures
		// outUntil is until when the endpoint is out of use for what all entries saw of
		// it, and outs how often that happened in a row.
		outUntil clock.Millis
		outs     int

		// pace is the newest known report of any entry, reported the newest one that
		// this entry got itself, and askedAt when it last asked.
		pace     Pace
		reported Pace
		askedAt  clock.Millis

		// revision is that of the list at which the endpoint last changed.
		revision uint64

		mark Hash
		// order places the endpoint in an order that all entries share and that says
		// nothing of it.
		order uint64
	}

	// Work is a request, or the part of one, that an endpoint runs.
	Work struct {
		// PromptTokens is the whole prompt, OutputTokens the expected answer.
		PromptTokens int
		OutputTokens int
		// Shards is how many endpoints read the prompt.
		Shards int
		// IsHelper says that the endpoint reads a part and does not write.
		IsHelper bool
		// IsDecoding says that the answer has begun.
		IsDecoding bool
		// MaxGap is the longest pause between events that its caller expects.
		MaxGap clock.Millis
		// MemoryTokens is the memory that the work takes up here at its end.
		MemoryTokens int
		// StartedAt is when the work was sent, ReadAt when its part of the prompt is
		// expected to be read.
		StartedAt     clock.Millis
		PrefillEndsAt clock.Millis
	}

	// Pool is all endpoints by name.
	Pool struct {
		endpoints map[ident.Endpoint]*Endpoint
		byMark    map[Hash]*Endpoint
		// byService holds the endpoints of a service in order; it is made anew for services
		// whose endpoints came or went.
		byService map[ident.Service][]*Endpoint
		// revision is that of the list, and sweptRevision the newest one at which an
		// endpoint changed that is forgotten.
		revision      uint64
		sweptRevision uint64
		// noted are the endpoints with failures, reports or a leave to tell of.
		noted map[Hash]*Endpoint
		// lost is when reads of the list began to fail; zero while they succeed.
		lost clock.Millis
		// backAt is when reads of the list last began to succeed again.
		backAt clock.Millis
		// cut holds the failure domains that can't be reached.
		cut map[ident.Domain]cutDomain
	}

	// cutDomain is a failure domain whose entries are silent and one of whose
	// endpoints could not be reached.
	cutDomain struct {
		restUntil clock.Millis
		rest      clock.Millis
	}
)

// New returns an empty pool.
func New() *Pool {
	return &Pool{
		endpoints: map[ident.Endpoint]*Endpoint{}, cut: map[ident.Domain]cutDomain{}, noted: map[Hash]*Endpoint{},
		byMark: map[Hash]*Endpoint{}, byService: map[ident.Service][]*Endpoint{},
	}
}

// Find returns the endpoint of the name, or nil.
func (p *Pool) Find(name ident.Endpoint) *Endpoint { return p.endpoints[name] }

// FindByAddress returns the endpoint that is listed at the address, or nil.
func (p *Pool) FindByAddress(address string) *Endpoint {
	for _, endpoint := range p.endpoints {
		if endpoint.Address == address && endpoint.GoneAt == 0 {
			return endpoint
		}
	}
	return nil
}

// ByService returns the endpoints of the service, in an order that all entries share. The
// caller must not change the slice.
func (p *Pool) ByService(service ident.Service) []*Endpoint {
	if found, isKnown := p.byService[service]; isKnown {
		return found
	}
	var found []*Endpoint
	for _, endpoint := range p.endpoints {
		if endpoint.Service == service {
			found = append(found, endpoint)
		}
	}
	slices.SortFunc(found, func(a, b *Endpoint) int {
		return cmp.Or(cmp.Compare(a.order, b.order), cmp.Compare(a.Name, b.Name))
	})
	p.byService[service] = found
	return found
}

// ByHash returns all endpoints by mark. The caller must not change the map.
func (p *Pool) ByHash() map[Hash]*Endpoint { return p.byMark }

// HashOf returns the mark of a name.
func HashOf(name ident.Endpoint) Hash { return Hash(xxhash.Sum64String(string(name))) }

// Hash returns the mark of the endpoint's name.
func (e *Endpoint) Hash() Hash { return e.mark }

// Leads counts the requests that hold a slot here.
func (e *Endpoint) Leads() int {
	count := e.RemoteLoad.Leads
	for _, work := range e.Work {
		if !work.IsHelper {
			count++
		}
	}
	return count
}

// MemoryTokens is how many tokens the work here takes up at its end.
func (e *Endpoint) MemoryTokens() int {
	tokens := e.RemoteLoad.MemoryTokens
	for _, work := range e.Work {
		tokens += work.MemoryTokens
	}
	return tokens
}
