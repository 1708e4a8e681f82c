package parts

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/output"
	"mustardhook/internal/flow/place"
)

// occupy passes a prompt to the core that occupies all engines, and one that waits for
// them because its caller was refused before. It returns the numbers of the requests.
func (e *testEntry) occupy() (sent, queued uint64) {
	sent, got := e.request("/long/1", 540000, 15000)
	requireSend(e.t, got)
	queued, got = e.request("/long/2", 540000, 12000)
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
