package board

import (
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/event"
	"mustardhook/internal/core/ident"
)

type (
	// EndpointStatus is the runtime state of an endpoint, as opposed to its declaration.
	EndpointStatus struct {
		// Report is the last report, received at ReadAt.
		Report event.Report
		ReadAt clock.Millis
		// TakenAt is the earliest time that the last report may describe.
		TakenAt clock.Millis
		// RequestedAt is the time of the last report request, which is unanswered while
		// ReadInFlight is true.
		RequestedAt  clock.Millis
		ReadInFlight bool
		// Failures counts consecutive failed reads.
		Failures int
		// ListedLeaving reports whether the platform's instance list marks the endpoint
		// as leaving, and GossipedLeaving whether a peer has reported that it is.
		ListedLeaving   bool
		GossipedLeaving bool
		// Prefixes maps each cached prefix to the time at which the engine last
		// reported it.
		Prefixes map[uint64]clock.Millis
		// MissedEvents is a decaying count of the cache events that were missed.
		MissedEvents uint64
		// PendingTokens holds the number of uncached prompt tokens of each attempt by
		// this entry that has not produced a token yet.
		PendingTokens map[ident.Attempt]int
		LastOrder     OrderState
	}

	// OrderState is the state of the orders that this entry sent to an engine.
	OrderState struct {
		SentAt clock.Millis
		// DiffersSince is the time at which the engine was first found to differ from
		// its order. Zero means that it matches.
		DiffersSince clock.Millis
	}
)
