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

// workOf is short work of other entries at the endpoints.
func workOf(count int, endpoints ...ident.Endpoint) tally.Loads {
	var sum pool.Load
	for range count {
		sum = sum.Add(cost.LoadOfWork(engineOf(), pool.Work{PromptTokens: 5000, MemoryTokens: 6600, Shards: 1}, 10*clock.Second))
	}
	sums := tally.Loads{}
	for _, name := range endpoints {
		sums[pool.HashOf(name)] = sum
	}
	return sums
}

// Answers a surge of long prompts beside short ones: a long prompt is read in
// parts, and the engines that write short answers read none of a long one whole.
func TestLongPromptIsReadInParts(t *testing.T) {
	w := newWorld(t).serve(16)
	_, got := w.ask("/long/1", 154000, 15000)
	send := requireSend(t, got)
	require.GreaterOrEqual(t, len(send.Helpers), 8)
	require.Empty(t, send.Helpers[0].Lease)
}

// Answers a surge of short prompts: they share a lane, apart from the engines that
// read long prompts.
func TestShortPromptsStayInTheirLane(t *testing.T) {
	w := newWorld(t).serve(16)
	_, got := w.ask("/long/1", 154000, 15000)
	long := requireSend(t, got)
	reads := map[ident.Endpoint]bool{long.Endpoint: true}
	for _, helper := range long.Helpers {
		reads[helper.Endpoint] = true
	}
	used := map[ident.Endpoint]bool{}
	for range 10 {
		_, got := w.ask("/short/1", 5000, 10000)
		send := requireSend(t, got)
		used[send.Endpoint] = true
		require.False(t, reads[send.Endpoint], "short prompt among parts of a long one")
	}
	require.LessOrEqual(t, len(used), 3)
}

// Answers two entries that send at once: the prompt that is due first goes first.
func TestPromptWaitsForAnEarlierTurnElsewhere(t *testing.T) {
	w := newWorld(t).serve(16)
	earlier := input.QueuedPrompt{
		Service: engines, Number: 1, PromptTokens: 100000, DueAt: w.board.Now + 500, WaitsUntil: w.board.Now + 9000,
	}
	w.hear("entry-2", func(n *input.News) { n.QueuedPrompts = []input.QueuedPrompt{earlier} })
	number, got := w.ask("/long/1", 154000, 15000)
	require.Nil(t, got)
	w.outputs = nil
	w.hear("entry-2", nil)
	requireSend(t, w.of(number, w.outputs))
}

// Answers news that is lost: a prompt with room does not wait for ever.
func TestPromptDoesNotWaitForASilentEntry(t *testing.T) {
	w := newWorld(t).serve(16)
	earlier := input.QueuedPrompt{Service: engines, Number: 1, PromptTokens: 100000, DueAt: w.board.Now + 500, WaitsUntil: w.board.Now + 9000}
	w.hear("entry-2", func(n *input.News) { n.QueuedPrompts = []input.QueuedPrompt{earlier} })
	number, got := w.ask("/long/1", 154000, 15000)
	require.Nil(t, got)
	w.outputs = nil
	w.pass(1000)
	requireSend(t, w.of(number, w.outputs))
}

// Answers parts that pile up: a second long prompt waits until the engines have
// little left to read of the first.
func TestSecondLongPromptWaitsForTheFirst(t *testing.T) {
	w := newWorld(t).serve(16)
	first, got := w.ask("/long/1", 250000, 15000)
	requireSend(t, got)
	second, got := w.ask("/long/2", 250000, 15000)
	require.Nil(t, got)
	w.outputs = nil
	w.step(input.FirstEventSent{Number: first})
	w.pass(50)
	requireSend(t, w.of(second, w.outputs))
}

// Answers sustained overload of long prompts: what can't be served in its caller's
// time is refused at once, with a time to come back.
func TestLongPromptOutOfReachIsRefusedAtOnce(t *testing.T) {
	w := newWorld(t).serve(4)
	var refused *call.Reply
	for range 40 {
		_, got := w.ask("/long/1", 250000, 15000)
		if reply, is := got.(output.Reply); is {
			refused = &reply.Reply
		}
	}
	require.NotNil(t, refused)
	require.Equal(t, http.StatusServiceUnavailable, refused.Status)
	require.Positive(t, refused.RetryAfter)
	require.LessOrEqual(t, refused.RetryAfter, clock.Millis(5000))
}

// Answers a surge of short prompts beyond all slots: the first to find no room is
// refused at once, one that came back is let in behind the others.
func TestShortPromptWithoutRoomIsRefusedOnce(t *testing.T) {
	w := newWorld(t).serve(4)
	w.hearWork(workOf(16, "engine-00", "engine-01", "engine-02", "engine-03"))
	_, got := w.ask("/short/1", 5000, 10000)
	requireReply(t, got, call.ReasonOverload, http.StatusServiceUnavailable)
	_, got = w.ask("/short/1", 5000, 6500)
	requireSend(t, got)
}

// Answers prompts over one engine's memory: helpers keep a part of it under leases
// that together with the first engine hold all of it.
func TestGiantPromptDividesItsMemory(t *testing.T) {
	w := newWorld(t).serve(16)
	number, got := w.ask("/long/1", 540000, 15000)
	send := requireSend(t, got)
	leased := 0
	for _, helper := range send.Helpers {
		leased += helper.LeaseTokens
		require.Equal(t, helper.LeaseTokens > 0, helper.Lease != "")
		require.LessOrEqual(t, helper.LeaseTokens, engineOf().MemoryTokens)
	}
	require.LessOrEqual(t, 540000+1600-leased, engineOf().MemoryTokens)
	w.step(input.FirstEventSent{Number: number})
	held := 0
	for _, endpoint := range w.board.Pool.ByService(engines) {
		held += endpoint.MemoryTokens()
	}
	require.Equal(t, 540000+1600, held)
	w.end(call.Result{Number: number, End: call.EndComplete, Status: 200, Delivered: true})
	for _, endpoint := range w.board.Pool.ByService(engines) {
		require.Empty(t, endpoint.Work)
	}
}

// Memory that was not free is asked for again after a pause.
func TestGiantPromptAsksAgainForMemory(t *testing.T) {
	w := newWorld(t).serve(16)
	number, got := w.ask("/long/1", 540000, 15000)
	requireSend(t, got)
	require.Nil(t, w.end(call.Result{Number: number, End: call.EndNotRun, LeaseRefused: true}))
	w.outputs = nil
	w.pass(300)
	requireSend(t, w.of(number, w.outputs))
}

// A stream that broke is not refused for want of room: its caller has a part of it.
func TestBrokenStreamIsNotRefusedWithoutRoom(t *testing.T) {
	w := newWorld(t).serve(4)
	number, got := w.ask("/short/1", 5000, 10000)
	requireSend(t, got)
	w.step(input.FirstEventSent{Number: number})
	w.hearWork(workOf(16, "engine-00", "engine-01", "engine-02", "engine-03"))
	requireSend(t, w.end(call.Result{Number: number, End: call.EndAnswerLost, Delivered: true}))
}

// Answers endpoints that fail part of their requests while they serve others: no
// entry sees enough failures by itself, all of them together do.
func TestEndpointThatFailsManyEntriesIsLeftOut(t *testing.T) {
	w := newWorld(t).serve(6)
	tell := func(entry ident.Entry, failed map[pool.Hash]int) {
		w.hear(entry, func(n *input.News) { n.FailureCounts = failed })
	}
	mark := pool.HashOf("engine-00")
	tell("entry-2", map[pool.Hash]int{mark: 5})
	w.pass(100)
	require.True(t, w.board.Pool.Find("engine-00").IsUsable(w.board.Now), "one entry's links may be at fault")
	tell("entry-3", map[pool.Hash]int{mark: 1})
	w.pass(100)
	require.False(t, w.board.Pool.Find("engine-00").IsUsable(w.board.Now))
	tell("entry-2", nil)
	tell("entry-3", nil)
	w.pass(pool.InitialEjection)
	require.True(t, w.board.Pool.Find("engine-00").IsUsable(w.board.Now))

	all := map[pool.Hash]int{}
	for i := range 6 {
		all[pool.HashOf(ident.Endpoint(fmt.Sprintf("engine-%02d", i)))] = 4
	}
	tell("entry-2", all)
	tell("entry-3", all)
	w.pass(100)
	usable := 0
	for _, endpoint := range w.board.Pool.ByService(engines) {
		if endpoint.IsUsable(w.board.Now) {
			usable++
		}
	}
	require.GreaterOrEqual(t, usable, 4, "when most fail, the cause lies elsewhere")
}

// Answers a short fault: entries go on telling of it for FailureSpan, and the
// endpoint must not be taken out a second time for the same failures.
func TestOneFaultTakesAnEndpointOutOnce(t *testing.T) {
	w := newWorld(t).serve(6)
	mark := pool.HashOf("engine-00")
	tell := func(failed map[pool.Hash]int) {
		for _, entry := range []ident.Entry{"entry-2", "entry-3"} {
			w.hear(entry, func(n *input.News) { n.FailureCounts = failed })
		}
	}
	const step = 250 * clock.Millis(1)
	for told := clock.Millis(0); told < pool.FailureWindow; told += step {
		tell(map[pool.Hash]int{mark: 2})
		w.pass(step)
	}
	tell(nil)
	w.pass(2 * step)
	require.True(t, w.board.Pool.Find("engine-00").IsUsable(w.board.Now))
}

// Answers a failure domain that is cut off and comes back: its endpoints are used
// again at once, whatever failed behind the cut.
func TestFailuresBehindACutDoNotOutlastIt(t *testing.T) {
	w := newWorld(t).serve(6)
	w.board.Pool.MarkUnreachable("south", w.board.Now)
	for _, entry := range []ident.Entry{"entry-2", "entry-3"} {
		w.hear(entry, func(n *input.News) {
			n.Domain = "north"
			n.FailureCounts = map[pool.Hash]int{pool.HashOf("engine-01"): 4}
		})
	}
	w.pass(100)
	w.board.Pool.MarkReachable("south")
	require.True(t, w.board.Pool.Find("engine-01").IsUsable(w.board.Now))
}

// Answers a large fleet where one engine comes back idle among busy ones: all entries
// see it before they hear of one another, and must not all choose it.
func TestIdleEngineIsNotOverrun(t *testing.T) {
	const entries = 40
	atIdle := 0
	for seed := range uint64(entries) {
		w := newWorld(t).serveModels(1, 200)
		w.board.Start(input.Started{Self: "entry-1", Epoch: 1, Domain: "north", Address: "10.0.0.1:9000", Seed: seed})
		w.loadEngines()
		busy := tally.Loads{}
		idle := w.board.Pool.ByService("model-00")[0]
		for _, endpoint := range w.board.Pool.ByService("model-00")[1:] {
			busy[endpoint.Hash()] = pool.Load{Leads: 4, ShortPrompts: 4, Decoding: 4, ContextTokens: 26400, MemoryTokens: 26400, MinGap: 250}
		}
		w.hearWork(busy)
		_, got := w.ask("/model-00/1", 5000, 10000)
		if requireSend(t, got).Endpoint == idle.Name {
			atIdle++
		}
	}
	require.LessOrEqual(t, atIdle, entries/4)
}
