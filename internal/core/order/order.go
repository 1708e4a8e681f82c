// Package order implements the controller that orders engines to load models and to
// change their role. An order depends only on the declared state, so two entries that
// order concurrently send the same order.
package order

import (
	"slices"

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
	// MaxConfirmationAge is the maximum age of the last confirmation of the state for
	// an entry that sends orders.
	MaxConfirmationAge = 5 * clock.Second
	// RankDelay is the delay between consecutive entries in the rank order. An entry
	// sends an order only if the engine still differs after the entries ranked before it
	// had time to order it.
	RankDelay = 4 * clock.Second
	// RepeatInterval is the time between two orders to an engine that still differs.
	RepeatInterval = 2 * clock.Second
	// MaxConcurrentLoads limits how many engines of a failure domain load models at the
	// same time. This respects the bandwidth of the store of model weights and keeps
	// some replicas serving.
	MaxConcurrentLoads = 2
)

type (
	controller struct{}
)

// NewController returns a controller for orders to engines.
func NewController() loop.Controller { return controller{} }

// Step compares the engines' reports with the declared state and sends orders to those
// that differ.
func (controller) Step(b *board.Board, input event.Event) {
	switch input := input.(type) {
	case event.Ticked:
		reconcile(b)
	case event.OrderEnded:
		handleOrderEnded(b, input)
	}
}

// Desired returns the order that brings the engine to the declared state.
func Desired(b *board.Board, endpoint fleet.Endpoint) action.Order {
	return action.Order{Fence: b.State.Highest(), Role: endpoint.Role, Models: b.Index.EngineModels[endpoint.Name]}
}

// Matches reports whether the engine has loaded exactly the models of the order.
func Matches(report event.Report, order action.Order) bool {
	if len(report.Models) != len(order.Models) {
		return false
	}
	for _, model := range order.Models {
		isLoaded := slices.ContainsFunc(report.Models, func(loaded event.Loaded) bool {
			return loaded.Model == model.Name && loaded.Version == model.Version &&
				slices.Equal(loaded.Adapters, model.Adapters)
		})
		if !isLoaded {
			return false
		}
	}
	return true
}

// MayOrder reports whether this entry may send orders: orders are enabled, the entry is
// not stopping and its state was confirmed recently.
func MayOrder(b *board.Board) bool {
	return b.Settings.OrdersEnabled && b.Synced && !b.Stopping && b.Now-b.ConfirmedAt <= MaxConfirmationAge
}

// reconcile sends an order to each engine whose report differs from the declared state,
// within MaxConcurrentLoads.
func reconcile(b *board.Board) {
	if !MayOrder(b) {
		return
	}
	loading := map[ident.Domain]int{}
	for _, endpoint := range b.Index.Engines {
		status := b.EndpointStatus(endpoint.Name)
		if status.ReadAt == 0 || status.Failures > 0 {
			continue
		}
		order := Desired(b, endpoint)
		if Matches(status.Report, order) {
			status.LastOrder.DiffersSince = 0
			continue
		}
		if status.LastOrder.DiffersSince == 0 {
			status.LastOrder.DiffersSince = b.Now
		}
		loading[endpoint.Domain]++
		if loading[endpoint.Domain] <= MaxConcurrentLoads {
			sendIfDue(b, endpoint, status, order)
		}
	}
}

func sendIfDue(b *board.Board, endpoint fleet.Endpoint, status *board.EndpointStatus, order action.Order) {
	delay := RankDelay * clock.Millis(rank(b, endpoint))
	isEarly := b.Now-status.LastOrder.DiffersSince < delay
	isRepeat := status.LastOrder.SentAt > 0 && b.Now-status.LastOrder.SentAt < RepeatInterval
	if isEarly || isRepeat {
		return
	}
	status.LastOrder.SentAt = b.Now
	b.Audit(action.AuditOrder, string(endpoint.Name), "Order sent.")
	b.Emit(action.SendOrder{Endpoint: endpoint.Name, Address: endpoint.Address, Order: order})
}

// rank returns the position of this entry among those that may order the engine. The
// live entries of the engine's failure domain come first.
func rank(b *board.Board, endpoint fleet.Endpoint) int {
	var localEntries []ident.Entry
	for _, peer := range roster.LiveIn(b, endpoint.Domain) {
		localEntries = append(localEntries, peer.Member.Incarnation.Entry)
	}
	if b.Domain == endpoint.Domain {
		localEntries = append(localEntries, b.Self.Entry)
		return slices.Index(ident.Rank(string(endpoint.Name), localEntries), b.Self.Entry)
	}
	entries := []ident.Entry{b.Self.Entry}
	for _, peer := range roster.Live(b) {
		entries = append(entries, peer.Member.Incarnation.Entry)
	}
	return len(localEntries) + slices.Index(ident.Rank(string(endpoint.Name), entries), b.Self.Entry)
}

func handleOrderEnded(b *board.Board, orderEnded event.OrderEnded) {
	if orderEnded.Taken {
		return
	}
	b.Audit(action.AuditOrder, string(orderEnded.Endpoint), "Order refused by the engine.")
}
