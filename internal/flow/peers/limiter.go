package peers

import "mustardhook/internal/core/clock"

// maxDeferral bounds how long a rate limiter stays exhausted.
const maxDeferral = 2 * clock.Second

// rateLimiter bounds the rate of published data. It permits a burst; after that, data
// must wait until the rate has caught up.
type rateLimiter struct {
	// rate is in bytes per second, zero for no limit. burst is the time that the rate
	// takes for the permitted burst.
	rate  int
	burst clock.Millis
	// settledAt is when everything charged so far is within the rate.
	settledAt clock.Millis
}

// duration returns the time that the rate takes for the bytes.
func (l *rateLimiter) duration(bytes int) clock.Millis {
	if l.rate == 0 {
		return 0
	}
	return clock.Millis(bytes) * clock.Second / clock.Millis(l.rate)
}

// charge records that the bytes were sent. The debt is bounded by maxDeferral, so that a
// limiter that is charged even while exhausted still permits some data from time to time.
func (l *rateLimiter) charge(bytes int, now clock.Millis) {
	l.settledAt = min(max(l.settledAt, now)+l.duration(bytes), now+l.burst+maxDeferral)
}

// isExhausted reports whether further data must wait.
func (l *rateLimiter) isExhausted(now clock.Millis) bool { return l.settledAt-now > l.burst }
