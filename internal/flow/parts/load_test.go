package parts

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/cost"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/output"
	"mustardhook/internal/flow/pool"
	"mustardhook/internal/flow/tally"
)

// remoteLoads returns the load of the given number of short prompts at each endpoint.
func remoteLoads(count int, endpoints ...ident.Endpoint) tally.Loads {
	var load pool.Load
	for range count {
		load = load.Add(cost.LoadOfWork(testEngine(), pool.Work{PromptTokens: 5000, MemoryTokens: 6600, Shards: 1}, 10*clock.Second))
	}
	loads := tally.Loads{}
	for _, name := range endpoints {
		loads[pool.HashOf(name)] = load
	}
	return loads
}

// Guards against a long prompt that is prefilled by a single engine and delays the short
// answers there: it must be split into shards for several helpers, without leases.
func TestLongPromptIsSharded(t *testing.T) {
	e := newTestEntry(t).configure(16)
	_, got := e.request("/long/1", 154000, 15000)
	send := requireSend(t, got)
	require.GreaterOrEqual(t, len(send.Helpers), 8)
	require.Empty(t, send.Helpers[0].Lease)
}

// In a surge, short prompts must be packed on few engines and avoid those that prefill a
// long prompt.
func TestShortPromptsAvoidEnginesOfLongPrompts(t *testing.T) {
	e := newTestEntry(t).configure(16)
	_, got := e.request("/long/1", 154000, 15000)
	long := requireSend(t, got)
	isPrefilling := map[ident.Endpoint]bool{long.Endpoint: true}
	for _, helper := range long.Helpers {
		isPrefilling[helper.Endpoint] = true
	}
	used := map[ident.Endpoint]bool{}
	for range 10 {
		_, got := e.request("/short/1", 5000, 10000)
		send := requireSend(t, got)
		used[send.Endpoint] = true
		require.False(t, isPrefilling[send.Endpoint], "short prompt sent to an engine with a shard of a long one")
	}
	require.LessOrEqual(t, len(used), 3)
}

// Guards against a panic of the core when a long prompt can use a single engine, as in a
// small service whose other engines drain: the engine is in the short size class, and the
// prompt had no candidates.
func TestLongPromptWithSingleEngineIsSent(t *testing.T) {
	e := newTestEntry(t).configure(1)
	var got output.Output
	require.NotPanics(t, func() { _, got = e.request("/long/1", 154000, 15000) })
	send := requireSend(t, got)
	require.Empty(t, send.Helpers)
}

// Guards against two entries that send long prompts at the same time: a prompt must wait
// while another entry has one in its queue that is due earlier.
func TestPromptWaitsForEarlierPromptElsewhere(t *testing.T) {
	e := newTestEntry(t).configure(16)
	earlier := input.QueuedPrompt{
		Service: engines, Number: 1, PromptTokens: 100000, DueAt: e.board.Now + 500, WaitsUntil: e.board.Now + 9000,
	}
	e.receiveNews("entry-2", func(n *input.News) { n.QueuedPrompts = []input.QueuedPrompt{earlier} })
	number, got := e.request("/long/1", 154000, 15000)
	require.Nil(t, got)
	e.outputs = nil
	e.receiveNews("entry-2", nil)
	requireSend(t, e.outputFor(number, e.outputs))
}

// Guards against lost news: if the entry with the earlier prompt no longer sends news, a
// prompt with a free engine must not wait forever.
func TestPromptDoesNotWaitForUnresponsiveEntry(t *testing.T) {
	e := newTestEntry(t).configure(16)
	earlier := input.QueuedPrompt{Service: engines, Number: 1, PromptTokens: 100000, DueAt: e.board.Now + 500, WaitsUntil: e.board.Now + 9000}
	e.receiveNews("entry-2", func(n *input.News) { n.QueuedPrompts = []input.QueuedPrompt{earlier} })
	number, got := e.request("/long/1", 154000, 15000)
	require.Nil(t, got)
	e.outputs = nil
	e.advance(1000)
	requireSend(t, e.outputFor(number, e.outputs))
}

// Guards against shards that pile up at the engines: a second long prompt must wait until
// the engines have little left to prefill of the first one.
func TestSecondLongPromptWaitsForTheFirst(t *testing.T) {
	e := newTestEntry(t).configure(16)
	first, got := e.request("/long/1", 250000, 15000)
	requireSend(t, got)
	second, got := e.request("/long/2", 250000, 15000)
	require.Nil(t, got)
	e.outputs = nil
	e.step(input.FirstEventSent{Number: first})
	e.advance(50)
	requireSend(t, e.outputFor(second, e.outputs))
}

// Under sustained overload of long prompts, a prompt that can't be served before its
// deadline must be refused at once, with a Retry-After of at most 5 s.
func TestInfeasibleLongPromptIsRefusedAtOnce(t *testing.T) {
	e := newTestEntry(t).configure(4)
	var refused *call.Reply
	for range 40 {
		_, got := e.request("/long/1", 250000, 15000)
		if reply, isReply := got.(output.Reply); isReply {
			refused = &reply.Reply
		}
	}
	require.NotNil(t, refused)
	require.Equal(t, http.StatusServiceUnavailable, refused.Status)
	require.Positive(t, refused.RetryAfter)
	require.LessOrEqual(t, refused.RetryAfter, clock.Millis(5000))
}

// When all slots are in use, a new short prompt must be refused at once. A retried one,
// which has less time left, must be accepted.
func TestShortPromptWithoutSlotIsRefusedOnce(t *testing.T) {
	e := newTestEntry(t).configure(4)
	e.receiveLoads(remoteLoads(16, "engine-00", "engine-01", "engine-02", "engine-03"))
	_, got := e.request("/short/1", 5000, 10000)
	requireReply(t, got, call.ReasonOverload, http.StatusServiceUnavailable)
	_, got = e.request("/short/1", 5000, 6500)
	requireSend(t, got)
}

// A prompt that exceeds the memory of one engine must be divided: helpers reserve memory
// with leases, and the lead and the leases together must hold the whole prompt and its
// answer.
func TestOversizedPromptDividesItsMemory(t *testing.T) {
	e := newTestEntry(t).configure(16)
	number, got := e.request("/long/1", 540000, 15000)
	send := requireSend(t, got)
	leased := 0
	for _, helper := range send.Helpers {
		leased += helper.LeaseTokens
		require.Equal(t, helper.LeaseTokens > 0, helper.Lease != "")
		require.LessOrEqual(t, helper.LeaseTokens, testEngine().MemoryTokens)
	}
	require.LessOrEqual(t, 540000+1600-leased, testEngine().MemoryTokens)
	e.step(input.FirstEventSent{Number: number})
	inUse := 0
	for _, endpoint := range e.board.Pool.ByService(engines) {
		inUse += endpoint.MemoryTokens()
	}
	require.Equal(t, 540000+1600, inUse)
	e.endSend(call.Result{Number: number, End: call.EndComplete, Status: 200, Delivered: true})
	for _, endpoint := range e.board.Pool.ByService(engines) {
		require.Empty(t, endpoint.Work)
	}
}

// If the memory for a lease was not free, the reservation must be retried after a pause.
func TestOversizedPromptRetriesReservation(t *testing.T) {
	e := newTestEntry(t).configure(16)
	number, got := e.request("/long/1", 540000, 15000)
	requireSend(t, got)
	require.Nil(t, e.endSend(call.Result{Number: number, End: call.EndNotRun, LeaseRefused: true}))
	e.outputs = nil
	e.advance(300)
	requireSend(t, e.outputFor(number, e.outputs))
}

// A broken stream must be resumed even if all slots are in use, since its caller already
// has a part of the answer.
func TestBrokenStreamIsResumedWithoutFreeSlots(t *testing.T) {
	e := newTestEntry(t).configure(4)
	number, got := e.request("/short/1", 5000, 10000)
	requireSend(t, got)
	e.step(input.FirstEventSent{Number: number})
	e.receiveLoads(remoteLoads(16, "engine-00", "engine-01", "engine-02", "engine-03"))
	requireSend(t, e.endSend(call.Result{Number: number, End: call.EndAnswerLost, Delivered: true}))
}

// Guards against endpoints that fail only some of their requests: no single entry sees
// enough failures to eject such an endpoint, but several entries together do. Failures that
// only one entry reports are not enough, and if most endpoints fail, most must stay usable.
func TestEndpointFailingSeveralEntriesIsEjected(t *testing.T) {
	e := newTestEntry(t).configure(6)
	reportFailures := func(entry ident.Entry, failed map[pool.Hash]int) {
		e.receiveNews(entry, func(n *input.News) { n.FailureCounts = failed })
	}
	hash := pool.HashOf("engine-00")
	reportFailures("entry-2", map[pool.Hash]int{hash: 5})
	e.advance(100)
	require.True(t, e.board.Pool.Find("engine-00").IsUsable(e.board.Now), "the links of one entry may be the cause")
	reportFailures("entry-3", map[pool.Hash]int{hash: 1})
	e.advance(100)
	require.False(t, e.board.Pool.Find("engine-00").IsUsable(e.board.Now))
	reportFailures("entry-2", nil)
	reportFailures("entry-3", nil)
	e.advance(pool.InitialEjection)
	require.True(t, e.board.Pool.Find("engine-00").IsUsable(e.board.Now))

	mostFailing := map[pool.Hash]int{}
	for i := range 6 {
		mostFailing[pool.HashOf(ident.Endpoint(fmt.Sprintf("engine-%02d", i)))] = 4
	}
	reportFailures("entry-2", mostFailing)
	reportFailures("entry-3", mostFailing)
	e.advance(100)
	usable := 0
	for _, endpoint := range e.board.Pool.ByService(engines) {
		if endpoint.IsUsable(e.board.Now) {
			usable++
		}
	}
	require.GreaterOrEqual(t, usable, 4, "if most endpoints fail, the cause is elsewhere")
}

// Guards against ejecting an endpoint twice for one short fault: entries keep publishing
// the failures for FailureWindow after it.
func TestOneFaultEjectsAnEndpointOnce(t *testing.T) {
	e := newTestEntry(t).configure(6)
	hash := pool.HashOf("engine-00")
	reportFailures := func(failed map[pool.Hash]int) {
		for _, entry := range []ident.Entry{"entry-2", "entry-3"} {
			e.receiveNews(entry, func(n *input.News) { n.FailureCounts = failed })
		}
	}
	const step = 250 * clock.Millis(1)
	for elapsed := clock.Millis(0); elapsed < pool.FailureWindow; elapsed += step {
		reportFailures(map[pool.Hash]int{hash: 2})
		e.advance(step)
	}
	reportFailures(nil)
	e.advance(2 * step)
	require.True(t, e.board.Pool.Find("engine-00").IsUsable(e.board.Now))
}

// When an unreachable failure domain can be reached again, its endpoints must be usable at
// once, whatever failures were reported while it was unreachable.
func TestFailuresOfUnreachableDomainDoNotOutlastIt(t *testing.T) {
	e := newTestEntry(t).configure(6)
	e.board.Pool.MarkUnreachable("south", e.board.Now)
	for _, entry := range []ident.Entry{"entry-2", "entry-3"} {
		e.receiveNews(entry, func(n *input.News) {
			n.Domain = "north"
			n.FailureCounts = map[pool.Hash]int{pool.HashOf("engine-01"): 4}
		})
	}
	e.advance(100)
	e.board.Pool.MarkReachable("south")
	require.True(t, e.board.Pool.Find("engine-01").IsUsable(e.board.Now))
}

// Guards against overloading an idle engine among busy ones: all entries see that it is
// idle before they receive each other's loads, and must not all choose it.
func TestIdleEngineIsNotOverloaded(t *testing.T) {
	const entries = 40
	atIdle := 0
	for seed := range uint64(entries) {
		e := newTestEntry(t).configureModels(1, 200)
		e.board.Start(input.Started{Self: "entry-1", Epoch: 1, Domain: "north", Address: "10.0.0.1:9000", Seed: seed})
		e.addRemoteLoad()
		busy := tally.Loads{}
		idle := e.board.Pool.ByService("model-00")[0]
		for _, endpoint := range e.board.Pool.ByService("model-00")[1:] {
			busy[endpoint.Hash()] = pool.Load{Leads: 4, ShortPrompts: 4, Decoding: 4, ContextTokens: 26400, MemoryTokens: 26400, MinGap: 250}
		}
		e.receiveLoads(busy)
		_, got := e.request("/model-00/1", 5000, 10000)
		if requireSend(t, got).Endpoint == idle.Name {
			atIdle++
		}
	}
	require.LessOrEqual(t, atIdle, entries/4)
}

// Guards against a prompt that waits without a trace: the log must say what it waits for, once for
// each cause.
func TestCauseOfWaitingIsLogged(t *testing.T) {
	e := newTestEntry(t).configure(16)
	_, got := e.request("/long/1", 250000, 15000)
	requireSend(t, got)
	number, _ := e.request("/long/2", 250000, 15000)
	e.advance(400)
	var causes []any
	for _, out := range e.outputs {
		if line, isLog := out.(output.Log); isLog && line.Text == "Request waits." {
			causes = append(causes, line.Pairs[3])
		}
	}
	require.Equal(t, []any{call.WaitEngines}, causes)
	require.Equal(t, call.WaitEngines, e.board.Requests[number].Wait)
}
