package parts

import (
	"testing"

	"mustardhook/internal/flow/call"
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
		if place.ShouldMove(e.board, number) {
			ended = append(ended, number)
		}
	}
	for _, number := range ended {
		got := e.endSend(call.Result{Number: number, End: call.EndAnswerLost})
		if reply, isReply := got.(output.Reply); isReply {
			t.Fatalf("request %d failed with status %d and reason %s, its endpoint was only silent", number,
				reply.Reply.Status, reply.Reply.Reason)
		}
	}
}
