// Package score predicts the time to first token of a prompt at an engine and
// the delay that the prompt inflicts on what already runs there.
package score

import (
	"math"

	"mustardhook/internal/core/board"
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/event"
	"mustardhook/internal/core/fleet"
)

const (
	// PrefixHalfLife is how fast the belief in an unrenewed cache entry decays.
	PrefixHalfLife = 60 * clock.Second
	// DoubtFactor is how much of the belief one missed cache event leaves.
	DoubtFactor = 0.98

	defaultRate     = 20000
	inflictedWeight = 0.1
	memoryPenalty   = 10.0
	remotePenalty   = 0.002
)

type (
	// Estimate is the predicted cost of one prompt at one engine.
	Estimate struct {
		// Uncached is the expected count of prompt tokens without a cache entry.
		Uncached int
		// FirstToken is the predicted time to first token.
		FirstToken clock.Millis
		// Cost orders engines, in seconds; it adds the delay of others.
		Cost float64
		// Fits says that the engine's whole memory can hold the prompt.
		Fits bool
	}
)

// PrefixLengths are the prompt lengths at which prefixes are hashed.
var PrefixLengths = []int{256, 1024, 4096, 16384, 65536, 262144}

// Predict estimates the prompt at the engine.
func Predict(b *board.Board, asked event.CompletionAsked, engine fleet.Endpoint) Estimate {
	load := b.Endpoints[engine.Name]
	if load == nil {
		load = &board.Load{}
	}
	rate := float64(load.Report.PrefillRate)
	if rate == 0 {
		rate = defaultRate
	}
	uncached := asked.PromptTokens - cachedTokens(b, asked, load)
	ahead := load.Report.QueuedTokens
	for _, tokens := range load.Sent {
		ahead += tokens
	}
	wait := float64(ahead+uncached) / rate
	need := asked.PromptTokens + asked.MaxTokens
	cost := wait + inflicted(load, float64(uncached)/rate)
	total := load.Report.TotalTokens
	if total > 0 && need > load.Report.FreeTokens-unreported(load) {
		cost += memoryPenalty
	}
	if engine.Domain != b.Domain {
		cost += remotePenalty
	}
	return Estimate{
		Uncached:   uncached,
		FirstToken: clock.Millis(wait * float64(clock.Second)),
		Cost:       cost,
		Fits:       total == 0 || need <= total,
	}
}

// inflicted is the delay that a prefill of the span adds to running streams.
func inflicted(load *board.Load, span float64) float64 {
	return inflictedWeight * span * float64(load.Report.Decoding+len(load.Sent))
}

func unreported(load *board.Load) int {
	tokens := 0
	for _, work := range load.Sent {
		tokens += work
	}
	return tokens
}

// cachedTokens is the longest known prefix, weighed by the belief that the
// engine still has it.
func cachedTokens(b *board.Board, asked event.CompletionAsked, load *board.Load) int {
	for i := len(asked.Prefixes) - 1; i >= 0; i-- {
		at, known := load.Prefixes[asked.Prefixes[i]]
		if !known {
			continue
		}
		age := float64(b.Now-at) / float64(PrefixHalfLife)
		belief := math.Exp2(-age) * math.Pow(DoubtFactor, float64(load.Doubt))
		return int(belief * float64(PrefixLengths[i]))
	}
	return 0
}
