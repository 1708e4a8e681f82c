package plan

import (
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
)

// DefaultTimeout is the timeout of a route that has none.
const DefaultTimeout = 60 * clock.Second

// What a route needs.
const (
	NeedHost    Need = "host"
	NeedPrefix  Need = "prefix"
	NeedTimeout Need = "timeout"
)

type (
	// Need is something that a route needs.
	Need string

	// Route maps requests for a host and path prefix to services.
	Route struct {
		Name   string
		Host   string
		Prefix string
		Repeat RepeatPolicy
		// Timeout is the longest time that a request may take.
		Timeout clock.Millis
		// Objective is the target time to the first byte of the answer or, for a stream, to
		// its first event.
		Objective clock.Millis
		// Rank is the priority of requests on the route; 0 is the highest.
		Rank     int
		Services []WeightedService
		// Attempts is the maximum number of endpoints that may run one request.
		Attempts int
		// Anonymous routes need no API key.
		Anonymous bool
	}

	// WeightedService is a service and its weight among the services of a route.
	WeightedService struct {
		Service ident.Service
		Weight  int
	}

	// RepeatPolicy determines whether a request that may have run can run again. It is
	// one of Idempotent, Once and Stream.
	RepeatPolicy interface{ isRepeatPolicy() }

	// Idempotent requests may run any number of times.
	Idempotent struct{}

	// Once requests run at most once for each attempt of the caller.
	Once struct{}

	// Stream requests are answered with a series of events. A resumable stream can
	// continue at another endpoint after the last event that the caller received.
	Stream struct {
		Resumable bool
		// GapObjective is the target for the longest pause between two events.
		GapObjective clock.Millis
	}
)

// Missing returns what the route needs and lacks; empty if there is nothing. A route without a host or a
// prefix would match requests that nobody has assigned to it.
func (r Route) Missing() Need {
	switch {
	case r.Host == "":
		return NeedHost
	case r.Prefix == "":
		return NeedPrefix
	case r.Timeout <= 0:
		return NeedTimeout
	}
	return ""
}

func (Idempotent) isRepeatPolicy() {}
func (Once) isRepeatPolicy()       {}
func (Stream) isRepeatPolicy()     {}

// IsStream reports whether requests on the route are answered with a stream of events.
func (r Route) IsStream() bool {
	_, isStream := r.Repeat.(Stream)
	return isStream
}

// IsRepeatable reports whether a request that may already have run can run again.
func (r Route) IsRepeatable() bool {
	switch policy := r.Repeat.(type) {
	case Idempotent:
		return true
	case Stream:
		return policy.Resumable
	}
	return false
}

// Service returns a service of the route, chosen at random by weight. draw is a uniform
// random number in [0, 1). It returns "" if no service has a weight.
func (r Route) Service(draw float64) ident.Service {
	total := 0
	for _, candidate := range r.Services {
		total += max(candidate.Weight, 0)
	}
	remaining := draw * float64(total)
	var last ident.Service
	for _, candidate := range r.Services {
		if candidate.Weight <= 0 {
			continue
		}
		remaining -= float64(candidate.Weight)
		if remaining < 0 {
			return candidate.Service
		}
		last = candidate.Service
	}
	return last
}
