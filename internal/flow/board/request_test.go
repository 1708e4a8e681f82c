package board

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/plan"
)

// newTestRequest returns a request that arrives at 100 s with the given part of the timeout of its
// route left.
func newTestRequest(share float64) *Request {
	const arrivedAt = 100 * clock.Second
	route := plan.Route{Timeout: 10 * clock.Second, Objective: 1500, Repeat: plan.Stream{GapObjective: 800}}
	return &Request{
		RoutedRequest: call.RoutedRequest{Route: route}, ArrivedAt: arrivedAt,
		DeadlineAt: arrivedAt + clock.Millis(share*float64(route.Timeout)),
	}
}

// Guards against first attempts that count as late when they arrive, because their callers wait for
// less time than the timeout of the route.
func TestFirstAttemptWithLessTimeIsNoRetry(t *testing.T) {
	for _, share := range []float64{1, 0.95, 0.85, 0.8} {
		request := newTestRequest(share)
		require.False(t, request.IsCallerRetry(), "%v of the timeout", share)
		require.Equal(t, request.ArrivedAt+request.Route.Objective, request.DueAt(), "%v of the timeout", share)
	}
}

// A caller that was refused and waited for RetryAfter is due by the time of its first attempt.
func TestRetryIsDueByItsFirstAttempt(t *testing.T) {
	for _, share := range []float64{1, 0.85} {
		first := newTestRequest(share)
		b := New()
		b.Now = first.ArrivedAt
		retry := newTestRequest(share)
		retry.ArrivedAt = b.Now + b.RetryAfter(first) + 10
		require.True(t, retry.IsCallerRetry())
		require.InDelta(t, float64(first.DueAt()), float64(retry.DueAt()), 50, "%v of the timeout", share)
	}
}
