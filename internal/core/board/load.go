package board

import (
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/event"
	"mustardhook/internal/core/ident"
)

type (
	// Load is what the entry knows of an endpoint beyond its declaration.
	Load struct {
		Report          event.Report
		ReadAt          clock.Millis
		AskedAt         clock.Millis
		Asking          bool
		Failures        int
		ListedLeaving   bool
		GossipedLeaving bool
		// Prefixes holds when each cached prefix was last known to be there.
		Prefixes map[uint64]clock.Millis
		// Doubt is the count of cache events that were missed.
		Doubt uint64
		// Sent holds the uncached tokens of own attempts without a first token.
		Sent    map[ident.Attempt]int
		Ordered OrderState
	}

	// OrderState is what the entry knows of its orders to an engine.
	OrderState struct {
		SentAt clock.Millis
		// DiffersSince is when the engine was first seen to differ; zero means
		// that it agrees.
		DiffersSince clock.Millis
	}
)
