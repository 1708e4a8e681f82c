// Package board holds the blackboard: the complete in-memory state of an entry. Only
// controllers read and write it, and they handle one event at a time.
package board

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"

	"mustardhook/internal/claim/rules"
	"mustardhook/internal/claim/views"
	"mustardhook/internal/core/action"
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/event"
	"mustardhook/internal/core/fleet"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/core/insts"
	"mustardhook/internal/core/msgs"
)

const (
	// PauseLimit is the longest gap between two events after which an entry still
	// trusts the state it had before the gap.
	PauseLimit = 2 * clock.Second
	// CatchUpTimeout limits how long an entry that has started or was paused waits for
	// a message from a peer before it places prompts.
	CatchUpTimeout = 1 * clock.Second
	// outageFailures is the number of consecutive failed reads from which the platform
	// counts as unavailable.
	outageFailures = 2
)

type (
	// Board is the complete state of an entry.
	Board struct {
		// Now is the time of the current event and LastStep that of the previous one.
		Now      clock.Millis
		LastStep clock.Millis
		Self     ident.Incarnation
		Domain   ident.Domain
		Address  string
		Settings event.Settings
		// Seeds are the addresses of entries to contact while no peer is known.
		Seeds []string
		// Random is seeded by event.Started, so that a recorded session can be replayed.
		Random *rand.Rand

		State fleet.State
		Index Index
		// PendingTickets holds tickets that refer to objects not declared yet.
		PendingTickets []fleet.Ticket
		// UnpushedTickets holds tickets accepted since the last push to peers.
		UnpushedTickets []fleet.Ticket
		Platform        Platform

		// List is the platform's list of instances.
		List insts.List
		// ListRead reports whether the platform's instance list was read in this epoch.
		ListRead bool
		// Listed reports whether the platform's instance list contains this entry.
		Listed bool
		// Synced reports whether the state was confirmed since the entry started or was
		// last paused.
		Synced      bool
		StartedAt   clock.Millis
		NextRoundAt clock.Millis
		// Round is the number of the last gossip round, which started at RoundAt. The next
		// one starts at NextRoundAt.
		Round   uint64
		RoundAt clock.Millis
		// ConfirmedAt is the time at which the platform or a peer last confirmed the
		// state.
		ConfirmedAt clock.Millis
		// ResumedAt is the time at which the entry last detected that it had been
		// paused. LastContactAt is the time of the last message from any peer.
		ResumedAt     clock.Millis
		LastContactAt clock.Millis
		Peers         map[ident.Entry]*Peer

		Endpoints map[ident.Endpoint]*EndpointStatus
		Suspects  map[uint64]*Suspect

		Completions   map[ident.Request]*Completion
		Attempts      map[ident.Attempt]*Attempt
		Cancellations map[ident.Attempt]*Cancellation
		Calls         map[ident.Request]*Call

		// Membership holds the current view of witnesses and the claims that this entry
		// stores as a witness.
		Membership *views.Membership
		// ViewsSeen holds the highest known view number of each failure domain.
		ViewsSeen map[ident.Domain]uint64
		// MajorityLostAt is the time at which the entry first found a majority of the
		// view unreachable, or zero.
		MajorityLostAt clock.Millis

		// RetryBudget is the number of retries available; see package retry.
		RetryBudget float64
		Stopping    bool
		StoppingAt  clock.Millis
		Exited      bool

		sequence uint64
		actions  []action.Action
	}

	// Platform is the state of the reads from the platform.
	Platform struct {
		// Era and Revision are the point in the platform's history up to which it was read.
		Era      uint64
		Revision uint64
		// IsReadAnew reports whether the platform came back from an older copy and was not read
		// to the end since. ReadAnewAt is the time of the first read after that.
		IsReadAnew bool
		ReadAnewAt clock.Millis
		// Watching reports whether a long poll is in flight.
		Watching bool
		LastRead clock.Millis
		// Failures counts consecutive failed reads.
		Failures int
		// CutPolls counts consecutive long polls that failed while the platform could be read.
		CutPolls int
		RetryAt  clock.Millis
	}

	// Peer is the known state of another entry.
	Peer struct {
		Member msgs.Member
		// FormerEpoch is the epoch of the incarnation that Member replaced, if that was a higher
		// one, or zero.
		FormerEpoch uint64
		// LastSeenAt is the time of the last message from the peer, or of the latest one
		// that another peer reported.
		LastSeenAt clock.Millis
		// ViewSeenAt is the time at which the peer was last known to be in Member.View.
		ViewSeenAt clock.Millis
		// TicketsRequestedAt is the time of the last request for tickets to the peer.
		TicketsRequestedAt clock.Millis
		// Listed reports whether the platform's instance list contains the peer.
		Listed bool
		// DigestReceived reports whether the peer has sent Sum and Synced. They are the
		// hash of its state and whether that state was confirmed.
		DigestReceived bool
		Sum            fleet.Digest
		Synced         bool
		// LaggingSince is the time at which the peer, a member of the current view, was
		// first found not to have installed it, or zero.
		LaggingSince clock.Millis
	}

	// Cancellation is a cancel request that the engine has not confirmed yet.
	Cancellation struct {
		Action action.CancelAttempt
		// FirstAt is the time at which the request was first sent.
		FirstAt clock.Millis
		// NextAt is the time at which the request is repeated.
		NextAt clock.Millis
		Tries  int
	}
)

// New returns an empty board.
func New() *Board {
	return &Board{
		State:         fleet.NewState(),
		Peers:         map[ident.Entry]*Peer{},
		Endpoints:     map[ident.Endpoint]*EndpointStatus{},
		Suspects:      map[uint64]*Suspect{},
		Completions:   map[ident.Request]*Completion{},
		Attempts:      map[ident.Attempt]*Attempt{},
		Cancellations: map[ident.Attempt]*Cancellation{},
		Calls:         map[ident.Request]*Call{},
		Membership:    views.NewMembership(ident.Incarnation{}, rules.Disabled{}),
		ViewsSeen:     map[ident.Domain]uint64{},
	}
}

// IsUnavailable reports whether the platform can't be read. A single failed read doesn't
// show that: the platform may cut a long poll at any time.
func (p Platform) IsUnavailable() bool { return p.Failures >= outageFailures }

// Emit queues an action for the shell.
func (b *Board) Emit(output action.Action) { b.actions = append(b.actions, output) }

// TakeActions returns the actions queued since the last call and clears the queue.
func (b *Board) TakeActions() []action.Action {
	queued := b.actions
	b.actions = nil
	return queued
}

// Audit queues an audit record that carries the highest known ticket number.
func (b *Board) Audit(kind action.AuditKind, object, text string) {
	b.Emit(action.WriteAudit{Kind: kind, Object: object, Number: b.State.Highest(), Text: text})
}

// NextSequence returns a number that is unique within this incarnation.
func (b *Board) NextSequence() uint64 {
	b.sequence++
	return b.sequence
}

// SelfMember returns the description of this entry that it publishes to its peers.
func (b *Board) SelfMember() msgs.Member {
	return msgs.Member{Incarnation: b.Self, Domain: b.Domain, Address: b.Address, Leaving: b.Stopping, View: b.Membership.Number()}
}

// SetState replaces the declared state and rebuilds the index derived from it.
func (b *Board) SetState(state fleet.State) {
	b.State = state
	b.Index = NewIndex(state)
}

// IsCatchingUp reports whether the entry started or was paused less than CatchUpTimeout
// ago and has received no message since. An entry without peers does not wait.
func (b *Board) IsCatchingUp() bool {
	since := max(b.ResumedAt, b.StartedAt)
	return len(b.Peers) > 0 && b.LastContactAt < since && b.Now-since < CatchUpTimeout
}

// IsStopOverdue reports whether the entry was asked to stop so long ago that it no longer
// waits for its requests.
func (b *Board) IsStopOverdue() bool {
	limit := b.Settings.StopTimeout
	return b.Stopping && limit > 0 && b.Now-b.StoppingAt >= limit
}

// IsLeaving reports whether the endpoint is undeclared or is marked as leaving by a
// ticket, by the platform's instance list, by its report or by a peer.
func (b *Board) IsLeaving(name ident.Endpoint) bool {
	endpoint, declared := b.State.Endpoint(name)
	if !declared || endpoint.Phase == fleet.PhaseLeaving {
		return true
	}
	status := b.Endpoints[name]
	return status != nil && (status.ListedLeaving || status.Report.Leaving || status.GossipedLeaving)
}

// EndpointStatus returns the status of the endpoint and creates it if it does not exist.
func (b *Board) EndpointStatus(name ident.Endpoint) *EndpointStatus {
	status := b.Endpoints[name]
	if status == nil {
		status = &EndpointStatus{Prefixes: map[uint64]clock.Millis{}, PendingTokens: map[ident.Attempt]int{}}
		b.Endpoints[name] = status
	}
	return status
}

// Sorted returns the keys of m in ascending order, for deterministic iteration.
func Sorted[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
