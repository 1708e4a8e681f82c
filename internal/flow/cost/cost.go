// Package cost predicts how long an engine takes to read a prompt, from the
// published description of its passes and what runs there.
package cost

import (
	"math"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/plan"
	"mustardhook/internal/flow/pool"
)

const (
	million  = 1e6
	thousand = 1e3
	// halfPass is the part of a running pass that a new request waits for on average.
	halfPass = 0.5
	// overdueShare is the part of a reading that is taken to be left when it should
	// have ended.
	overdueShare = 0.2
)

type (
	// Load sums up what an engine runs.
	Load struct {
		Writers int
		Readers int
		// ContextTokens is the memory of the writers.
		ContextTokens int
		// UnreadMillis is the time to read what waits, without writers.
		UnreadMillis float64
		// UnreadTokens is how many tokens of prompts wait to be read.
		UnreadTokens int
		// Bearable is how long a part may be that is read here without making the
		// events of the writers late.
		Bearable float64
		// MemoryTokens is the memory that is taken up at the end of all work.
		MemoryTokens int
	}
)

// LoadOf sums up the work at an endpoint.
func LoadOf(engine *plan.Engine, endpoint *pool.Endpoint, now clock.Millis) Load {
	load := Load{Bearable: math.Inf(1)}
	for _, work := range endpoint.Work {
		load.MemoryTokens += work.MemoryTokens
		if work.Writing {
			load.Writers++
			load.ContextTokens += work.MemoryTokens
			if work.Gap > 0 {
				load.Bearable = min(load.Bearable, float64(work.Gap))
			}
			continue
		}
		load.Readers++
		load.UnreadTokens += work.PromptTokens / max(work.Parts, 1)
		load.UnreadMillis += unread(engine, work, now)
	}
	load.Bearable -= StrideMillis(engine, load)
	return load
}

// unread is the time to read what is left of a part. Predictions err, so that some
// of it is left until the answer begins.
func unread(engine *plan.Engine, work pool.Work, now clock.Millis) float64 {
	whole := ReadMillis(engine, work.PromptTokens, work.Parts)
	return min(max(float64(work.ReadAt-now), overdueShare*whole), whole)
}

// ReadMillis is the time to read one of equal parts of a prompt, without writers.
func ReadMillis(engine *plan.Engine, tokens, parts int) float64 {
	n := float64(tokens)
	whole := n/engine.ReadPerMilli + n*n/2/million*engine.PairMillis
	return whole / float64(max(parts, 1))
}

// StrideMillis is what the writers add to each pass.
func StrideMillis(engine *plan.Engine, load Load) float64 {
	if load.Writers == 0 {
		return 0
	}
	step := engine.StepMillis + engine.WriterMillis*float64(load.Writers) +
		engine.ContextMillis*float64(load.ContextTokens)/thousand
	return step * float64(engine.Stride)
}

// FirstMillis predicts the time from the arrival of a part of a prompt to its
// end, in arrival order behind what waits. A pass with writers reads up to a
// chunk in each of its steps.
func FirstMillis(engine *plan.Engine, load Load, tokens, parts int) float64 {
	read := load.UnreadMillis + ReadMillis(engine, tokens, parts)
	stride := StrideMillis(engine, load)
	if load.Writers == 0 {
		return read
	}
	perPass := float64(engine.Chunk * engine.Stride)
	passes := math.Ceil(float64(load.UnreadTokens+tokens/max(parts, 1)) / perPass)
	return halfPass*PassMillis(engine, load) + passes*stride + read
}

// PassMillis is the length of a running pass: the pause between two events of
// the requests that are writing.
func PassMillis(engine *plan.Engine, load Load) float64 {
	return StrideMillis(engine, load) + load.UnreadMillis
}
