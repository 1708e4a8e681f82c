// Package loop steps the deciding core: it hands each event to the controllers
// in the order of their priority numbers and returns the actions they ask for.
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
	// Controller decides on one matter and emits actions on the board.
	Controller = cycle.Controller[*board.Board, event.Event]

	// Registration gives a controller its place; lower numbers run first.
	Registration = cycle.Registration[*board.Board, event.Event]

	// Core is the deciding core of one entry.
	Core interface {
		// Step handles one event at the instant now.
		Step(now clock.Millis, happened event.Event) []action.Action
		// Board returns the memory, for reading only.
		Board() *board.Board
	}

	// Option sets up a core.
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

// Step handles one event.
func (c *core) Step(now clock.Millis, happened event.Event) []action.Action {
	if started, is := happened.(event.Started); is {
		c.start(now, started)
	}
	c.board.Now = max(now, c.board.Now)
	c.controllers.Step(c.board, happened)
	c.board.LastStep = c.board.Now
	return c.board.TakeActions()
}

// Board returns the memory.
func (c *core) Board() *board.Board { return c.board }

func (c *core) start(now clock.Millis, started event.Started) {
	const stream = 0x6d757374
	c.board.Now = now
	c.board.LastStep = now
	c.board.StartedAt = now
	c.board.Self = started.Self
	c.board.Keeper = views.NewKeeper(started.Self, rules.Waived{})
	c.board.Domain = started.Domain
	c.board.Address = started.Address
	c.board.Settings = started.Settings
	c.board.Seeds = started.Seeds
	c.board.Random = rand.New(rand.NewPCG(started.Seed, stream))
}
