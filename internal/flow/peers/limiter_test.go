package peers

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/clock"
)

// A burst passes at once, and the average rate is kept.
func TestRateLimiterKeepsAverageRate(t *testing.T) {
	limiter := rateLimiter{rate: 1000, burst: 2 * clock.Second}
	now := clock.Millis(50_000)
	charged := 0
	for range 4 {
		require.False(t, limiter.isExhausted(now))
		limiter.charge(600, now)
	}
	require.True(t, limiter.isExhausted(now))
	for end := now + 100*clock.Second; now < end; now += 10 {
		if !limiter.isExhausted(now) {
			limiter.charge(100, now)
			charged += 100
		}
	}
	require.InDelta(t, 100_000, charged, 1000)
}

// A limiter that is charged while it is exhausted still permits data from time to time.
func TestRateLimiterRecoversFromForcedCharges(t *testing.T) {
	limiter := rateLimiter{rate: 1000, burst: 1 * clock.Second}
	permitted := 0
	for now := clock.Millis(0); now < 10*clock.Second; now += 500 {
		if now%(4*clock.Second) < 2*clock.Second {
			limiter.charge(5000, now)
		}
		if !limiter.isExhausted(now) {
			permitted++
		}
	}
	require.Positive(t, permitted)
}
