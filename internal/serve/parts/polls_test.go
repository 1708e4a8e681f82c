package parts_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/claim/voter"
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/order"
)

// pollLives are the times after which a platform cuts long polls.
var pollLives = []clock.Millis{20, 300, 2 * clock.Second, 10 * clock.Second}

// Guards against an entry that sends no orders, or applies tickets late, because a long poll that the
// platform cuts counts as an outage of the platform.
func TestCutPollsStopNoOrders(t *testing.T) {
	for _, life := range pollLives {
		t.Run(fmt.Sprintf("life=%dms", life), func(t *testing.T) {
			sim := newSimulation(1, 1, 1, mutant{})
			sim.pollLife = life
			sim.run(warmUp)
			for second := range 60 {
				if second%15 == 0 {
					sim.publish(`"organisations": [{"name": "crew", "share": 0.4}]`)
				}
				sim.run(clock.Second)
				require.True(t, order.MayOrder(sim.entries[0].core.Board()), "after %d s", second)
			}
			sim.checkInForce(faults[0])
			require.Empty(t, sim.violations)
		})
	}
}

// Guards against a lost majority of witnesses that is never replaced, for the same reason.
func TestCutPollsDelayNoNewView(t *testing.T) {
	for _, life := range pollLives {
		t.Run(fmt.Sprintf("life=%dms", life), func(t *testing.T) {
			sim := newSimulation(6, 1, 1, mutant{})
			sim.pollLife = life
			sim.run(warmUp)
			sim.log = nil
			sim.killEntry(1, 50)
			sim.run(voter.ResetTimeout + 15*clock.Second)
			isGone := func(line string) bool { return strings.Contains(line, "Majority of witnesses is gone") }
			require.True(t, slices.ContainsFunc(sim.log, isGone), "%s", strings.Join(sim.log, "\n"))
		})
	}
}
