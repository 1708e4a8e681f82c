package plan

import (
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
)

type (
	// Route says where requests of a host and path prefix go and how.
	Route struct {
		Name   string
		Host   string
		Prefix string
		Repeat RepeatPolicy
		// Timeout is the longest time a caller is kept waiting.
		Timeout clock.Millis
		// Objective is the time to the first byte that callers expect.
		Objective clock.Millis
		// Rank orders requests; 0 is the highest.
		Rank     int
		Services []WeightedService
		// Attempts is the most endpoints that one request may run on.
		Attempts  int
		Anonymous bool
	}

	// WeightedService is the part of a route's requests that a service gets.
	WeightedService struct {
		Service ident.Service
		Weight  int
	}

	// RepeatPolicy says how a request of a route may be repeated: one of Idempotent,
	// Once and Stream.
	RepeatPolicy interface{ isRepeat() }

	// Idempotent requests may run any number of times.
	Idempotent struct{}

	// Once requests run at most one time for each attempt of the caller.
	Once struct{}

	// Stream requests are answered with a series of events. A resumable one may
	// go on at another endpoint after the last event that the caller has.
	Stream struct {
		Resumable bool
		// GapObjective is the longest pause between events that callers expect.
		GapObjective clock.Millis
	}
)

func (Idempotent) isRepeat() {}
func (Once) isRepeat()       {}
func (Stream) isRepeat()     {}

// IsStream reports whether the answer is a series of events.
func (r Route) IsStream() bool {
	_, is := r.Repeat.(Stream)
	return is
}

// MayRepeat reports whether a request that may have run can run again.
func (r Route) MayRepeat() bool {
	switch repeat := r.Repeat.(type) {
	case Idempotent:
		return true
	case Stream:
		return repeat.Resumable
	}
	return false
}

// Service picks the service of a request by the shares; draw is uniform from 0
// up to, but not including, 1.
func (r Route) Service(draw float64) ident.Service {
	total := 0
	for _, share := range r.Services {
		total += share.Weight
	}
	rest := draw * float64(total)
	for _, share := range r.Services {
		rest -= float64(share.Weight)
		if rest < 0 {
			return share.Service
		}
	}
	if len(r.Services) == 0 {
		return ""
	}
	return r.Services[len(r.Services)-1].Service
}
