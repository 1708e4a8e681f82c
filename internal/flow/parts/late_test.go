package parts

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/output"
	"mustardhook/internal/flow/pool"
	"mustardhook/internal/flow/tally"
)

// oversizedTokens is the length of a prompt that exceeds the memory of one engine.
const oversizedTokens = 400000

// prefillingLoads returns loads of long prompts that the given number of the engines prefill for the
// given time from now.
func (e *testEntry) prefillingLoads(count int, duration clock.Millis) tally.Loads {
	loads := tally.Loads{}
	for _, endpoint := range e.board.Pool.ByService(engines)[:count] {
		loads[endpoint.Hash()] = pool.Load{
			Leads: 1, Prefilling: 1, PendingTokens: 100000, MemoryTokens: 100000, PrefillMillis: int(duration),
			LastPrefillEndsAt: e.board.Now + duration,
		}
	}
	return loads
}

// advanceUntilOutput advances the time until the request is sent or refused, at most by the duration.
func (e *testEntry) advanceUntilOutput(number uint64, duration clock.Millis) output.Output {
	e.outputs = nil
	for end := e.board.Now + duration; e.board.Now < end; {
		e.advance(50)
		if out := e.outputFor(number, e.outputs); out != nil {
			return out
		}
	}
	return nil
}

// Guards against an oversized prompt that is refused in a surge because it can't be on time, though its
// caller waits until the surge has ebbed, and is refused again when it comes back.
func TestOversizedPromptOutlastsASurge(t *testing.T) {
	e := newTestEntry(t).configure(40)
	e.receiveLoads(e.prefillingLoads(40, 8*clock.Second))
	number, got := e.request("/long/1", oversizedTokens, 15*clock.Second)
	require.Nil(t, got)
	arrivedAt := e.board.Now
	for e.board.Now < arrivedAt+7*clock.Second {
		require.Nil(t, e.advanceUntilOutput(number, 500))
		e.receiveLoads(e.prefillingLoads(40, arrivedAt+8*clock.Second-e.board.Now))
	}
	e.receiveLoads(tally.Loads{})
	requireSend(t, e.advanceUntilOutput(number, 2*clock.Second))
}

// Guards against prompts that can't be on time and take engines from prompts that can: a late one gains
// nothing by an early start. It starts at the latest when its caller waits for two prefills more.
func TestLatePromptLeavesEnginesToOthers(t *testing.T) {
	e := newTestEntry(t).configure(60)
	e.receiveLoads(e.prefillingLoads(60, 4*clock.Second))
	number, got := e.request("/long/1", oversizedTokens, 15*clock.Second)
	require.Nil(t, got)
	request := e.board.Requests[number]
	request.PrecedenceDraw = 1
	for e.board.Now < request.DueAt() {
		require.Nil(t, e.advanceUntilOutput(number, 500))
		e.receiveLoads(e.prefillingLoads(60, 4*clock.Second))
	}
	for e.board.Now < request.WaitsUntil()-3500 {
		e.receiveLoads(e.prefillingLoads(30, 2*clock.Second))
		require.Nil(t, e.advanceUntilOutput(number, 500))
		require.Equal(t, call.WaitLatestStart, request.Wait)
	}
	requireSend(t, e.advanceUntilOutput(number, 1500))
	require.GreaterOrEqual(t, request.WaitsUntil()-e.board.Now, 2*clock.Second)
}

// A prompt that its caller no longer waits for is refused as soon as that is known.
func TestOversizedPromptIsRefusedWhenItIsTooLate(t *testing.T) {
	e := newTestEntry(t).configure(40)
	e.receiveLoads(e.prefillingLoads(40, 20*clock.Second))
	number, _ := e.request("/long/1", oversizedTokens, 15*clock.Second)
	waitsUntil := e.board.Requests[number].WaitsUntil()
	for e.board.Requests[number] != nil {
		e.receiveLoads(e.prefillingLoads(40, 20*clock.Second))
		e.advance(50)
		require.Less(t, e.board.Now, waitsUntil)
	}
	require.Equal(t, call.ReasonOverload, e.replyTo(number).Reason)

	_, got := e.request("/long/1", oversizedTokens, 700)
	require.Equal(t, call.ReasonOverload, got.(output.Reply).Reply.Reason, "less time than the prefill takes")
}

// Guards against entries that decide at the same time and all choose the engine with the most free memory as
// the lead of an oversized prompt: its memory suffices for one, and the others wait there until they are
// given up.
func TestEntriesChooseDifferentLeadsForOversizedPrompts(t *testing.T) {
	leads := map[ident.Endpoint]int{}
	for seed := range uint64(20) {
		e := newTestEntry(t).configure(60)
		e.board.Random = rand.New(rand.NewPCG(seed, 1))
		loads := tally.Loads{}
		for i, endpoint := range e.board.Pool.ByService(engines) {
			loads[endpoint.Hash()] = pool.Load{Leads: 1, Decoding: 1, ContextTokens: 1000 + 100*i, MemoryTokens: 1000 + 100*i, MinGap: 1200}
		}
		e.receiveLoads(loads)
		_, got := e.request("/long/1", oversizedTokens, 15*clock.Second)
		leads[requireSend(t, got).Endpoint]++
	}
	for lead, count := range leads {
		require.LessOrEqual(t, count, 5, "%s leads the prompts of %d of 20 entries", lead, count)
	}
}

// Guards against oversized prompts of which none is served while there are always prompts that can be on time
// and would be late by them. Users require that the largest tenth is served half as often as all.
func TestOversizedPromptsAreNotAllHeldUpByOthers(t *testing.T) {
	const runs = 40
	started := 0
	for seed := range uint64(runs) {
		e := newTestEntry(t).configure(40)
		e.board.Random = rand.New(rand.NewPCG(seed, 2))
		holdUp := func(busy int) {
			e.receiveLoads(e.prefillingLoads(busy, 2*clock.Second))
			e.receiveNews("entry-9", func(n *input.News) {
				for i := range uint64(3) {
					due := e.board.Now + 500
					n.QueuedPrompts = append(n.QueuedPrompts, input.QueuedPrompt{
						Service: engines, Number: i, PromptTokens: 100000, DueAt: due, WaitsUntil: due + 9*clock.Second,
					})
				}
			})
		}
		holdUp(40)
		number, _ := e.request("/long/1", oversizedTokens, 15*clock.Second)
		for e.board.Requests[number] != nil && e.board.Requests[number].Endpoint == "" {
			request := e.board.Requests[number]
			if e.board.Now < request.DueAt() {
				holdUp(40)
			} else {
				holdUp(10)
			}
			e.advance(100)
		}
		if e.board.Requests[number] != nil {
			started++
		}
	}
	t.Logf("%d of %d started", started, runs)
	require.GreaterOrEqual(t, started, runs/2)
	require.Less(t, started, runs)
}

// Guards against a caller that returns after a refusal and is refused again, though its prompt could start
// while the caller still waits.
//
// Pattern: long prompts that the engines can't begin for some seconds.
func TestReturningCallerIsNotRefusedAgain(t *testing.T) {
	const (
		tokens  = 150000
		timeout = 15 * clock.Second
		busy    = 7 * clock.Second
	)
	e := newTestEntry(t).configure(12)
	e.receiveLoads(e.prefillingLoads(12, busy))
	e.receiveNews("entry-3", func(n *input.News) {
		for i := range clock.Millis(50) {
			n.QueuedPrompts = append(n.QueuedPrompts, input.QueuedPrompt{
				Service: engines, Number: uint64(i), PromptTokens: 100000, DueAt: e.board.Now + 190*(i+1), WaitsUntil: e.board.Now + timeout,
			})
		}
	})
	_, got := e.request("/long/1", tokens, timeout)
	refused := requireReply(t, got, call.ReasonOverload, 503)
	number, got := e.request("/long/1", tokens, timeout-refused.RetryAfter-50)
	require.Nil(t, got)
	e.advance(busy / 4)
	require.Nil(t, e.outputFor(number, e.outputs))
	e.receiveNews("entry-3", nil)
	e.receiveLoads(tally.Loads{})
	e.advance(clock.Second)
	requireSend(t, e.outputFor(number, e.outputs))
}
