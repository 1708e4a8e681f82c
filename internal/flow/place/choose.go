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
	// EventTimeoutFactor gives the timeouts of a send that can be retried, as multiples
	// of the expected time to the first event and between two events.
	EventTimeoutFactor = 4
	// MinEventTimeout is the lower bound of these timeouts for streams. It is shorter than
	// the 2 s after which callers abandon a stream, and longer than the passes of an
	// engine that prefills a long prompt.
	MinEventTimeout = 1200 * clock.Millis(1)
	// patienceDivisor gives the time after which a silent send of a stream is presumed lost,
	// without signs that its endpoint is dead, as a part of the time that its caller waits. Enough
	// is left for another send.
	patienceDivisor = 3
	// StallMargin is the time after the stall timeout in which an endpoint reports that a
	// helper is unresponsive.
	StallMargin = 300 * clock.Millis(1)
	// FullRetryAfter is the delay after which a caller should retry if all endpoints are
	// at capacity.
	FullRetryAfter = 500 * clock.Millis(1)

	// loadJitter keeps entries that decide at the same time from choosing the same
	// endpoint. remoteDomainLoad accounts for the network path to another failure
	// domain. Both are fractions of the capacity of an endpoint.
	loadJitter       = 0.1
	remoteDomainLoad = 0.1
)

type (
	// choice is the decision on a request. The lead is the endpoint that runs it and, for a
	// sharded prompt, decodes the answer. Without a lead the request waits, or is refused
	// if retryAfter is set.
	choice struct {
		lead    *pool.Endpoint
		helpers []*pool.Endpoint
		// leases holds the memory to reserve at helpers, in tokens.
		leases  map[*pool.Endpoint]int
		urgency int
		// firstEvent is the predicted time to the first event.
		firstEvent clock.Millis
		// isFull reports whether the lead has no free slot or too little memory.
		isFull bool
		// inFlight is the number of requests at all engines of the service.
		inFlight int
		// slots is the number of slots of the short size class at its largest.
		slots      int
		reason     call.Reason
		retryAfter clock.Millis
		// notBefore is when a request that waits for cold endpoints looks for one again.
		notBefore clock.Millis
		// wait is why the request waits. shards is the number of engines that it needs, free
		// the number of those that can start with it now, and own its position in the queue.
		wait   call.Wait
		shards int
		free   int
		own    position
	}
)

// eventTimeouts returns the FirstEventTimeout and the NextEventTimeout of a stream that
// can be retried. An endpoint whose helper is unresponsive names it after the stall timeout,
// and has not run the request then.
func eventTimeouts(decision choice, stream plan.Stream, stall clock.Millis) (first, next clock.Millis) {
	first = max(MinEventTimeout, EventTimeoutFactor*decision.firstEvent)
	if len(decision.helpers) > 0 {
		first = max(first, decision.firstEvent+stall+StallMargin)
	}
	return first, max(MinEventTimeout, EventTimeoutFactor*stream.GapObjective)
}

// usableEndpoints returns the endpoints that can run the request, and sets request.Usable
// to their number. Endpoints to which the request was sent before are returned only if
// there are no others. The result may use the memory of the buffer.
func usableEndpoints(b *board.Board, request *board.Request, buffer []*pool.Endpoint) []*pool.Endpoint {
	all := b.Pool.ByService(request.Service)
	untried := slices.Grow(buffer[:0], len(all))
	var tried []*pool.Endpoint
	for _, endpoint := range all {
		switch {
		case !endpoint.IsUsable(b.Now), b.Pool.IsUnreachable(endpoint.Domain):
		case slices.Contains(request.Tried, endpoint.Name):
			tried = append(tried, endpoint)
		default:
			untried = append(untried, endpoint)
		}
	}
	if len(untried) == 0 {
		untried = tried
	}
	request.Usable = len(untried)
	return untried
}

// chooseEndpoint chooses an endpoint of a plain service: by price where isPriced, else the one with
// the lowest load per slot, after loadJitter and remoteDomainLoad have been added.
func chooseEndpoint(b *board.Board, request *board.Request) choice {
	endpoints := usableEndpoints(b, request, nil)
	if coldRate := b.Plan.Services[request.Service].ColdRate; coldRate > 0 {
		endpoints = slices.DeleteFunc(endpoints, func(e *pool.Endpoint) bool { return !maySend(b, e, coldRate) })
	}
	estimate := b.Costs.Estimate(request.Subject, b.Now)
	request.Price = board.Price{Cost: estimate.Mean, Deviation: estimate.Deviation, Pace: 1}
	mix := b.Costs.Mix(request.Subject, b.Now)
	request.IsPriced = isPriced(b, request, mix, endpoints)
	if request.IsPriced {
		return choice{lead: choosePriced(b, request, mix, endpoints)}
	}
	var best choice
	least := math.Inf(1)
	for _, endpoint := range endpoints {
		load := float64(endpoint.Leads())/float64(max(endpoint.Slots, 1)) + b.Random.Float64()*loadJitter
		if endpoint.Domain != b.Domain {
			load += remoteDomainLoad
		}
		if load < least {
			least = load
			best = choice{lead: endpoint}
		}
	}
	if best.lead == nil {
		return noEndpoint(b, request, false)
	}
	return best
}
