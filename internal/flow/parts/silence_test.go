package parts

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/output"
	"mustardhook/internal/flow/place"
)

// Guards against requests that fail because more sends were ended for silence than retries
// were left when they had ended.
func TestSendsEndedForSilenceAreRetried(t *testing.T) {
	e := newTestEntry(t).configure(4)
	var numbers []uint64
	for range 200 {
		number, got := e.request("/read/1", 0, 0)
		requireSend(t, got)
		numbers = append(numbers, number)
	}
	var ended []uint64
	for _, number := range numbers {
		for _, out := range e.step(input.EndpointSilent{Number: number}) {
			if move, isMove := out.(output.MoveSend); isMove {
				ended = append(ended, move.Number)
			}
		}
	}
	require.NotEmpty(t, ended)
	for _, number := range ended {
		got := e.endSend(call.Result{Number: number, End: call.EndAnswerLost})
		if reply, isReply := got.(output.Reply); isReply {
			t.Fatalf("request %d failed with status %d and reason %s, its endpoint was only silent", number,
				reply.Reply.Status, reply.Reply.Reason)
		}
	}
}

// Guards against the ejection of sound engines: if a prompt with helpers is silent, the cause
// may be any of them, and the endpoint that leads names it after the stall timeout.
func TestSilentHelperIsNotBlamedOnTheLead(t *testing.T) {
	e := newTestEntry(t).configure(12)
	e.board.Settings.StallTimeout = 1500
	for range 4 {
		number, got := e.request("/long/1", 154000, 15000)
		send := requireSend(t, got)
		require.NotEmpty(t, send.Helpers)
		require.Greater(t, send.FirstEventTimeout, e.board.Settings.StallTimeout+send.Predicted)
		e.advance(e.board.Requests[number].MoveAfter - e.board.Now)
		moved := e.step(input.EndpointSilent{Number: number})
		require.Contains(t, moved, output.Output(output.MoveSend{Number: number}))
		e.endSend(call.Result{Number: number, End: call.EndAnswerLost})
		require.Empty(t, e.board.Pool.RecentFailures(e.board.Now))
		e.step(input.CallerDisconnected{Number: number})
	}
}

// Guards against a prompt that is given up while its engines are only busy with prompts that other
// entries sent there: what they have prefilled of it is lost when capacity is short. Until a third
// of the time that its caller waits has passed, silence must be joined by signs that the endpoint
// is dead or can't be reached.
func TestPromptAtBusyEnginesIsNotGivenUp(t *testing.T) {
	for _, isSuspect := range []bool{false, true} {
		e := newTestEntry(t).configure(16)
		number, got := e.request("/long/1", 154000, 15000)
		send := requireSend(t, got)
		patience := e.board.Requests[number].WaitsUntil() - e.board.Now
		require.Less(t, send.FirstEventTimeout, patience/3)
		e.advance(send.FirstEventTimeout)
		if isSuspect {
			endpoint := e.board.Pool.Find(send.Endpoint)
			e.board.Pool.RecordUnreachable(endpoint, e.board.Now)
		}
		moved := slices.Contains(e.step(input.EndpointSilent{Number: number}), output.Output(output.MoveSend{Number: number}))
		require.Equal(t, isSuspect, moved)
		if !isSuspect {
			e.advance(patience/3 - send.FirstEventTimeout)
			require.Contains(t, e.step(input.EndpointSilent{Number: number}), output.Output(output.MoveSend{Number: number}))
		}
	}
}

// Guards against a prompt that waits until its deadline after its send was ended for silence: it
// can't be refused any more, and newer prompts that can be on time went ahead of it for as long as
// there were any.
func TestPromptKeepsItsPlaceAfterSilence(t *testing.T) {
	e := newTestEntry(t).configure(16)
	number, got := e.request("/long/1", 250000, 15000)
	requireSend(t, got)
	e.advance(5000)
	require.NotEmpty(t, e.step(input.EndpointSilent{Number: number}))
	for i := range 4 {
		e.receiveNews(ident.Entry(fmt.Sprintf("entry-%d", i+2)), func(n *input.News) {
			n.QueuedPrompts = []input.QueuedPrompt{{
				Service: engines, Number: 1, PromptTokens: 150000, DueAt: e.board.Now + 3000, WaitsUntil: e.board.Now + 12000,
			}}
		})
	}
	requireSend(t, e.endSend(call.Result{Number: number, End: call.EndAnswerLost}))
}

// Guards against a core that ends when a timer reports silence for a request that has just ended.
func TestSilenceOfAnEndedRequestIsIgnored(t *testing.T) {
	e := newTestEntry(t).configure(4)
	number, got := e.request("/long/1", 154000, 15000)
	requireSend(t, got)
	e.step(input.CallerDisconnected{Number: number})
	require.NotPanics(t, func() { require.Empty(t, e.step(input.EndpointSilent{Number: number})) })
	require.False(t, place.ShouldMove(e.board, number))
}
