// Package order holds the controller that orders engines to load models and to
// change role. An order is a function of the state in force alone, so two entries
// that order at once give the same order.
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
	// ConfirmLimit is how old the confirmation of the state may be.
	ConfirmLimit = 5 * clock.Second
	// RankDelay is how long each further entry waits for the one before it.
	RankDelay = 4 * clock.Second
	// RepeatSpan is the time between two orders to an engine that disagrees.
	RepeatSpan = 2 * clock.Second
	// LoadsAtOnce bounds the engines of a failure domain that load at one time,
	// so that the weight store's rate is kept and some copies go on serving.
	LoadsAtOnce = 2
)

type (
	controller struct{}
)

// NewController returns the controller of orders.
func NewController() loop.Controller { return controller{} }

// Step compares reports with the state in force and orders the difference.
func (controller) Step(b *board.Board, happened event.Event) {
	switch happened := happened.(type) {
	case event.Ticked:
		reconcile(b)
	case event.OrderEnded:
		ended(b, happened)
	}
}

// Desired returns the order for the engine by the state in force.
func Desired(b *board.Board, endpoint fleet.Endpoint) action.Order {
	return action.Order{Fence: b.State.Highest(), Role: endpoint.Role, Models: b.Index.EngineModels[endpoint.Name]}
}

// Matches reports whether the engine has loaded what the order wants.
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

// MayOrder reports whether the entry's state is confirmed well enough to order.
func MayOrder(b *board.Board) bool {
	return b.Settings.OrdersEnabled && b.Synced && !b.Stopping && b.Now-b.ConfirmedAt <= ConfirmLimit
}

func reconcile(b *board.Board) {
	if !MayOrder(b) {
		return
	}
	loading := map[ident.Domain]int{}
	for _, endpoint := range b.Index.Engines {
		load := b.EndpointStatus(endpoint.Name)
		if load.ReadAt == 0 || load.Failures > 0 {
			continue
		}
		order := Desired(b, endpoint)
		if Matches(load.Report, order) {
			load.Ordered.DiffersSince = 0
			continue
		}
		if load.Ordered.DiffersSince == 0 {
			load.Ordered.DiffersSince = b.Now
		}
		loading[endpoint.Domain]++
		if loading[endpoint.Domain] <= LoadsAtOnce {
			send(b, endpoint, load, order)
		}
	}
}

func send(b *board.Board, endpoint fleet.Endpoint, load *board.Load, order action.Order) {
	waits := RankDelay * clock.Millis(rank(b, endpoint))
	isEarly := b.Now-load.Ordered.DiffersSince < waits
	isRepeat := load.Ordered.SentAt > 0 && b.Now-load.Ordered.SentAt < RepeatSpan
	if isEarly || isRepeat {
		return
	}
	load.Ordered.SentAt = b.Now
	b.Audit(action.AuditOrder, string(endpoint.Name), "Order sent.")
	b.Emit(action.SendOrder{Endpoint: endpoint.Name, Address: endpoint.Address, Order: order})
}

// rank is this entry's place among the entries that may order the engine: the
// live ones of its failure domain first.
func rank(b *board.Board, endpoint fleet.Endpoint) int {
	var near []ident.Entry
	for _, peer := range roster.LiveIn(b, endpoint.Domain) {
		near = append(near, peer.Member.Incarnation.Entry)
	}
	if b.Domain == endpoint.Domain {
		near = append(near, b.Self.Entry)
		return slices.Index(ident.Rank(string(endpoint.Name), near), b.Self.Entry)
	}
	all := []ident.Entry{b.Self.Entry}
	for _, peer := range roster.Live(b) {
		all = append(all, peer.Member.Incarnation.Entry)
	}
	return len(near) + slices.Index(ident.Rank(string(endpoint.Name), all), b.Self.Entry)
}

func ended(b *board.Board, ended event.OrderEnded) {
	if ended.Taken {
		return
	}
	b.Audit(action.AuditOrder, string(ended.Endpoint), "Order refused by the engine.")
}
