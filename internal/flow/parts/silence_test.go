package parts

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/output"
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
		moved := e.step(input.EndpointSilent{Number: number})
		require.Contains(t, moved, output.Output(output.MoveSend{Number: number}))
		e.endSend(call.Result{Number: number, End: call.EndAnswerLost})
		require.Empty(t, e.board.Pool.RecentFailures(e.board.Now))
		e.step(input.CallerDisconnected{Number: number})
	}
}
