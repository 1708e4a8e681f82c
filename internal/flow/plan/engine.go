package plan

import "mustardhook/internal/core/clock"

type (
	// Engine is the performance model of the engines of a service. An engine works in
	// passes, each of which prefills chunks of prompts and runs a number of decode steps.
	Engine struct {
		// Slots is the maximum number of concurrent requests.
		Slots int
		// MemoryTokens is the capacity of the KV cache, in tokens of prompts and answers.
		MemoryTokens int
		// StepsPerPass is the number of decode steps in a pass with decoding requests.
		StepsPerPass int
		// ChunkTokens is the largest number of prompt tokens prefilled in one step.
		ChunkTokens int
		// StepMillis is the duration of one decode step without any requests.
		StepMillis float64
		// StepMillisPerRequest is added to a step for each decoding request.
		StepMillisPerRequest float64
		// ContextMillis is added to a step for every 1,000 tokens of context.
		ContextMillis float64
		// PrefillTokensPerMilli is the number of prompt tokens prefilled per millisecond.
		PrefillTokensPerMilli float64
		// AttentionMillis is the time to attend over a million pairs of a token and an
		// earlier token.
		AttentionMillis float64
		// HopMillis is added to a step for a request whose KV cache is divided among
		// several engines.
		HopMillis float64
		// ReportLag is the delay of the engine's reports. Predictions do not use it.
		ReportLag clock.Millis
		// MeanPromptTokens and MeanOutputTokens are the mean lengths of prompts and
		// answers.
		MeanPromptTokens int
		MeanOutputTokens int
	}
)

// WithPace returns a copy of the engine whose work takes factor times as long.
func (e Engine) WithPace(factor float64) *Engine {
	e.StepMillis *= factor
	e.StepMillisPerRequest *= factor
	e.ContextMillis *= factor
	e.AttentionMillis *= factor
	e.HopMillis *= factor
	e.PrefillTokensPerMilli /= factor
	return &e
}
