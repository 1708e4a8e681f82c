// Package cycle runs the controllers of a blackboard. It passes each event to them in
// priority order.
package cycle

import "slices"

type (
	// Controller makes the decisions of one area. Step may read and write the board. It
	// performs no I/O, starts no goroutines and does not read the clock.
	Controller[B, E any] interface {
		Step(b B, input E)
	}

	// Registration assigns a priority to a controller. Controllers with lower numbers
	// run first.
	Registration[B, E any] struct {
		Priority   int
		Controller Controller[B, E]
	}

	// Cycle is a list of controllers in priority order.
	Cycle[B, E any] []Registration[B, E]
)

// New returns the registered controllers sorted by priority.
func New[B, E any](registrations ...Registration[B, E]) Cycle[B, E] {
	ordered := slices.Clone(registrations)
	slices.SortStableFunc(ordered, func(a, b Registration[B, E]) int { return a.Priority - b.Priority })
	return ordered
}

// Step passes one event to every controller.
func (c Cycle[B, E]) Step(b B, input E) {
	for _, registration := range c {
		registration.Controller.Step(b, input)
	}
}
