package budget

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/clock"
)

// Guards against counts that stay for good, and allow retries, after the settings make the window longer.
func TestCountsEndWithTheirWindow(t *testing.T) {
	short := Limits{Ratio: 1, Window: 1 * clock.Second, Entries: 1}
	long := short
	long.Window = 20 * clock.Second
	b := New()
	now := 100 * clock.Second
	for range 1000 {
		b.CountRequest("app", short, now)
	}
	require.True(t, b.HasRetry("app", short, now))
	require.False(t, b.HasRetry("app", long, now+2*long.Window))
	b.CountRequest("app", long, now)
	require.False(t, b.HasRetry("app", long, now+2*long.Window))
}
