package place

import (
	"maps"
	"slices"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/cost"
	"mustardhook/internal/flow/output"
)

// beginStop makes the entry leave. Its requests end by themselves or at StopEndsAt.
func beginStop(b *board.Board) {
	b.Stopping = true
	b.StoppingAt = b.Now
	b.StopEndsAt = b.Now + b.Settings.GracePeriod - min(ExitReserve, b.Settings.GracePeriod/exitReserveDivisor)
	b.NewsChanged = true
}

// cancelSends cancels the current sends of all requests, in the order of their numbers.
func cancelSends(b *board.Board) {
	for _, number := range slices.Sorted(maps.Keys(b.Requests)) {
		if b.Requests[number].Endpoint != "" {
			b.Emit(output.CancelSend{Number: number})
		}
	}
}

// minDuration returns the time that the request takes if all engines are idle. The answer is
// assumed to have at most the mean length, since the estimates of callers are often too high.
// A request that has run before may need less, because a stream is resumed after its last
// event.
func minDuration(b *board.Board, request *board.Request) clock.Millis {
	engine := b.Plan.Services[request.Service].Engine
	if engine == nil || request.Runs > 0 {
		return MinTimeLeft
	}
	prefill := cost.PrefillMillis(engine, request.Request.PromptTokens, maxHelpers+1)
	decode := engine.StepMillis * float64(min(estimateOutput(request.Request), engine.MeanOutputTokens))
	return MinTimeLeft + clock.Millis(prefill+decode)
}
