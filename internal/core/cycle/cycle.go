// Package cycle steps a blackboard: it hands each event to controllers in the
// order of their priority numbers.
package cycle

import "slices"

type (
	// Controller decides on one matter. Step may read and write the board; it does
	// no I/O, starts no goroutine and reads no clock.
	Controller[B, E any] interface {
		Step(b B, happened E)
	}

	// Registration gives a controller its place; lower numbers run first.
	Registration[B, E any] struct {
		Priority   int
		Controller Controller[B, E]
	}

	// Cycle is a list of controllers in order.
	Cycle[B, E any] []Registration[B, E]
)

// New returns the registered controllers in order of their priorities.
func New[B, E any](registrations ...Registration[B, E]) Cycle[B, E] {
	ordered := slices.Clone(registrations)
	slices.SortStableFunc(ordered, func(a, b Registration[B, E]) int { return a.Priority - b.Priority })
	return ordered
}

// Step hands one event to all controllers.
func (c Cycle[B, E]) Step(b B, happened E) {
	for _, registration := range c {
		registration.Controller.Step(b, happened)
	}
}
