// Package board holds the blackboard of an entry that relays requests: its whole
// memory. Controllers read and write it, one input at a time.
package board

import (
	"math/rand/v2"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/cycle"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/budget"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/output"
	"mustardhook/internal/flow/plan"
	"mustardhook/internal/flow/pool"
	"mustardhook/internal/flow/tally"
)

const (
	// retryParts is the part of the time left after which a refused caller comes
	// back; callers wait a third of it at most.
	retryParts    = 4
	minRetryAfter = 100 * clock.Millis(1)
	// freshShare is the part of its route's time that a request has at least when it
	// comes for the first time.
	freshShare = 0.95
	// Callers give a stream up after the longest of these silences.
	leastPatience     = 2 * clock.Second
	objectivePatience = 4
	gapPatience       = 8
)

type (
	// Controller decides on one matter.
	Controller = cycle.Controller[*Board, input.Input]
	// Registration gives a controller its place.
	Registration = cycle.Registration[*Board, input.Input]

	// Board is the memory of an entry.
	Board struct {
		Now clock.Millis
		// LastStep is the instant of the input before this one.
		LastStep clock.Millis
		Self     ident.Entry
		Epoch    uint64
		Domain   ident.Domain
		Address  string
		// Capacity is the processor share of the entry, in thousandths of a core.
		Capacity int
		Settings input.Settings
		Random   *rand.Rand

		Plan         plan.Plan
		PlanDocument []byte
		// OutdatedSince is since when others have a newer plan; zero while nobody has.
		OutdatedSince clock.Millis
		// FetchBlockedUntil is until when no other entry is asked for published state.
		FetchBlockedUntil clock.Millis
		// HasList says that the list of endpoints was read in this life, ListRevision
		// of which revision of the published state it is.
		HasList      bool
		ListRevision uint64
		// ConfirmedAt is when this entry last read published state whole.
		ConfirmedAt clock.Millis
		// SourceLostAt is when reads of published state began to fail; zero while
		// they succeed.
		SourceLostAt clock.Millis
		Pool         *pool.Pool

		Requests map[uint64]*Request
		Seeds    []string
		Peers    map[ident.Entry]*Peer
		// MaxMembers is the most entries that were seen alive at once, this one too.
		MaxMembers int
		Budget     *budget.Budget
		Crashes    map[uint64]*Crash
		// Leases counts the leases that this life has asked for.
		Leases int
		// Tally holds what all entries run.
		Tally *tally.Tally
		// WorkChanged says that the work of this entry changed since it was last told,
		// NewsChanged that what else others are told did.
		WorkChanged bool
		NewsChanged bool
		Stopping    bool
		StoppingAt  clock.Millis

		// PeersWithQueue are the entries where long prompts wait.
		PeersWithQueue map[ident.Entry]*Peer

		outputs []output.Output
		// roster is made anew when entries come or go.
		roster *roster
	}

	// Request is a caller's request that is not answered yet.
	Request struct {
		call.RoutedRequest
		CameAt clock.Millis
		EndsAt clock.Millis
		// Endpoint runs the current send; empty while the request waits.
		Endpoint ident.Endpoint
		Helpers  []ident.Endpoint
		Tried    []ident.Endpoint
		// Runs counts sends that may have run.
		Runs int
		// Refusals counts sends that did not run.
		Refusals int
		// Usable is how many endpoints could get the request when it was last decided on.
		Usable int
		// Queued says that the request is a long prompt that waits for engines, and
		// RoomAt since when this entry has seen room for it.
		Queued bool
		RoomAt clock.Millis
		// NotBefore is when the request is tried again after a failure, TryAt when it is
		// worth looking for engines again.
		NotBefore clock.Millis
		TryAt     clock.Millis
		Begun     bool
		Delivered bool
	}

	// Peer is another entry.
	Peer struct {
		News input.News
		// EntryHash is the mark of its name.
		EntryHash tally.EntryHash
		// LastSeenAt is when anybody last heard the entry, DirectAt when this one did.
		LastSeenAt     clock.Millis
		DirectlySeenAt clock.Millis
		// Unresponsive says that nothing was heard of the entry for long.
		Unresponsive bool
		// ForwardBackoffUntil is until when the entry is not asked to pass news on.
		ForwardBackoffUntil clock.Millis
	}

	// Crash is a request that was running when endpoints ended.
	Crash struct {
		// Counts holds how many endpoints each entry saw end.
		Counts map[ident.Entry]int
		SeenAt clock.Millis
	}
)

// New returns an empty board.
func New() *Board {
	return &Board{
		Pool:           pool.New(),
		Requests:       map[uint64]*Request{},
		Peers:          map[ident.Entry]*Peer{},
		PeersWithQueue: map[ident.Entry]*Peer{},
		Crashes:        map[uint64]*Crash{},
		Budget:         budget.New(),
		MaxMembers:     1,
	}
}

// Emit asks the shell for an output.
func (b *Board) Emit(wanted output.Output) { b.outputs = append(b.outputs, wanted) }

// Log writes a log line about what the entry believes.
func (b *Board) Log(text string, pairs ...any) { b.Emit(output.Log{Text: text, Pairs: pairs}) }

// TakeOutputs returns what was asked for since the last call.
func (b *Board) TakeOutputs() []output.Output {
	taken := b.outputs
	b.outputs = nil
	return taken
}

// IsReady reports whether the entry can serve callers.
func (b *Board) IsReady() bool { return !b.Plan.IsZero() && b.HasList && !b.Stopping }

// HasComeBack reports whether the caller was refused before: it has less time
// than its route gives.
func (r *Request) HasComeBack() bool {
	return float64(r.EndsAt-r.CameAt) < freshShare*float64(r.Route.Timeout)
}

// DueAt is until when the first event of the request is on time. The time of one
// that came back began with the caller's first attempt.
func (r *Request) DueAt() clock.Millis {
	if r.HasComeBack() {
		return r.EndsAt - r.Route.Timeout + r.Route.Objective
	}
	return r.CameAt + r.Route.Objective
}

// UntilAt is until when the caller waits for a first event.
func (r *Request) UntilAt() clock.Millis {
	patience := max(leastPatience, objectivePatience*r.Route.Objective)
	if stream, is := r.Route.Repeat.(plan.Stream); is {
		patience = max(patience, gapPatience*stream.GapObjective)
	}
	return min(r.CameAt+patience, r.EndsAt)
}

// QueuedPrompt returns what other entries are told of a prompt that waits.
func (r *Request) QueuedPrompt() input.QueuedPrompt {
	return input.QueuedPrompt{
		Service: r.Service, Number: r.Request.Number, PromptTokens: r.Request.PromptTokens,
		DueAt: r.DueAt(), WaitsUntil: r.UntilAt(),
	}
}

// EndsSoon reports whether the request has less than the span left.
func (b *Board) EndsSoon(request *Request, span clock.Millis) bool {
	return request.EndsAt-b.Now < span
}

// RetryAfter is when it is worth asking again after a refusal for want of room.
func (b *Board) RetryAfter(request *Request) clock.Millis {
	return max((request.EndsAt-b.Now)/retryParts, minRetryAfter)
}

// Start takes the first input of a life.
func (b *Board) Start(started input.Started) {
	const stream = 0x666c6f77
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

// IsSilent reports whether entries of the failure domain are known and none of
// them was heard for the span.
func (b *Board) IsSilent(domain ident.Domain, span clock.Millis) bool {
	isKnown := false
	for _, member := range b.Roster(domain) {
		if member.Peer == nil || member.Peer.News.Leaving {
			continue
		}
		isKnown = true
		if b.Now-member.Peer.LastSeenAt <= span {
			return false
		}
	}
	return isKnown
}
