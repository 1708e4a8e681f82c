// Package sweep holds the controller that frees engine memory whose owner is
// gone: attempts that this entry no longer runs, and allocations of entries that
// died, restarted or were cut off.
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
	// OwnAfter is how old an own allocation without an attempt must be.
	OwnAfter = 2 * clock.Second
	// SilentAfter is how long an owner must be silent before its memory is freed.
	SilentAfter = 30 * clock.Second
)

type (
	controller struct{}
)

// NewController returns the controller of abandoned engine memory.
func NewController() loop.Controller { return controller{} }

// Step looks through the allocations of each report.
func (controller) Step(b *board.Board, happened event.Event) {
	read, is := happened.(event.ReportRead)
	if !is {
		return
	}
	endpoint, declared := b.State.Endpoint(read.Endpoint)
	if !declared {
		return
	}
	for _, allocation := range read.Report.Allocations {
		if isAbandoned(b, endpoint, allocation, read.Report.Age) {
			b.Audit(action.AuditAllocated, string(endpoint.Name), "Freeing "+allocation.Name+".")
			b.Emit(action.FreeAllocation{Endpoint: endpoint.Name, Address: endpoint.Address, Name: allocation.Name})
		}
	}
}

func isAbandoned(b *board.Board, endpoint fleet.Endpoint, allocation event.Allocation, age clock.Millis) bool {
	owner := allocation.Owner
	if owner.Entry == b.Self.Entry {
		_, running := b.Attempts[ident.Attempt(allocation.Name)]
		return !running && allocation.Age > OwnAfter && allocation.Age > age
	}
	return isGone(b, owner) && allocation.Age > SilentAfter && isSweeper(b, endpoint)
}

func isGone(b *board.Board, owner ident.Incarnation) bool {
	if b.Now-max(b.StartedAt, b.ResumedAt) < SilentAfter {
		return false
	}
	peer := b.Peers[owner.Entry]
	if peer == nil {
		return true
	}
	isReplaced := peer.Member.Incarnation.Epoch > owner.Epoch
	return isReplaced || b.Now-peer.LastSeenAt > SilentAfter
}

// isSweeper reports whether this entry sweeps the engine: one live entry of the
// engine's failure domain, or any entry when none of them is live.
func isSweeper(b *board.Board, endpoint fleet.Endpoint) bool {
	var names []ident.Entry
	for _, peer := range roster.LiveIn(b, endpoint.Domain) {
		names = append(names, peer.Member.Incarnation.Entry)
	}
	if b.Domain == endpoint.Domain {
		names = append(names, b.Self.Entry)
	}
	if len(names) == 0 {
		return true
	}
	return ident.Rank(string(endpoint.Name), names)[0] == b.Self.Entry
}
