package plan

import "mustardhook/internal/core/clock"

type (
	// Engine describes how the model engines of a service work through requests:
	// in passes that read prompts in chunks and write a number of token steps.
	Engine struct {
		// Slots is how many requests run at once.
		Slots int
		// MemoryTokens is how many tokens of prompts and answers fit.
		MemoryTokens int
		// StepsPerPass is how many token steps a pass with writers executes.
		StepsPerPass int
		// ChunkTokens is the most prompt tokens that a pass reads.
		ChunkTokens int
		// StepMillis is the time of one token step.
		StepMillis float64
		// StepMillisPerRequest is added to a step for each request that is writing.
		StepMillisPerRequest float64
		// ContextMillis is added to a step for each 1,000 tokens of context.
		ContextMillis float64
		// PrefillTokensPerMilli is how many prompt tokens are read in a millisecond.
		PrefillTokensPerMilli float64
		// AttentionMillis is the time for a million pairs of a token and an earlier one.
		AttentionMillis float64
		// HopMillis is added to a step of a request whose memory is divided.
		HopMillis float64
		ReportLag clock.Millis
		// MeanPromptTokens and UsualAnswer are mean token counts.
		MeanPromptTokens int
		MeanOutputTokens int
	}
)

// WithPace returns the engine as it is when all its work takes the factor times as
// long.
func (e Engine) WithPace(factor float64) *Engine {
	e.StepMillis *= factor
	e.StepMillisPerRequest *= factor
	e.ContextMillis *= factor
	e.AttentionMillis *= factor
	e.HopMillis *= factor
	e.PrefillTokensPerMilli /= factor
	return &e
}
