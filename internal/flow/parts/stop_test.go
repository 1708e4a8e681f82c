package parts

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/output"
)

const gracePeriod = 8 * clock.Second

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
	e.step(input.SettingsRead{Settings: input.Settings{RetryRatio: 0.2, RetrySlack: 200, RetryWindow: retryWindow, GracePeriod: gracePeriod}})
	_, number := e.occupy()
	e.step(input.StopRequested{})
	e.advance(gracePeriod - 100)
	reply := e.replyTo(number)
	require.Equal(t, call.ReasonStopping, reply.Reason)
	require.Equal(t, http.StatusServiceUnavailable, reply.Status)
	require.Positive(t, reply.RetryAfter)
}
