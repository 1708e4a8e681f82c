package parts

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/output"
	"mustardhook/internal/flow/point"
	"mustardhook/internal/flow/pool"
)

// pauseAll lets all endpoints of the service desk ask for a pause.
func (e *testEntry) pauseAll(pause clock.Millis) {
	for _, endpoint := range e.board.Pool.ByService(desk) {
		e.step(input.EndpointNoticed{Endpoint: endpoint.Name, Epoch: 1, RetryAfter: pause})
	}
}

// Guards against requests that reach an endpoint after it has announced that it leaves: new ones,
// retries, resumed streams and helpers of long prompts, also if a later list names it as ready.
func TestLeavingEndpointGetsNoFurtherRequests(t *testing.T) {
	e := newTestEntry(t).configure(4)
	number, got := e.request("/short/1", 5000, 10000)
	leaving := requireSend(t, got).Endpoint
	e.step(input.EndpointNoticed{Endpoint: leaving, Epoch: 1, Request: "r1", Leaving: true})
	record := e.board.Pool.Find(leaving).Listing
	e.step(input.EndpointRead{Record: record, At: point.Point{Revision: 20}})
	e.step(input.FirstEventSent{Number: number})
	resumed := requireSend(t, e.endSend(call.Result{Number: number, End: call.EndAnswerLost, Delivered: true}))
	require.NotEqual(t, leaving, resumed.Endpoint)
	for range 20 {
		_, got := e.request("/short/1", 5000, 10000)
		require.NotEqual(t, leaving, requireSend(t, got).Endpoint)
	}
	e.advance(2000)
	_, got = e.request("/long/1", 154000, 15000)
	long := requireSend(t, got)
	require.NotEqual(t, leaving, long.Endpoint)
	for _, helper := range long.Helpers {
		require.NotEqual(t, leaving, helper.Endpoint)
	}
	record.Epoch++
	e.step(input.EndpointRead{Record: record, At: point.Point{Revision: 21}})
	require.True(t, e.board.Pool.Find(leaving).IsUsable(e.board.Now))
	// The late answer of the former run says nothing about the new one.
	e.step(input.EndpointNoticed{Endpoint: leaving, Epoch: 1, Leaving: true, RetryAfter: 1000})
	require.True(t, e.board.Pool.Find(leaving).IsUsable(e.board.Now))
}

// Guards against requests that reach an endpoint during the pause that it asked this entry or another
// one for, and against a pause that counts as a failure.
func TestPausedEndpointGetsNoRequests(t *testing.T) {
	for _, isPeer := range []bool{false, true} {
		e := newTestEntry(t).configure(4)
		paused := e.board.Pool.ByService(desk)[0]
		until := e.board.Now + 3000
		if isPeer {
			e.receiveNews("entry-2", func(n *input.News) { n.Pauses = map[pool.Hash]clock.Millis{paused.Hash(): until} })
		} else {
			e.step(input.EndpointNoticed{Endpoint: paused.Name, Epoch: 1, RetryAfter: 3000})
		}
		for e.board.Now < until {
			number, got := e.request("/read/1", 0, 0)
			require.NotEqual(t, paused.Name, requireSend(t, got).Endpoint)
			e.endSend(completeResult(number))
			e.advance(100)
		}
		require.Empty(t, e.board.Pool.RecentFailures(e.board.Now))
		used := map[ident.Endpoint]bool{}
		for range 20 {
			_, got := e.request("/read/1", 0, 0)
			used[requireSend(t, got).Endpoint] = true
		}
		require.True(t, used[paused.Name])
	}
}

// If all endpoints of a service ask for a pause, callers must be told at once when the first one
// ends, and not return all at the same time.
func TestCallersReturnAfterThePause(t *testing.T) {
	e := newTestEntry(t).configure(4)
	list := e.board.Pool.ByService(desk)
	e.pauseAll(4000)
	e.step(input.EndpointNoticed{Endpoint: list[0].Name, Epoch: 1, RetryAfter: 6000})
	e.step(input.EndpointRemoved{Name: list[1].Name, At: point.Point{Revision: 30}})
	times := map[clock.Millis]bool{}
	for range 20 {
		_, got := e.request("/book/1", 0, 0)
		reply := requireReply(t, got, call.ReasonPaused, 503)
		require.GreaterOrEqual(t, reply.RetryAfter, clock.Millis(4000))
		require.LessOrEqual(t, reply.RetryAfter, clock.Millis(6000))
		times[reply.RetryAfter/100] = true
	}
	require.GreaterOrEqual(t, len(times), 8)
	e.advance(4000)
	_, got := e.request("/book/1", 0, 0)
	require.Equal(t, list[2].Name, requireSend(t, got).Endpoint)
}

// Pattern: a surge in which a third of the endpoints turn requests away. With a pause that they ask
// for, at least as many callers must be served as without one, and they must get few requests.
func TestPausesInASurgeServeCallersAsWell(t *testing.T) {
	served := map[bool]int{}
	turnedAway := map[bool]int{}
	for _, asksForPause := range []bool{false, true} {
		e := newTestEntry(t).configure(12)
		full := map[ident.Endpoint]bool{}
		for _, endpoint := range e.board.Pool.ByService(engines)[:4] {
			full[endpoint.Name] = true
		}
		type answer struct {
			at     clock.Millis
			number uint64
		}
		var due []answer
		for range 400 {
			number, out := e.request("/short/1", 5000, 10000)
			for {
				send, isSend := out.(output.Send)
				if !isSend {
					break
				}
				if !full[send.Send.Endpoint] {
					e.step(input.FirstEventSent{Number: number})
					due = append(due, answer{e.board.Now + 1500, number})
					served[asksForPause]++
					break
				}
				turnedAway[asksForPause]++
				if asksForPause {
					e.step(input.EndpointNoticed{Endpoint: send.Send.Endpoint, Epoch: send.Send.Epoch, RetryAfter: 1000})
				}
				out = e.endSend(call.Result{Number: number, End: call.EndNotRun, Status: 503, Refused: true})
			}
			e.advance(50)
			for len(due) > 0 && due[0].at <= e.board.Now {
				e.endSend(completeResult(due[0].number))
				due = due[1:]
			}
		}
	}
	t.Logf("served %v, turned away %v", served, turnedAway)
	require.GreaterOrEqual(t, float64(served[true]), 0.95*float64(served[false]))
	require.Less(t, turnedAway[true], turnedAway[false])
}
