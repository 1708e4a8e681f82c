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

// asked returns the endpoints that were asked for their pace.
func (w *world) asked() map[ident.Endpoint]int {
	found := map[ident.Endpoint]int{}
	for _, wanted := range w.outputs {
		if wanted, is := wanted.(output.RequestPace); is {
			found[wanted.Endpoint]++
		}
	}
	return found
}

// Answers an engine that turns slow in a surge of short prompts: the entry whose
// first event is late asks it for its pace, and others then get the prompts.
func TestSlowEngineGetsFewPrompts(t *testing.T) {
	w := newWorld(t).serve(8)
	_, got := w.ask("/short/1", 5000, 10000)
	slow := requireSend(t, got).Endpoint
	w.pass(100)
	require.Empty(t, w.asked(), "asked before the answer was late")
	w.pass(200)
	require.Equal(t, map[ident.Endpoint]int{slow: 1}, w.asked())

	w.step(input.PaceReported{Endpoint: slow, Factor: 4})
	for range 12 {
		_, got := w.ask("/short/1", 5000, 10000)
		require.NotEqual(t, slow, requireSend(t, got).Endpoint)
	}
	_, got = w.ask("/long/1", 154000, 15000)
	long := requireSend(t, got)
	require.NotEqual(t, slow, long.Endpoint)
	for _, helper := range long.Helpers {
		require.NotEqual(t, slow, helper.Endpoint)
	}
}

// A slow engine is asked again until it has recovered, at a bounded pace.
func TestSlowEngineIsAskedUntilItRecovers(t *testing.T) {
	w := newWorld(t).serve(8)
	w.step(input.PaceReported{Endpoint: "engine-03", Factor: 3})
	require.InDelta(t, 3, w.board.Pool.Find("engine-03").Pace(w.board.Now), 0.01)
	reports := 0
	for range 200 {
		w.pass(50)
		if w.asked()["engine-03"] > reports {
			reports++
			w.step(input.PaceReported{Endpoint: "engine-03", Factor: 3})
		}
		require.InDelta(t, 3, w.board.Pool.Find("engine-03").Pace(w.board.Now), 0.01)
	}
	require.GreaterOrEqual(t, reports, 5)
	require.LessOrEqual(t, reports, int(10*clock.Second/pool.MinReportInterval))
	w.step(input.PaceReported{Endpoint: "engine-03", Factor: 1})
	w.outputs = nil
	w.pass(5000)
	require.Empty(t, w.asked())
	require.InDelta(t, 1, w.board.Pool.Find("engine-03").Pace(w.board.Now), 0.01)
}

// What one entry was told of an engine's pace counts at all, and they need not ask.
func TestPaceIsKnownElsewhere(t *testing.T) {
	f := newFleet(t, 12)
	f.pass(4 * clock.Second)
	teller := f.entries[7]
	f.collect(teller, teller.step(input.PaceReported{Endpoint: "engine-02", Factor: 2.5}))
	f.pass(150)
	for _, entry := range f.entries {
		require.InDelta(t, 2.5, entry.board.Pool.Find("engine-02").Pace(f.now), 0.01, entry.board.Self)
	}
	f.pass(pool.PaceTTL)
	for _, entry := range f.entries {
		require.InDelta(t, 1, entry.board.Pool.Find("engine-02").Pace(f.now), 0.01, "told for ever")
		if entry != teller {
			require.Empty(t, entry.asked(), "another entry asked too")
		}
	}
}

// When all engines are slow the pace tells none apart, and all are used.
func TestAllEnginesSlow(t *testing.T) {
	w := newWorld(t).serve(4)
	for _, name := range []ident.Endpoint{"engine-00", "engine-01", "engine-02", "engine-03"} {
		w.step(input.PaceReported{Endpoint: name, Factor: 2})
	}
	_, got := w.ask("/long/1", 154000, 15000)
	require.NotEmpty(t, requireSend(t, got).Helpers)
	_, got = w.ask("/short/1", 5000, 10000)
	requireSend(t, got)
}
