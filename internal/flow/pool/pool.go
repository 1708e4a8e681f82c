// Package pool keeps the endpoints that requests can be sent to: what is
// published of them, what the entries have running there and how sends ended.
package pool

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
)

const (
	// DoubtSpan is how long an endpoint that vanished from the list while the list
	// could not be read stays in use: live endpoints are listed again within 2 s.
	DoubtSpan = 1900 * clock.Millis(1)
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
	// Listed is what is published of an endpoint.
	Listed struct {
		Name    ident.Endpoint
		Service ident.Service
		Address string
		Domain  ident.Domain
		Slots   int
		Leaving bool
		// Born is the start of this life; an endpoint may come back under its name.
		Born uint64
	}

	// Known is an endpoint of the list as an entry passes it on.
	Known struct {
		Listed
		// Doubt is how long an endpoint that vanished from the list is still taken to
		// be alive; zero while it is listed.
		Doubt clock.Millis
	}

	// Mark is a short hash of an endpoint's name. Entries tell one another marks in
	// place of names; a clash only misplaces a piece of work.
	Mark uint32

	// Endpoint is one endpoint with what is known of its load and health.
	Endpoint struct {
		Listed
		// GoneAt is when the entry vanished from the list; zero while it is listed.
		GoneAt clock.Millis
		// DoubtUntil is how long a vanished entry is still taken to be alive.
		DoubtUntil clock.Millis

		Failures  int
		RestUntil clock.Millis
		// Work is what runs here of this entry, by the number of the request, and Others
		// what runs here of all other entries.
		Work   map[uint64]Work
		Others Sum

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

		mark Mark
		// order places the endpoint in an order that all entries share and that says
		// nothing of it.
		order uint64
	}

	// Work is a request, or the part of one, that an endpoint runs.
	Work struct {
		// PromptTokens is the whole prompt, OutputTokens the expected answer.
		PromptTokens int
		OutputTokens int
		// Parts is how many endpoints read the prompt.
		Parts int
		// Helping says that the endpoint reads a part and does not write.
		Helping bool
		// Writing says that the answer has begun.
		Writing bool
		// Gap is the longest pause between events that its caller expects.
		Gap clock.Millis
		// MemoryTokens is the memory that the work takes up here at its end.
		MemoryTokens int
		// Since is when the work was sent, ReadAt when its part of the prompt is
		// expected to be read.
		Since  clock.Millis
		ReadAt clock.Millis
	}

	// Pool is all endpoints by name.
	Pool struct {
		endpoints map[ident.Endpoint]*Endpoint
		byMark    map[Mark]*Endpoint
		// byService holds the endpoints of a service in order; it is made anew for services
		// whose endpoints came or went.
		byService map[ident.Service][]*Endpoint
		// revision is that of the list, and sweptRevision the newest one at which an
		// endpoint changed that is forgotten.
		revision      uint64
		sweptRevision uint64
		// noted are the endpoints with failures, reports or a leave to tell of.
		noted map[Mark]*Endpoint
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
		endpoints: map[ident.Endpoint]*Endpoint{}, cut: map[ident.Domain]cutDomain{}, noted: map[Mark]*Endpoint{},
		byMark: map[Mark]*Endpoint{}, byService: map[ident.Service][]*Endpoint{},
	}
}

// Cut notes that the failure domain can't be reached. Its endpoints are out of
// use for a pause that doubles until one of them answers.
func (p *Pool) Cut(domain ident.Domain, now clock.Millis) {
	known := p.cut[domain]
	if now < known.restUntil {
		return
	}
	known.rest = min(max(2*known.rest, FirstRest), LongestRest)
	known.restUntil = now + known.rest
	p.cut[domain] = known
}

// Reached notes that the failure domain can be reached.
func (p *Pool) Reached(domain ident.Domain) { delete(p.cut, domain) }

// IsCut reports whether the failure domain is out of use.
func (p *Pool) IsCut(domain ident.Domain, now clock.Millis) bool {
	return now < p.cut[domain].restUntil
}

// Find returns the endpoint of the name, or nil.
func (p *Pool) Find(name ident.Endpoint) *Endpoint { return p.endpoints[name] }

// FindAddress returns the endpoint that is listed at the address, or nil.
func (p *Pool) FindAddress(address string) *Endpoint {
	for _, endpoint := range p.endpoints {
		if endpoint.Address == address && endpoint.GoneAt == 0 {
			return endpoint
		}
	}
	return nil
}

// MoveTo takes the list to the revision, at which all changes that follow were made.
func (p *Pool) MoveTo(revision uint64) { p.revision = revision }

// Put takes a published entry.
func (p *Pool) Put(entry Listed, now clock.Millis) {
	put := p.put(entry)
	if !put.Leaving {
		put.LeftAt = 0
		return
	}
	put.leave(now)
	p.note(put)
}

func (p *Pool) put(entry Listed) *Endpoint {
	if p.Has(entry) {
		return p.endpoints[entry.Name]
	}
	known := p.endpoints[entry.Name]
	if known == nil || known.Born != entry.Born || known.Address != entry.Address {
		return p.begin(entry, known)
	}
	if known.Service != entry.Service {
		delete(p.byService, known.Service)
		delete(p.byService, entry.Service)
	}
	known.Listed = entry
	known.GoneAt = 0
	known.DoubtUntil = 0
	known.revision = p.revision
	return known
}

// begin takes an endpoint that was not known, or a new life of one.
func (p *Pool) begin(entry Listed, before *Endpoint) *Endpoint {
	made := &Endpoint{
		Listed: entry, Work: map[uint64]Work{}, revision: p.revision, mark: MarkOf(entry.Name),
		order: xxhash.Sum64String(string(entry.Name)),
	}
	if before != nil {
		made.Others = before.Others
		delete(p.byService, before.Service)
	}
	p.endpoints[entry.Name] = made
	p.byMark[made.mark] = made
	delete(p.byService, entry.Service)
	delete(p.noted, made.mark)
	return made
}

// Has reports whether the entry is listed just so.
func (p *Pool) Has(entry Listed) bool {
	known := p.endpoints[entry.Name]
	return known != nil && known.GoneAt == 0 && known.Listed == entry
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
		known.DoubtUntil = now + DoubtSpan
	case p.backAt != 0 && now < p.backAt+DoubtSpan:
		// Its entry may have lapsed while the list was away.
		known.DoubtUntil = p.backAt + DoubtSpan
	default:
		known.leave(now)
		p.note(known)
	}
}

// Replace takes the whole list.
func (p *Pool) Replace(list []Listed, now clock.Millis) {
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

// ReplaceKnown takes the list that another entry has. Its doubts come with it:
// whether this entry can read the list itself does not matter.
func (p *Pool) ReplaceKnown(list []Known, now clock.Millis) {
	known := make(map[ident.Endpoint]bool, len(list))
	for _, entry := range list {
		known[entry.Name] = true
		if entry.Doubt > 0 {
			p.doubt(entry, now)
			continue
		}
		p.Put(entry.Listed, now)
	}
	for name, endpoint := range p.endpoints {
		if !known[name] {
			p.settle(endpoint, now)
		}
	}
}

// ChangeKnown takes the changes of the list that another entry knows; the endpoints
// that are named as gone are so beyond doubt.
func (p *Pool) ChangeKnown(list []Known, gone []ident.Endpoint, now clock.Millis) {
	for _, entry := range list {
		if entry.Doubt > 0 {
			p.doubt(entry, now)
			continue
		}
		p.Put(entry.Listed, now)
	}
	for _, name := range gone {
		if endpoint := p.endpoints[name]; endpoint != nil {
			p.settle(endpoint, now)
		}
	}
}

// Changes returns what changed in the list after the revision: the endpoints to pass on
// and those that are gone. It reports false when that is not known any more.
func (p *Pool) Changes(after uint64, now clock.Millis) (list []Known, gone []ident.Endpoint, isKnown bool) {
	if after == 0 || after < p.sweptRevision {
		return nil, nil, false
	}
	for name, endpoint := range p.endpoints {
		switch {
		case endpoint.revision <= after:
		case endpoint.GoneAt == 0:
			list = append(list, Known{Listed: endpoint.Listed})
		case now < endpoint.DoubtUntil:
			list = append(list, Known{Listed: endpoint.Listed, Doubt: endpoint.DoubtUntil - now})
		default:
			gone = append(gone, name)
		}
	}
	slices.SortFunc(list, func(a, b Known) int { return cmp.Compare(a.Name, b.Name) })
	slices.Sort(gone)
	return list, gone, true
}

// doubt takes another entry's doubt about an endpoint that is listed here. It
// brings back none that is gone.
func (p *Pool) doubt(entry Known, now clock.Millis) {
	known := p.endpoints[entry.Name]
	if known == nil || known.GoneAt != 0 {
		return
	}
	known.GoneAt = now
	known.DoubtUntil = now + entry.Doubt
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

// Known returns the list to pass on, in order of the names.
func (p *Pool) Known(now clock.Millis) []Known {
	var list []Known
	for _, name := range slices.Sorted(maps.Keys(p.endpoints)) {
		endpoint := p.endpoints[name]
		switch {
		case endpoint.GoneAt == 0:
			list = append(list, Known{Listed: endpoint.Listed})
		case now < endpoint.DoubtUntil:
			list = append(list, Known{Listed: endpoint.Listed, Doubt: endpoint.DoubtUntil - now})
		}
	}
	return list
}

// Lost takes the news that the list can't be read.
func (p *Pool) Lost(now clock.Millis) {
	if p.lost == 0 {
		p.lost = now
	}
}

// Back takes the news that the list can be read again.
func (p *Pool) Back(now clock.Millis) {
	p.lost = 0
	p.backAt = now
}

// Sweep forgets endpoints that are gone and run nothing of ours.
func (p *Pool) Sweep(now clock.Millis) {
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

// Of returns the endpoints of the service, in an order that all entries share. The
// caller must not change the slice.
func (p *Pool) Of(service ident.Service) []*Endpoint {
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

// All returns all endpoints by mark. The caller must not change the map.
func (p *Pool) All() map[Mark]*Endpoint { return p.byMark }

// MarkOf returns the mark of a name.
func MarkOf(name ident.Endpoint) Mark { return Mark(xxhash.Sum64String(string(name))) }

// Mark returns the mark of the endpoint's name.
func (e *Endpoint) Mark() Mark { return e.mark }

// IsUsable reports whether new work may be sent to the endpoint.
func (e *Endpoint) IsUsable(now clock.Millis) bool {
	isListed := e.GoneAt == 0 || now < e.DoubtUntil
	return isListed && !e.Leaving && now >= e.RestUntil && now >= e.ToldUntil && now >= e.outUntil
}

// Left returns the marks of endpoints that were found to leave lately.
func (p *Pool) Left(now clock.Millis) []Mark {
	var left []Mark
	for _, endpoint := range p.noted {
		if endpoint.LeftAt != 0 && now-endpoint.LeftAt <= TellSpan {
			left = append(left, endpoint.mark)
		}
	}
	slices.Sort(left)
	return left
}

// TellLeft takes the word of another entry that endpoints leave.
func (p *Pool) TellLeft(left []Mark, now clock.Millis) {
	all := p.All()
	for _, mark := range left {
		if endpoint := all[mark]; endpoint != nil {
			endpoint.ToldUntil = now + ToldSpan
		}
	}
}

// note adds the endpoint to those that there is something to tell of.
func (p *Pool) note(endpoint *Endpoint) { p.noted[endpoint.mark] = endpoint }

// Failed notes a send that failed by the endpoint's fault.
func (p *Pool) Failed(e *Endpoint, now clock.Millis) {
	p.Erred(e, now)
	e.Failures++
	if e.Failures < FailuresToRest {
		return
	}
	rest := FirstRest << min(e.Failures-FailuresToRest, 10)
	e.RestUntil = now + min(rest, LongestRest)
}

// Unreachable notes that no connection could be opened.
func (p *Pool) Unreachable(e *Endpoint, now clock.Millis) {
	e.Failures = max(e.Failures, FailuresToRest-1)
	p.Failed(e, now)
}

// Succeeded notes a whole answer.
func (e *Endpoint) Succeeded() {
	e.Failures = 0
	e.RestUntil = 0
}

// Leads counts the requests that hold a slot here.
func (e *Endpoint) Leads() int {
	count := e.Others.Leads
	for _, work := range e.Work {
		if !work.Helping {
			count++
		}
	}
	return count
}

// MemoryTokens is how many tokens the work here takes up at its end.
func (e *Endpoint) MemoryTokens() int {
	tokens := e.Others.MemoryTokens
	for _, work := range e.Work {
		tokens += work.MemoryTokens
	}
	return tokens
}
