// Package board defines the complete state of an entry that relays requests.
// Controllers read and modify it, one input at a time.
package board

import (
	"math/rand/v2"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/cycle"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/blame"
	"mustardhook/internal/flow/budget"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/cost"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/learn"
	"mustardhook/internal/flow/output"
	"mustardhook/internal/flow/plan"
	"mustardhook/internal/flow/point"
	"mustardhook/internal/flow/pool"
	"mustardhook/internal/flow/share"
	"mustardhook/internal/flow/tally"
)

const (
	// A refused caller should retry after the remaining time divided by
	// retryAfterDivisor; callers wait at most a third of that time.
	retryAfterDivisor = 4
	minRetryAfter     = 100 * clock.Millis(1)
	// retryShare is the largest fraction of its time that a caller has left when it retries after
	// RetryAfter. First attempts may have less than the timeout of their route, too.
	retryShare = 1 - 1.0/retryAfterDivisor
	// Callers abandon a stream that has no events for the longest of these times:
	// minCallerPatience, or the objective or the gap objective of the route times its
	// factor.
	minCallerPatience       = 2 * clock.Second
	objectivePatienceFactor = 4
	gapPatienceFactor       = 8
)

type (
	// Controller makes the decisions on one concern.
	Controller = cycle.Controller[*Board, input.Input]
	// Registration is a controller with its priority.
	Registration = cycle.Registration[*Board, input.Input]

	// Board is the state of an entry.
	Board struct {
		Now clock.Millis
		// LastStep is the time of the previous input.
		LastStep clock.Millis
		// StartedAt is when this epoch began.
		StartedAt clock.Millis
		Self      ident.Entry
		Epoch     uint64
		Domain    ident.Domain
		Address   string
		// Capacity is the processor share of the entry, in thousandths of a core.
		Capacity int
		Settings input.Settings
		Random   *rand.Rand

		Plan         plan.Plan
		PlanDocument []byte
		// AccessChanges counts the plans in this epoch that began or ceased to require keys.
		AccessChanges int
		// OutdatedSince is when other entries were first known to have newer published
		// state; zero while none has.
		OutdatedSince clock.Millis
		// FetchBlockedUntil is the time until which this entry asks no other one for
		// published state.
		FetchBlockedUntil clock.Millis
		// HasList reports whether the list of endpoints has been read in this epoch.
		// ListAt is the point of the published state that it comes from, and EraSince when the first
		// list of its era was read, here or by the entry that told of it. Until EraHoldUntil, records of the list may be older
		// than what entries knew when its era began.
		HasList      bool
		ListAt       point.Point
		EraSince     clock.Millis
		EraHoldUntil clock.Millis
		// ConfirmedAt is when this entry last read published state completely, and ReadTo the
		// point of its history up to which it did.
		ConfirmedAt clock.Millis
		ReadTo      point.Point
		// SourceLostAt is when reads of published state began to fail; zero while they
		// succeed.
		SourceLostAt clock.Millis
		Pool         *pool.Pool

		Requests map[uint64]*Request
		Seeds    []string
		Peers    map[ident.Entry]*Peer
		// MaxMembers is the largest number of entries, this one included, that were alive
		// at the same time.
		MaxMembers int
		Budget     *budget.Budget
		// Blame holds what is known of requests that crash the endpoints that run them.
		Blame *blame.Ledger
		// Shares holds the groups that lately sent requests, and which of them exceed their share.
		Shares *share.Ledger
		// LeaseCount is the number of leases requested in this epoch.
		LeaseCount int
		// Costs holds what requests of plain services were seen to cost, and Delays how much longer
		// than predicted they took.
		Costs  *learn.Estimator
		Delays *learn.Delays
		// Priced holds the services whose endpoints are chosen by cost.
		Priced map[ident.Service]bool
		// Tally holds the load of all entries.
		Tally *tally.Tally
		// WorkChanged reports whether the load of this entry changed since it was last
		// published, NewsChanged whether other published state did.
		WorkChanged bool
		NewsChanged bool
		// Stopping is set since StoppingAt. At StopEndsAt the requests that are left end
		// without an answer of an endpoint.
		Stopping   bool
		StoppingAt clock.Millis
		StopEndsAt clock.Millis

		// PeersWithQueue holds the entries at which long prompts are queued.
		PeersWithQueue map[ident.Entry]*Peer

		outputs []output.Output
		// roster is nil after a change of the entries, and rebuilt on demand.
		roster *roster
	}

	// Request is a caller's request that has not ended yet.
	Request struct {
		call.RoutedRequest
		// Group is the hash of the group whose share the request uses; zero if it has none.
		Group      pool.Hash
		ArrivedAt  clock.Millis
		DeadlineAt clock.Millis
		// Endpoint is the endpoint of the current send, which was sent at SentAt; empty while the
		// request waits.
		Endpoint ident.Endpoint
		SentAt   clock.Millis
		// Subject is what the cost of a request of a plain service is learned by, and Price what its
		// current send was expected to take.
		Subject learn.Subject
		Price   Price
		// IsPriced reports whether the endpoint was chosen by its price.
		IsPriced bool
		Helpers  []ident.Endpoint
		Tried    []ident.Endpoint
		// Runs counts sends after which the endpoint may have run the request.
		Runs int
		// Refusals counts sends after which the endpoint did not run the request.
		Refusals int
		// Usable is the number of endpoints that could run the request when one was last
		// chosen for it.
		Usable int
		// Queued reports whether the request is a long prompt that waits for engines.
		// CapacitySince is when this entry first saw capacity for it; zero if it sees none.
		Queued        bool
		CapacitySince clock.Millis
		// PrecedenceDraw is the random number that decides whether the request may make others late;
		// zero before it is drawn.
		PrecedenceDraw float64
		// PlannedStart is when the queue last planned to start the request; zero if it was not queued.
		PlannedStart clock.Millis
		// Share is the verdict for which the request was refused; zero if it was not.
		Share share.Verdict
		// Wait is the last cause for which the request waited, and WaitLoggedAt when it was
		// logged.
		Wait         call.Wait
		WaitLoggedAt clock.Millis
		// NotBefore is the earliest time of a retry after a failure, NextTryAt when the
		// entry next looks for engines.
		NotBefore clock.Millis
		NextTryAt clock.Millis
		// MoveAfter is when a send without an event is presumed lost although there are no signs
		// that its endpoint is dead.
		MoveAfter clock.Millis
		// HasRetry reports whether a retry was taken from the budget for the request when its
		// current send was ended because its endpoint was silent.
		HasRetry bool
		// FirstEventSent reports whether the first event of the current send was sent to
		// the caller, at FirstEventAt, Delivered whether the caller received a part of any answer.
		FirstEventSent bool
		FirstEventAt   clock.Millis
		// IsAcquitted reports whether the current answer has acquitted the parts of the prompt.
		IsAcquitted bool
		Delivered   bool
	}

	// Price is what a send to a plain service was expected to take, in milliseconds. It is zero if nothing
	// was known.
	Price struct{ Wait, Way, Cost, Deviation, Pace float64 }

	// Peer is another entry.
	Peer struct {
		News input.News
		// EntryHash is the hash of the peer's name.
		EntryHash tally.EntryHash
		// LastSeenAt is when any entry last received a message from the peer,
		// DirectlySeenAt when this entry did.
		LastSeenAt     clock.Millis
		DirectlySeenAt clock.Millis
		// Unresponsive reports whether no message from the peer arrived within the timeout.
		Unresponsive bool
		// ForwardBackoffUntil is the time until which the peer is not asked to forward news.
		ForwardBackoffUntil clock.Millis
	}
)

// New returns an empty board.
func New() *Board {
	return &Board{
		Pool:           pool.New(),
		Requests:       map[uint64]*Request{},
		Peers:          map[ident.Entry]*Peer{},
		PeersWithQueue: map[ident.Entry]*Peer{},
		Blame:          blame.New(),
		Costs:          learn.New(),
		Delays:         learn.NewDelays(),
		Priced:         map[ident.Service]bool{},
		Shares:         share.NewLedger(),
		Budget:         budget.New(),
		MaxMembers:     1,
	}
}

// Millis returns how long the send was expected to take.
func (p Price) Millis() float64 { return (p.Wait+p.Cost)*p.Pace + p.Way }

// Emit adds an output for the shell to carry out.
func (b *Board) Emit(out output.Output) { b.outputs = append(b.outputs, out) }

// Log writes a log line. Pairs are alternating keys and values.
func (b *Board) Log(text string, pairs ...any) { b.Emit(output.Log{Text: text, Pairs: pairs}) }

// TakeOutputs returns and removes the outputs emitted since the last call.
func (b *Board) TakeOutputs() []output.Output {
	pending := b.outputs
	b.outputs = nil
	return pending
}

// IsReady reports whether the entry can serve callers.
func (b *Board) IsReady() bool { return !b.Plan.IsZero() && b.HasList && !b.Stopping }

// IsCallerRetry reports whether the caller was refused before and has waited for RetryAfter.
func (r *Request) IsCallerRetry() bool {
	return float64(r.timeLeftAtArrival()) < retryShare*float64(r.Route.Timeout)
}

// DueAt returns when the first event of the request is due. For a caller's retry, the
// objective counts from the caller's first attempt, which is estimated from RetryAfter.
func (r *Request) DueAt() clock.Millis {
	if r.IsCallerRetry() {
		timeout := min(clock.Millis(float64(r.timeLeftAtArrival())/retryShare), r.Route.Timeout)
		return r.DeadlineAt - timeout + r.Route.Objective
	}
	return r.ArrivedAt + r.Route.Objective
}

func (r *Request) timeLeftAtArrival() clock.Millis { return r.DeadlineAt - r.ArrivedAt }

// WaitsUntil returns when the caller stops waiting for a first event.
func (r *Request) WaitsUntil() clock.Millis {
	patience := max(minCallerPatience, objectivePatienceFactor*r.Route.Objective)
	if stream, isStream := r.Route.Repeat.(plan.Stream); isStream {
		patience = max(patience, gapPatienceFactor*stream.GapObjective)
	}
	return min(r.ArrivedAt+patience, r.DeadlineAt)
}

// GroupOf returns the group whose share the request uses, and whether it has one.
func (b *Board) GroupOf(request *Request) (share.Group, bool) {
	isShared := b.Plan.HasShares && request.Organisation != "" && b.Plan.Services[request.Service].Engine != nil
	return share.Group{Service: request.Service, Organisation: request.Organisation}, isShared
}

// OwnUse returns the use of all groups at this entry.
func (b *Board) OwnUse() map[share.Group]share.Use {
	own := map[share.Group]share.Use{}
	for _, request := range b.Requests {
		group, isShared := b.GroupOf(request)
		if !isShared || request.Endpoint == "" {
			continue
		}
		use := share.Use{Requests: 1}
		if engine := b.Plan.Services[request.Service].Engine; !request.FirstEventSent && cost.IsLong(engine, request.Request.PromptTokens) {
			use.PrefillMillis = int(cost.PrefillMillis(engine, request.Request.PromptTokens, 1))
		}
		own[group] = own[group].Add(use)
	}
	return own
}

func (r *Request) rankInQueue() int {
	if r.Group == 0 {
		return 0
	}
	return r.Rank
}

// QueuedPrompt returns the record of the request that is published while it is queued.
func (r *Request) QueuedPrompt() input.QueuedPrompt {
	return input.QueuedPrompt{
		Service: r.Service, Number: r.Request.Number, PromptTokens: r.Request.PromptTokens,
		DueAt: r.DueAt(), WaitsUntil: r.WaitsUntil(), Group: r.Group, Rank: r.rankInQueue(),
	}
}

// EndsWithin reports whether the request has less than the given time left.
func (b *Board) EndsWithin(request *Request, duration clock.Millis) bool {
	return request.DeadlineAt-b.Now < duration
}

// StopEndsWithin reports whether the entry is stopping and has less than the given time
// left for its requests.
func (b *Board) StopEndsWithin(duration clock.Millis) bool {
	return b.Stopping && b.StopEndsAt-b.Now <= duration
}

// RetryAfter returns the delay after which a caller that was refused for lack of
// capacity should retry.
func (b *Board) RetryAfter(request *Request) clock.Millis {
	return max((request.DeadlineAt-b.Now)/retryAfterDivisor, minRetryAfter)
}

// Start initialises the board from the first input of an epoch.
func (b *Board) Start(started input.Started) {
	const stream = 0x666c6f77 // "flow" in ASCII
	b.Self = started.Self
	b.Epoch = started.Epoch
	b.Domain = started.Domain
	b.Address = started.Address
	b.Capacity = started.Capacity
	b.Seeds = started.Seeds
	b.Settings = started.Settings
	b.Tally = tally.New(b.Self, b.Epoch)
	b.Random = rand.New(rand.NewPCG(started.Seed, stream))
}

// IsUnresponsive reports whether the failure domain has known entries that are not
// leaving, and no message from any of them arrived within the timeout.
func (b *Board) IsUnresponsive(domain ident.Domain, timeout clock.Millis) bool {
	hasPeers := false
	for _, member := range b.Roster(domain) {
		if member.Peer == nil || member.Peer.News.Leaving {
			continue
		}
		hasPeers = true
		if b.Now-member.Peer.LastSeenAt <= timeout {
			return false
		}
	}
	return hasPeers
}

// HasResponsiveEntry reports whether a message from an entry of the failure domain arrived
// within the timeout.
func (b *Board) HasResponsiveEntry(domain ident.Domain, timeout clock.Millis) bool {
	for _, member := range b.Roster(domain) {
		if member.Peer != nil && b.Now-member.Peer.LastSeenAt <= timeout {
			return true
		}
	}
	return false
}
