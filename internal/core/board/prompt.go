package board

import (
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/event"
	"mustardhook/internal/core/ident"
)

type (
	// Completion is a prompt in flight.
	Completion struct {
		Input      event.CompletionAsked
		DeadlineAt clock.Millis
		// Current is the running attempt, or empty while the prompt waits for an
		// engine.
		Current ident.Attempt
		// Tokens is the number of tokens delivered to the caller.
		Tokens int
		// Tried lists the engines tried. It is reset once all of them were tried.
		Tried []ident.Endpoint
		// RetryAt is the time of the next attempt to place a waiting prompt.
		RetryAt        clock.Millis
		FirstTokenSent bool
	}

	// Attempt is one attempt to run a prompt at an engine.
	Attempt struct {
		Request  ident.Request
		Endpoint ident.Endpoint
		Address  string
		// Boot identifies the engine process that was running when the attempt started.
		Boot      uint64
		StartedAt clock.Millis
		// UncachedTokens is the predicted number of prompt tokens that are not cached.
		UncachedTokens int
	}
)
