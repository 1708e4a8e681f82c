package parts_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/fake/sched"
)

// Guards against an engine's report that is taken before a crash, arrives after it and
// counts as evidence that the engine has survived, so that the prompt runs at a third one.
func TestLateReportDoesNotRefuteDeath(t *testing.T) {
	for offset := range 20 {
		sim := newSimulation(6, 6, 0, mutant{})
		for _, eng := range sim.engines {
			eng.simulator = sched.New(sched.Config{Rate: 20000, Memory: 100_000, Step: 20, Batch: 32}, sim.now)
		}
		sim.reportDelay = 100
		sim.run(12*clock.Second + clock.Millis(offset)*50)
		sim.sendPrompt(3, 500, 5, crashFingerprint)
		sim.run(10 * clock.Second)
		deaths := 0
		for _, eng := range sim.engines {
			deaths += eng.deaths
		}
		require.LessOrEqual(t, deaths, 2, "sent %d ms after a second", 50*offset)
	}
}
