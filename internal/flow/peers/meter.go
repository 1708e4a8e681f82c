package peers

import "mustardhook/internal/core/clock"

// maxDeferral bounds how long a meter stays spent.
const maxDeferral = 2 * clock.Second

// rateLimiter bounds the rate of what is told. It lets a burst through, and what is charged
// beyond that must wait.
type rateLimiter struct {
	// rate is in bytes a second, zero for no bound; burst is the time that the rate takes
	// for a burst.
	rate  int
	burst clock.Millis
	// settledAt is when all that was charged is within the rate.
	settledAt clock.Millis
}

// duration is the time that the rate takes for the bytes.
func (m *rateLimiter) duration(bytes int) clock.Millis {
	if m.rate == 0 {
		return 0
	}
	return clock.Millis(bytes) * clock.Second / clock.Millis(m.rate)
}

// charge counts what is told. The debt is bounded, so that a meter that is charged all
// the time, too, lets something through now and then.
func (m *rateLimiter) charge(bytes int, now clock.Millis) {
	m.settledAt = min(max(m.settledAt, now)+m.duration(bytes), now+m.burst+maxDeferral)
}

// isExhausted reports whether what comes next must wait.
func (m *rateLimiter) isExhausted(now clock.Millis) bool { return m.settledAt-now > m.burst }
