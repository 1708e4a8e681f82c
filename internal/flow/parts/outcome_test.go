package parts

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/output"
	"mustardhook/internal/flow/point"
)

// schedules is the number of random schedules of faults that TestOutcomesAreTrue plays.
const schedules = 1500

type (
	// trackedRequest is what callers and endpoints know of a request.
	trackedRequest struct {
		path string
		// mayRepeat reports whether the request may run more than once.
		mayRepeat bool
		attempts  int
		// sends counts the sends that may have run.
		sends int
		// isSent is set while a send is in progress, and endpoint is where. wasMoved is set
		// if the core ended that send for silence.
		isSent   bool
		wasMoved bool
		endpoint ident.Endpoint
		// hasEvent is set once the caller has received a part of an answer.
		hasEvent bool
		hasEnded bool
	}

	// outcomeRun plays one random schedule against the core of one entry.
	outcomeRun struct {
		*testEntry
		random   *rand.Rand
		requests map[uint64]*trackedRequest
		seed     uint64
	}
)

// isPromise reports whether the status guarantees that the request has not run.
func isPromise(status int) bool {
	return slices.Contains([]int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, status)
}

// ask passes a request of a random route to the core.
func (r *outcomeRun) ask() {
	kinds := []struct {
		path      string
		tokens    int
		mayRepeat bool
		attempts  int
	}{
		{"/book/1", 0, false, 1}, {"/read/1", 0, true, 2}, {"/short/1", 5000, true, 2}, {"/fixed/1", 5000, false, 2},
		{"/long/1", 154000, true, 2}, {"/long/2", 540000, true, 2},
	}
	kind := kinds[r.random.IntN(len(kinds))]
	r.requests[r.lastNumber+1] = &trackedRequest{path: kind.path, mayRepeat: kind.mayRepeat, attempts: kind.attempts}
	r.request(kind.path, kind.tokens, 15000)
}

// end ends the send of a request in a random way.
func (r *outcomeRun) end(number uint64, tracked *trackedRequest) {
	result := call.Result{Number: number, Delivered: tracked.hasEvent, End: call.EndAnswerLost}
	switch choice := r.random.IntN(8); {
	case tracked.wasMoved, tracked.hasEvent && choice < 4, choice == 0:
	case tracked.hasEvent || choice < 3:
		result.End = call.EndComplete
		result.Status = []int{http.StatusOK, http.StatusInternalServerError, http.StatusGatewayTimeout}[r.random.IntN(3)]
		if tracked.hasEvent {
			result.Status = http.StatusOK
		}
	case choice == 3:
		result.End = call.EndTimeout
	case choice == 4 && tracked.path == "/long/2":
		result.End = call.EndNotRun
		result.LeaseRefused = true
	default:
		result.End = call.EndNotRun
		result.Moved = choice == 5
		result.Unreachable = choice == 6
		result.Refused = choice == 7
	}
	tracked.isSent = false
	tracked.wasMoved = false
	if result.End != call.EndNotRun {
		tracked.sends++
	}
	r.step(input.SendEnded{Result: result})
}

// check compares the outputs of the core with what callers and endpoints know.
func (r *outcomeRun) check() {
	for _, out := range r.outputs {
		where := fmt.Sprintf("seed %d, %T %+v", r.seed, out, out)
		switch out := out.(type) {
		case output.Send:
			tracked := r.requests[out.Send.Number]
			require.False(r.t, tracked.isSent || tracked.hasEnded, where)
			require.True(r.t, tracked.sends == 0 || tracked.mayRepeat, "sent again though it may have run: %s", where)
			require.Less(r.t, tracked.sends, tracked.attempts, "too many runs: %s", where)
			tracked.isSent = true
			tracked.endpoint = out.Send.Endpoint
		case output.MoveSend:
			tracked := r.requests[out.Number]
			require.True(r.t, tracked.isSent && tracked.mayRepeat, "running work given up: %s", where)
			tracked.wasMoved = true
		case output.Reply:
			tracked := r.requests[out.Reply.Number]
			require.False(r.t, tracked.isSent || tracked.hasEnded || tracked.hasEvent, where)
			require.False(r.t, tracked.sends > 0 && isPromise(out.Reply.Status), "reported as not run: %s", where)
			tracked.hasEnded = true
		case output.Deliver:
			tracked := r.requests[out.Number]
			require.False(r.t, tracked.isSent || tracked.hasEnded, where)
			tracked.hasEnded = true
		case output.Abort:
			tracked := r.requests[out.Number]
			require.True(r.t, tracked.hasEvent && !tracked.isSent && !tracked.hasEnded, where)
			tracked.hasEnded = true
		}
	}
	r.outputs = nil
}

// advanceRandomly ends a send, reports an event or a silence, asks a request, lets an endpoint
// leave or come back, or lets time pass.
func (r *outcomeRun) advanceRandomly(revision uint64) {
	var sent []uint64
	for number := uint64(1); number <= r.lastNumber; number++ {
		if r.requests[number].isSent {
			sent = append(sent, number)
		}
	}
	switch choice := r.random.IntN(10); {
	case choice < 3 || len(sent) == 0:
		r.ask()
	case choice == 3:
		number := sent[r.random.IntN(len(sent))]
		if tracked := r.requests[number]; tracked.path[1] != 'b' && tracked.path[1] != 'r' {
			tracked.hasEvent = true
			r.step(input.FirstEventSent{Number: number})
		}
	case choice == 4:
		r.step(input.EndpointSilent{Number: sent[r.random.IntN(len(sent))]})
	case choice == 5:
		r.step(input.EndpointRemoved{Name: r.requests[sent[r.random.IntN(len(sent))]].endpoint, At: point.Point{Revision: revision}})
	case choice == 6:
		r.advance(300)
	default:
		number := sent[r.random.IntN(len(sent))]
		r.end(number, r.requests[number])
	}
	r.check()
}

// Guards against work that ran and runs again, a caller that is told that its request has not run
// though it may have, running work that is given up although it must not be repeated, and work
// that stays booked at an endpoint: for random schedules of lost answers, refusals, silence,
// timeouts, endpoints that leave and a stop.
func TestOutcomesAreTrue(t *testing.T) {
	t.Parallel()
	for seed := range uint64(schedules) {
		r := &outcomeRun{testEntry: newTestEntry(t).configure(8), random: rand.New(rand.NewPCG(seed, 1)), requests: map[uint64]*trackedRequest{}, seed: seed}
		r.outputs = nil
		for step := range uint64(40) {
			if step == 30 && seed%3 == 0 {
				r.step(input.StopRequested{})
			}
			r.advanceRandomly(100 + step)
		}
		for range 200 {
			for number := uint64(1); number <= r.lastNumber; number++ {
				if tracked := r.requests[number]; tracked.isSent {
					r.end(number, tracked)
					r.check()
				}
			}
			r.advance(100)
			r.check()
		}
		for number, tracked := range r.requests {
			require.True(t, tracked.hasEnded, "seed %d: request %d to %s has no outcome", seed, number, tracked.path)
		}
		for _, endpoint := range slices.Concat(r.board.Pool.ByService(engines), r.board.Pool.ByService(desk)) {
			require.Empty(t, endpoint.Work, "seed %d: work stays at %s", seed, endpoint.Name)
		}
	}
}
