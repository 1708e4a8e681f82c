// Package sweep implements the controller that frees abandoned engine memory:
// allocations of attempts that this entry no longer runs, and allocations of entries
// that died, restarted or became unreachable.
package sweep

import (
	"mustardhook/internal/core/action"
	"mustardhook/internal/core/board"
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/event"
	"mustardhook/internal/core/fleet"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/core/loop"
	"mustardhook/internal/peer/roster"
)

const (
	// MinOwnAge is the age that an allocation of this entry without a running attempt
	// must exceed before it is freed.
	MinOwnAge = 2 * clock.Second
	// OwnerTimeout is the time without an update about the owner after which its memory
	// is freed.
	OwnerTimeout = 30 * clock.Second
)

type (
	controller struct{}
)

// NewController returns a controller for abandoned engine memory.
func NewController() loop.Controller { return controller{} }

// Step checks the allocations of each report.
func (controller) Step(b *board.Board, input event.Event) {
	read, ok := input.(event.ReportRead)
	if !ok {
		return
	}
	endpoint, isDeclared := b.State.Endpoint(read.Endpoint)
	if !isDeclared {
		return
	}
	for _, allocation := range read.Report.Allocations {
		if isAbandoned(b, endpoint, allocation, read.Report.Age) {
			b.Audit(action.AuditAllocated, string(endpoint.Name), "Freeing "+allocation.Name+".")
			b.Emit(action.FreeAllocation{Endpoint: endpoint.Name, Address: endpoint.Address, Name: allocation.Name})
		}
	}
}

// isAbandoned reports whether this entry should free the allocation, which is listed in a
// report of the given age.
func isAbandoned(b *board.Board, endpoint fleet.Endpoint, allocation event.Allocation, age clock.Millis) bool {
	owner := allocation.Owner
	if owner.Entry == b.Self.Entry {
		_, running := b.Attempts[ident.Attempt(allocation.Name)]
		return !running && allocation.Age > MinOwnAge && allocation.Age > age
	}
	return isOwnerLost(b, owner) && allocation.Age > OwnerTimeout && isResponsible(b, endpoint)
}

// isOwnerLost reports whether the owner restarted or was not seen for OwnerTimeout. It
// returns false until this entry itself has run for that long without a pause.
func isOwnerLost(b *board.Board, owner ident.Incarnation) bool {
	if b.Now-max(b.StartedAt, b.ResumedAt) < OwnerTimeout {
		return false
	}
	peer := b.Peers[owner.Entry]
	if peer == nil {
		return true
	}
	isReplaced := peer.Member.Incarnation.Epoch > owner.Epoch
	return isReplaced || b.Now-peer.LastSeenAt > OwnerTimeout
}

// isResponsible reports whether this entry frees the abandoned memory of the engine.
// One live entry of the engine's failure domain is responsible, or every entry if that
// domain has no live one.
func isResponsible(b *board.Board, endpoint fleet.Endpoint) bool {
	var candidates []ident.Entry
	for _, peer := range roster.LiveIn(b, endpoint.Domain) {
		candidates = append(candidates, peer.Member.Incarnation.Entry)
	}
	if b.Domain == endpoint.Domain {
		candidates = append(candidates, b.Self.Entry)
	}
	if len(candidates) == 0 {
		return true
	}
	return ident.Rank(string(endpoint.Name), candidates)[0] == b.Self.Entry
}
