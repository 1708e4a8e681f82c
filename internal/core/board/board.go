// Package board holds the blackboard: the whole memory of an entry. Controllers
// read and write it, one event at a time; nothing else changes it.
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
	"mustardhook/internal/core/msgs"
)

const (
	// PauseLimit is the longest gap between two events after which an entry
	// still trusts what it knew before the gap.
	PauseLimit = 2 * clock.Second
	// CatchUpSpan is how long an entry that is new or was paused waits to hear what
	// it missed before it places work.
	CatchUpSpan = 1 * clock.Second
)

type (
	// Board is the memory of an entry.
	Board struct {
		Now      clock.Millis
		LastStep clock.Millis
		Self     ident.Incarnation
		Domain   ident.Domain
		Address  string
		Settings event.Settings
		Seeds    []string
		Random   *rand.Rand

		State fleet.State
		Index Index
		// PendingTickets are tickets that name what is not declared yet.
		PendingTickets []fleet.Ticket
		// UnpushedTickets are tickets put in force since the last push to peers.
		UnpushedTickets []fleet.Ticket
		Platform        Platform

		// ListRead says that the platform's list was read in this life.
		ListRead bool
		// Listed says that the platform's list names this entry.
		Listed      bool
		Synced      bool
		StartedAt   clock.Millis
		NextRoundAt clock.Millis
		// Round is the number of the last round of gossip, and RoundAt its instant.
		Round   uint64
		RoundAt clock.Millis
		// ConfirmedAt is when the state was last confirmed by the platform or a peer.
		ConfirmedAt clock.Millis
		// ResumedAt is when the entry last found that it had been paused, and HeardAt
		// when it last heard of another entry.
		ResumedAt     clock.Millis
		LastContactAt clock.Millis
		Peers         map[ident.Entry]*Peer

		Endpoints map[ident.Endpoint]*Load
		Suspects  map[uint64]*Suspect

		Completions   map[ident.Request]*Completion
		Attempts      map[ident.Attempt]*Attempt
		Cancellations map[ident.Attempt]*Cancel
		Calls         map[ident.Request]*Call

		// Keeper holds the view of witnesses and this entry's memory as one.
		Keeper *views.Keeper
		// ViewsSeen holds the highest view number of each failure domain.
		ViewsSeen map[ident.Domain]uint64
		// MajorityLostAt is when a majority of the view was first seen to be gone.
		MajorityLostAt clock.Millis

		RetryBudget float64
		Stopping    bool
		StoppingAt  clock.Millis
		Exited      bool

		sequence uint64
		actions  []action.Action
	}

	// Platform is what the entry knows of its reads of the platform.
	Platform struct {
		Revision uint64
		Watching bool
		LastRead clock.Millis
		Failures int
		RetryAt  clock.Millis
	}

	// Peer is another entry.
	Peer struct {
		Member     msgs.Member
		LastSeenAt clock.Millis
		// ViewSeenAt is when the peer was last known to be in its Member.View.
		ViewSeenAt clock.Millis
		// TicketsRequestedAt is when the peer was last asked for tickets.
		TicketsRequestedAt clock.Millis
		// Listed says that the platform lists the entry.
		Listed bool
		// DigestReceived says that Sum and Synced are the peer's own word.
		DigestReceived bool
		Sum            fleet.Digest
		Synced         bool
		// LaggingSince is when the peer was first seen to lack the view it is in.
		LaggingSince clock.Millis
	}

	// Cancel is a cancel that the engine has not confirmed yet.
	Cancel struct {
		Action action.CancelAttempt
		NextAt clock.Millis
		Tries  int
	}
)

// New returns an empty board.
func New() *Board {
	return &Board{
		State:         fleet.NewState(),
		Peers:         map[ident.Entry]*Peer{},
		Endpoints:     map[ident.Endpoint]*Load{},
		Suspects:      map[uint64]*Suspect{},
		Completions:   map[ident.Request]*Completion{},
		Attempts:      map[ident.Attempt]*Attempt{},
		Cancellations: map[ident.Attempt]*Cancel{},
		Calls:         map[ident.Request]*Call{},
		Keeper:        views.NewKeeper(ident.Incarnation{}, rules.Waived{}),
		ViewsSeen:     map[ident.Domain]uint64{},
	}
}

// Emit asks the shell for an action.
func (b *Board) Emit(wanted action.Action) { b.actions = append(b.actions, wanted) }

// TakeActions returns the actions asked for since the last call.
func (b *Board) TakeActions() []action.Action {
	taken := b.actions
	b.actions = nil
	return taken
}

// Audit asks for an audit record.
func (b *Board) Audit(kind action.AuditKind, object, text string) {
	b.Emit(action.WriteAudit{Kind: kind, Object: object, Number: b.State.Highest(), Text: text})
}

// NextSequence returns a number that this incarnation has not used before.
func (b *Board) NextSequence() uint64 {
	b.sequence++
	return b.sequence
}

// SelfMember returns what this entry tells others of itself.
func (b *Board) SelfMember() msgs.Member {
	return msgs.Member{Incarnation: b.Self, Domain: b.Domain, Address: b.Address, Leaving: b.Stopping, View: b.Keeper.Number()}
}

// SetState puts a new state in force and rebuilds what is derived from it.
func (b *Board) SetState(state fleet.State) {
	b.State = state
	b.Index = NewIndex(state)
}

// IsCatchingUp reports whether the entry is new or was paused, and has not heard
// since what it missed. Alone, or cut off, it goes on after CatchUpSpan.
func (b *Board) IsCatchingUp() bool {
	since := max(b.ResumedAt, b.StartedAt)
	return len(b.Peers) > 0 && b.LastContactAt < since && b.Now-since < CatchUpSpan
}

// IsLeaving reports whether the endpoint is leaving by ticket, list or report.
func (b *Board) IsLeaving(name ident.Endpoint) bool {
	endpoint, declared := b.State.Endpoint(name)
	if !declared || endpoint.Phase == fleet.PhaseLeaving {
		return true
	}
	load := b.Endpoints[name]
	return load != nil && (load.ListedLeaving || load.Report.Leaving || load.GossipedLeaving)
}

// EndpointStatus returns the row of the endpoint and makes it when it is missing.
func (b *Board) EndpointStatus(name ident.Endpoint) *Load {
	load := b.Endpoints[name]
	if load == nil {
		load = &Load{Prefixes: map[uint64]clock.Millis{}, Sent: map[ident.Attempt]int{}}
		b.Endpoints[name] = load
	}
	return load
}

// Sorted returns the keys of a map in order, so that walks are repeatable.
func Sorted[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
