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

// minDuration returns the time that the request takes if all engines are idle, or at a plain service.
// The answer of an engine is assumed to have at most the mean length, since the estimates of callers
// are often too high. A request that has run before may need less, because a stream is resumed after
// its last event.
func minDuration(b *board.Board, request *board.Request) clock.Millis {
	engine := b.Plan.Services[request.Service].Engine
	switch {
	case request.Runs > 0:
		return MinTimeLeft
	case engine == nil:
		return plainDuration(b, request)
	}
	prefill := cost.PrefillMillis(engine, request.Request.PromptTokens, maxHelpers+1)
	decode := engine.StepMillis * float64(min(estimateOutput(request.Request), engine.MeanOutputTokens))
	return MinTimeLeft + clock.Millis(prefill+decode)
}

// plainDuration returns how long a plain service may take: as long as for its slowest recent answer,
// or if there was none, as long as the caller waits. Nothing can be said of a request that is cut off
// at the end of the grace period, while one that is refused is served by another entry at once.
func plainDuration(b *board.Board, request *board.Request) clock.Millis {
	left := request.DeadlineAt - b.Now
	longest, isKnown := b.Pool.LongestDuration(request.Service)
	if !isKnown {
		return left
	}
	return min(MinTimeLeft+longest, left)
}
