package parts

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/output"
	"mustardhook/internal/flow/place"
	"mustardhook/internal/flow/pool"
)

// occupy passes a prompt to the core that occupies all engines, and one that waits for
// them because its caller was refused before. It returns the numbers of the requests.
func (e *testEntry) occupy() (sent, queued uint64) {
	sent, got := e.request("/long/1", 540000, 15000)
	requireSend(e.t, got)
	queued, got = e.request("/long/2", 540000, 11000)
	require.Nil(e.t, got)
	return sent, queued
}

// replyTo returns the reply to the request among all outputs so far.
func (e *testEntry) replyTo(number uint64) call.Reply {
	e.t.Helper()
	out := e.outputFor(number, e.outputs)
	require.IsType(e.t, output.Reply{}, out)
	return out.(output.Reply).Reply
}

// Guards against a prompt that is still queued when the grace period ends, so that its
// caller gets neither an answer nor a refusal.
func TestQueuedPromptIsRefusedBeforeStopEnds(t *testing.T) {
	e := newTestEntry(t).configure(16)
	_, number := e.occupy()
	e.step(input.StopRequested{})
	e.advance(gracePeriod - 100)
	reply := e.replyTo(number)
	require.Equal(t, call.ReasonStopping, reply.Reason)
	require.Equal(t, http.StatusServiceUnavailable, reply.Status)
	require.Positive(t, reply.RetryAfter)
}

// cancelledSends returns the numbers of the requests whose sends the core has cancelled.
func (e *testEntry) cancelledSends() map[uint64]bool {
	cancelled := map[uint64]bool{}
	for _, out := range e.outputs {
		if out, isCancel := out.(output.CancelSend); isCancel {
			cancelled[out.Number] = true
		}
	}
	return cancelled
}

// Guards against a request at an endpoint whose connection is closed without an answer when
// the grace period ends. It may have run, so its caller must not be told that it has not.
func TestSentRequestFailsWhenStopEnds(t *testing.T) {
	for _, path := range []string{"/long/1", "/fixed/1", "/book/1", "/read/1"} {
		t.Run(path, func(t *testing.T) {
			e := newTestEntry(t).configure(4)
			e.step(input.StopRequested{})
			number, got := e.request(path, 5000, 15000)
			requireSend(t, got)
			e.board.Requests[number].DeadlineAt += gracePeriod
			e.advance(gracePeriod - place.ExitReserve - 100)
			require.Empty(t, e.cancelledSends())
			e.advance(100)
			require.True(t, e.cancelledSends()[number])
			got = e.endSend(call.Result{Number: number, End: call.EndCancelled})
			requireReply(t, got, call.ReasonStopping, http.StatusBadGateway)
			require.Empty(t, e.board.Requests)
		})
	}
}

// A stream that was begun ends in such a way that its caller notices the truncation.
func TestOpenStreamIsAbortedWhenStopEnds(t *testing.T) {
	e := newTestEntry(t).configure(4)
	number, got := e.request("/long/1", 5000, 15000)
	requireSend(t, got)
	e.step(input.FirstEventSent{Number: number})
	e.step(input.StopRequested{})
	e.advance(gracePeriod)
	require.True(t, e.cancelledSends()[number])
	require.IsType(t, output.Abort{}, e.endSend(call.Result{Number: number, End: call.EndCancelled, Delivered: true}))
}

// A send that was cancelled before the endpoint got the request is a refusal, also if it was
// waiting for a lease, and it is not sent again.
func TestReservationIsRefusedWhenStopEnds(t *testing.T) {
	for _, isLeaseRefused := range []bool{false, true} {
		e := newTestEntry(t).configure(16)
		number, got := e.request("/long/1", 540000, 15000)
		requireSend(t, got)
		e.step(input.StopRequested{})
		e.advance(gracePeriod)
		e.outputs = nil
		e.endSend(call.Result{Number: number, End: call.EndNotRun, LeaseRefused: isLeaseRefused})
		requireReply(t, e.outputFor(number, e.outputs), call.ReasonStopping, http.StatusServiceUnavailable)
	}
}

// A reload during the stop must not move its end, which the platform has set already.
func TestReloadDoesNotMoveStopEnd(t *testing.T) {
	e := newTestEntry(t).configure(4)
	e.step(input.StopRequested{})
	endsAt := e.board.StopEndsAt
	settings := e.board.Settings
	settings.GracePeriod *= 4
	e.step(input.SettingsRead{Settings: settings})
	require.Equal(t, endsAt, e.board.StopEndsAt)
}

// Guards against requests that come late in the grace period, are passed on, and are cut off at its end
// though their service always takes longer than was left: also such that may not be repeated.
func TestRequestThatCannotFinishIsRefusedDuringStop(t *testing.T) {
	const reserve = place.ExitReserve
	for _, c := range []struct {
		name string
		// took is what the service took for its answers before the stop; zero if there were none.
		took, left, deadline clock.Millis
		isSent               bool
	}{
		{"slow service, too late", 2500, 2400, 3500, false},
		{"slow service, in time", 2500, 2700, 3500, true},
		{"quick service, late", 15, 100, 3500, true},
		{"no answers yet, the caller waits for longer", 0, 2400, 3500, false},
		{"no answers yet, the caller gives up before", 0, 2400, 2000, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newTestEntry(t).configure(4)
			if c.took > 0 {
				number, got := e.request("/order/1", 0, 4000)
				requireSend(t, got)
				e.board.Now += c.took
				e.endSend(completeResult(number))
			}
			e.step(input.StopRequested{})
			e.board.StoppingAt = e.board.Now + gracePeriod
			e.board.Now += gracePeriod - reserve - c.left
			_, got := e.request("/order/2", 0, c.deadline)
			if c.isSent {
				requireSend(t, got)
				return
			}
			reply := requireReply(t, got, call.ReasonStopping, http.StatusServiceUnavailable)
			require.Positive(t, reply.RetryAfter)
		})
	}
}

// Guards against a service that is refused for long because one of its answers was slow.
func TestSlowAnswerIsForgotten(t *testing.T) {
	e := newTestEntry(t).configure(4)
	number, _ := e.request("/order/1", 0, 4000)
	e.board.Now += 2500
	e.endSend(completeResult(number))
	for range 3 {
		e.board.Now += pool.DurationWindow
		number, _ = e.request("/order/2", 0, 4000)
		e.board.Now += 20
		e.endSend(completeResult(number))
	}
	longest, isKnown := e.board.Pool.LongestDuration(desk)
	require.True(t, isKnown)
	require.Equal(t, clock.Millis(20), longest)
}
