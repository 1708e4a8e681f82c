package parts

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/plan"
	"mustardhook/internal/flow/pool"
	"mustardhook/internal/flow/tally"
)

const (
	// shortAnswers is the number of short answers in progress at other entries, and answersPerEngine how many
	// of them an engine of the short size class has.
	shortAnswers     = 100
	answersPerEngine = 5
)

// newLargeEntry starts an entry before the engines of the large site.
func newLargeEntry(t *testing.T) *testEntry {
	e := newTestEntry(t).configure(largeEngines)
	e.step(input.PlanRead{Plan: largePlan().WithOrganisations(map[string]plan.Organisation{callerKey: {Name: "city"}})})
	e.outputs = nil
	return e
}

// shortLoads returns the load of shortAnswers on the first engines, which are the short size class.
func shortLoads(e *testEntry) tally.Loads {
	loads := tally.Loads{}
	for _, endpoint := range e.board.Pool.ByService(engines)[:shortAnswers/answersPerEngine] {
		loads[endpoint.Hash()] = pool.Load{
			Leads: answersPerEngine, ShortPrompts: answersPerEngine, Decoding: answersPerEngine,
			ContextTokens: 6000 * answersPerEngine, MemoryTokens: 6600 * answersPerEngine, MinGap: 300,
		}
	}
	return loads
}

// receiveDeferredLoads passes loads to the core whose news was deferred for the given time.
func (e *testEntry) receiveDeferredLoads(loads tally.Loads, deferred clock.Millis) {
	e.receiveLoads(loads)
	const hub = ident.Entry("entry-2")
	e.sequences[hub]++
	e.step(input.NewsReceived{Batch: input.Batch{Sender: hub, Aggregates: []tally.Aggregate{
		{Hub: tally.EntryHashOf(hub), Epoch: 1, Sequence: e.sequences[hub], Deferred: deferred},
	}}})
}

// Guards against short answers that spread over the engines of long prompts although their own engines have
// room: an engine with a single answer can't prefill a shard of the longest prompts. The older the
// news of loads was, the more engines they took.
//
// Pattern: few short prompts after a surge of them, when the news of loads is recent and when it is old.
func TestShortAnswersStayWithOthers(t *testing.T) {
	for _, deferred := range []clock.Millis{0, 1000, 2000} {
		t.Run(fmt.Sprint(deferred), func(t *testing.T) {
			e := newLargeEntry(t)
			loads := shortLoads(e)
			e.receiveDeferredLoads(loads, deferred)
			opened := map[ident.Endpoint]bool{}
			for range 20 {
				_, got := e.request("/short/1", 5000, 10000)
				send := requireSend(t, got)
				if _, hasAnswers := loads[pool.HashOf(send.Endpoint)]; !hasAnswers {
					opened[send.Endpoint] = true
				}
			}
			// The class grows with these prompts by an engine or two.
			require.LessOrEqual(t, len(opened), 2)
		})
	}
}

// Guards against prompts that wait in a full size class while other engines are free.
func TestShortPromptsLeaveAFullClass(t *testing.T) {
	e := newLargeEntry(t)
	loads := shortLoads(e)
	for hash, load := range loads {
		load.Leads, load.Decoding = largeEngine().Slots, largeEngine().Slots
		load.ShortPrompts = 0
		loads[hash] = load
	}
	e.receiveLoads(loads)
	for range 10 {
		_, got := e.request("/short/1", 5000, 10000)
		require.NotContains(t, loads, pool.HashOf(requireSend(t, got).Endpoint))
	}
}

// Guards against answers of long prompts that stand one by one on many engines: each of these makes whole
// passes for its answer and prefills less. An answer must join others unless its shard would pause them
// beyond their objective.
//
// Pattern: a prompt of several shards while three engines decode.
func TestLongAnswersShareEngines(t *testing.T) {
	for _, test := range []struct {
		name      string
		gap       clock.Millis
		mustShare bool
	}{{"pause is short enough", 800, true}, {"pause would be too long", 160, false}} {
		t.Run(test.name, func(t *testing.T) {
			for range 10 {
				e := newLargeEntry(t)
				loads := tally.Loads{}
				for _, endpoint := range e.board.Pool.ByService(engines)[60:63] {
					loads[endpoint.Hash()] = pool.Load{Leads: 1, Decoding: 1, ContextTokens: 50000, MemoryTokens: 52000, MinGap: test.gap}
				}
				e.receiveLoads(loads)
				_, got := e.request("/medium/1", 45000, 10000)
				_, isShared := loads[pool.HashOf(requireSend(t, got).Endpoint)]
				require.Equal(t, test.mustShare, isShared)
			}
		})
	}
}
