package peers

import "mustardhook/internal/core/clock"

// mostWithheld bounds how long a meter stays spent.
const mostWithheld = 2 * clock.Second

// meter bounds the rate of what is told. It lets a burst through, and what is charged
// beyond that must wait.
type meter struct {
	// rate is in bytes a second, zero for no bound; burst is the time that the rate takes
	// for a burst.
	rate  int
	burst clock.Millis
	// paidAt is when all that was charged is within the rate.
	paidAt clock.Millis
}

// spanOf is the time that the rate takes for the bytes.
func (m *meter) spanOf(bytes int) clock.Millis {
	if m.rate == 0 {
		return 0
	}
	return clock.Millis(bytes) * clock.Second / clock.Millis(m.rate)
}

// charge counts what is told. The debt is bounded, so that a meter that is charged all
// the time, too, lets something through now and then.
func (m *meter) charge(bytes int, now clock.Millis) {
	m.paidAt = min(max(m.paidAt, now)+m.spanOf(bytes), now+m.burst+mostWithheld)
}

// isSpent reports whether what comes next must wait.
func (m *meter) isSpent(now clock.Millis) bool { return m.paidAt-now > m.burst }
