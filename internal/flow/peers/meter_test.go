package peers

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/clock"
)

// A burst passes at once, and on average the rate holds.
func TestRateLimiterKeepsAverageRate(t *testing.T) {
	m := rateLimiter{rate: 1000, burst: 2 * clock.Second}
	now := clock.Millis(50_000)
	told := 0
	for range 4 {
		require.False(t, m.isExhausted(now))
		m.charge(600, now)
	}
	require.True(t, m.isExhausted(now))
	for end := now + 100*clock.Second; now < end; now += 10 {
		if !m.isExhausted(now) {
			m.charge(100, now)
			told += 100
		}
	}
	require.InDelta(t, 100_000, told, 1000)
}

// A meter that is charged without being asked lets something through now and then.
func TestRateLimiterRecoversFromForcedCharges(t *testing.T) {
	m := rateLimiter{rate: 1000, burst: 1 * clock.Second}
	passed := 0
	for now := clock.Millis(0); now < 10*clock.Second; now += 500 {
		if now%(4*clock.Second) < 2*clock.Second {
			m.charge(5000, now)
		}
		if !m.isExhausted(now) {
			passed++
		}
	}
	require.Positive(t, passed)
}
