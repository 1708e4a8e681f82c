package parts

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/output"
	"mustardhook/internal/flow/pool"
)

// paceRequests returns how often the entry has requested the pace of each endpoint.
func (e *testEntry) paceRequests() map[ident.Endpoint]int {
	counts := map[ident.Endpoint]int{}
	for _, out := range e.outputs {
		if out, isRequest := out.(output.RequestPace); isRequest {
			counts[out.Endpoint]++
		}
	}
	return counts
}

// Guards against sending more prompts to an engine that has become slow: if the first
// event is late, the entry must request the engine's pace and then prefer other engines.
func TestSlowEngineGetsFewPrompts(t *testing.T) {
	e := newTestEntry(t).configure(8)
	_, got := e.request("/short/1", 5000, 10000)
	slow := requireSend(t, got).Endpoint
	e.advance(100)
	require.Empty(t, e.paceRequests(), "pace requested before the answer was late")
	e.advance(200)
	require.Equal(t, map[ident.Endpoint]int{slow: 1}, e.paceRequests())

	e.step(input.PaceReported{Endpoint: slow, Factor: 4})
	for range 12 {
		_, got := e.request("/short/1", 5000, 10000)
		require.NotEqual(t, slow, requireSend(t, got).Endpoint)
	}
	_, got = e.request("/long/1", 154000, 15000)
	long := requireSend(t, got)
	require.NotEqual(t, slow, long.Endpoint)
	for _, helper := range long.Helpers {
		require.NotEqual(t, slow, helper.Endpoint)
	}
}

// The pace of a slow engine must be requested until it has recovered, at most once per
// MinReportInterval.
func TestSlowEngineIsPolledUntilItRecovers(t *testing.T) {
	e := newTestEntry(t).configure(8)
	e.step(input.PaceReported{Endpoint: "engine-03", Factor: 3})
	require.InDelta(t, 3, e.board.Pool.Find("engine-03").Pace(e.board.Now), 0.01)
	reports := 0
	for range 200 {
		e.advance(50)
		if e.paceRequests()["engine-03"] > reports {
			reports++
			e.step(input.PaceReported{Endpoint: "engine-03", Factor: 3})
		}
		require.InDelta(t, 3, e.board.Pool.Find("engine-03").Pace(e.board.Now), 0.01)
	}
	require.GreaterOrEqual(t, reports, 5)
	require.LessOrEqual(t, reports, int(10*clock.Second/pool.MinReportInterval))
	e.step(input.PaceReported{Endpoint: "engine-03", Factor: 1})
	e.outputs = nil
	e.advance(5000)
	require.Empty(t, e.paceRequests())
	require.InDelta(t, 1, e.board.Pool.Find("engine-03").Pace(e.board.Now), 0.01)
}

// The pace that one entry has received from an engine must reach all entries, without a
// request of their own, and expire after PaceTTL.
func TestPaceReachesOtherEntries(t *testing.T) {
	f := newFleet(t, 12)
	f.advance(4 * clock.Second)
	reporter := f.entries[7]
	f.carryOut(reporter, reporter.step(input.PaceReported{Endpoint: "engine-02", Factor: 2.5}))
	f.advance(150)
	for _, entry := range f.entries {
		require.InDelta(t, 2.5, entry.board.Pool.Find("engine-02").Pace(f.now), 0.01, entry.board.Self)
	}
	f.advance(pool.PaceTTL)
	for _, entry := range f.entries {
		require.InDelta(t, 1, entry.board.Pool.Find("engine-02").Pace(f.now), 0.01, "reported pace did not expire")
		if entry != reporter {
			require.Empty(t, entry.paceRequests(), "another entry requested the pace too")
		}
	}
}

// If all engines are equally slow, the pace distinguishes none of them and all must be
// used.
func TestAllEnginesSlowAreAllUsed(t *testing.T) {
	e := newTestEntry(t).configure(4)
	for _, name := range []ident.Endpoint{"engine-00", "engine-01", "engine-02", "engine-03"} {
		e.step(input.PaceReported{Endpoint: name, Factor: 2})
	}
	_, got := e.request("/long/1", 154000, 15000)
	require.NotEmpty(t, requireSend(t, got).Helpers)
	_, got = e.request("/short/1", 5000, 10000)
	requireSend(t, got)
}
