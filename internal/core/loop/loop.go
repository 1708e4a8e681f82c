// Package loop implements the decision core. It passes each event to the controllers in
// priority order and returns the actions that they emit.
package loop

import (
	"math/rand/v2"

	"mustardhook/internal/claim/rules"
	"mustardhook/internal/claim/views"
	"mustardhook/internal/core/action"
	"mustardhook/internal/core/board"
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/cycle"
	"mustardhook/internal/core/event"
)

type (
	// Controller makes the decisions of one area and emits actions on the board.
	Controller = cycle.Controller[*board.Board, event.Event]

	// Registration assigns a priority to a controller. Controllers with lower numbers
	// run first.
	Registration = cycle.Registration[*board.Board, event.Event]

	// Core is the decision core of one entry.
	Core interface {
		// Step handles one event at the time now and returns the emitted actions.
		Step(now clock.Millis, input event.Event) []action.Action
		// Board returns the state of the entry. Callers must not modify it.
		Board() *board.Board
	}

	// Option configures a core.
	Option func(*core)

	core struct {
		board       *board.Board
		controllers cycle.Cycle[*board.Board, event.Event]
	}
)

// WithControllers registers controllers.
func WithControllers(registrations ...Registration) Option {
	return func(c *core) { c.controllers = cycle.New(append(c.controllers, registrations...)...) }
}

// NewCore returns a core with an empty board.
func NewCore(options ...Option) Core {
	c := &core{board: board.New()}
	for _, option := range options {
		option(c)
	}
	return c
}

// Step implements Core. Time on the board never goes backwards, even if now does.
func (c *core) Step(now clock.Millis, input event.Event) []action.Action {
	if started, ok := input.(event.Started); ok {
		c.start(now, started)
	}
	c.board.Now = max(now, c.board.Now)
	c.controllers.Step(c.board, input)
	c.board.LastStep = c.board.Now
	return c.board.TakeActions()
}

// Board implements Core.
func (c *core) Board() *board.Board { return c.board }

// start initialises the board of a new epoch.
func (c *core) start(now clock.Millis, started event.Started) {
	const stream = 0x6d757374 // second half of the PCG seed
	c.board.Now = now
	c.board.LastStep = now
	c.board.StartedAt = now
	c.board.Self = started.Self
	c.board.Membership = views.NewMembership(started.Self, rules.Disabled{})
	c.board.Domain = started.Domain
	c.board.Address = started.Address
	c.board.Settings = started.Settings
	c.board.Seeds = started.Seeds
	c.board.Random = rand.New(rand.NewPCG(started.Seed, stream))
}
