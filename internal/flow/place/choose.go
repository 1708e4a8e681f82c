package place

import (
	"math"
	"slices"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/plan"
	"mustardhook/internal/flow/pool"
)

const (
	// SilenceFactor is how many times its expected length a silence may last
	// before the endpoint is taken to be dead.
	SilenceFactor = 4
	// LeastSilence is shorter than the 2 s after which callers give up, and longer
	// than the passes of an engine that reads a long prompt.
	LeastSilence = 1200 * clock.Millis(1)
	// FullWait is when it is worth asking again while all endpoints are full.
	FullWait = 500 * clock.Millis(1)

	// busyJitter keeps entries that decide at one instant apart, and foreignLoad is
	// what the way to another failure domain counts, both as a part of an endpoint.
	busyJitter  = 0.1
	foreignLoad = 0.1
)

type (
	// choice is where a request goes: no lead means that it waits, or with
	// retryAfter that it is refused.
	choice struct {
		lead    *pool.Endpoint
		helpers []*pool.Endpoint
		// leases holds the memory that helpers keep, by endpoint.
		leases     map[*pool.Endpoint]int
		urgency    int
		first      clock.Millis
		isFull     bool
		reason     call.Reason
		retryAfter clock.Millis
	}
)

// silences returns how long an endpoint may be silent before its first event, and
// between two before its entry looks for signs that it is dead.
func silences(found choice, stream plan.Stream) (first, next clock.Millis) {
	return max(LeastSilence, SilenceFactor*found.first), max(LeastSilence, SilenceFactor*stream.GapObjective)
}

// usable returns the endpoints that may get the request, those that it was not
// sent to before if there are any.
func usable(b *board.Board, request *board.Request) []*pool.Endpoint {
	all := b.Pool.ByService(request.Service)
	fresh := make([]*pool.Endpoint, 0, len(all))
	var tried []*pool.Endpoint
	for _, endpoint := range all {
		switch {
		case !endpoint.IsUsable(b.Now), b.Pool.IsUnreachable(endpoint.Domain, b.Now):
		case slices.Contains(request.Tried, endpoint.Name):
			tried = append(tried, endpoint)
		default:
			fresh = append(fresh, endpoint)
		}
	}
	if len(fresh) == 0 {
		fresh = tried
	}
	request.Usable = len(fresh)
	return fresh
}

// chooseService takes the endpoint with the least work for its slots.
func chooseService(b *board.Board, request *board.Request) choice {
	best := choice{reason: call.ReasonNoEndpoint, retryAfter: FullWait}
	least := math.Inf(1)
	for _, endpoint := range usable(b, request) {
		load := float64(endpoint.Leads())/float64(max(endpoint.Slots, 1)) + b.Random.Float64()*busyJitter
		if endpoint.Domain != b.Domain {
			load += foreignLoad
		}
		if load < least {
			least = load
			best = choice{lead: endpoint}
		}
	}
	return best
}
