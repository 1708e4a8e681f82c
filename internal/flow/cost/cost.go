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
	// LongRead is the reading time in milliseconds from which a prompt is long.
	LongRead = 110.0
	// ShortSpan is how long a short request takes on an engine that is not held up.
	ShortSpan = 1600 * clock.Millis(1)

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
		Leads   int
		Shorts  int
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

// IsLong reports whether a prompt takes so long to read that it is read in parts: a
// pass that reads it whole makes others' events late.
func IsLong(engine *plan.Engine, tokens int) bool { return ReadMillis(engine, tokens, 1) > LongRead }

// LoadOfWork returns one piece of work as a sum, at the published speed of the engine.
func LoadOfWork(engine *plan.Engine, work pool.Work, now clock.Millis) pool.Load {
	sum := pool.Load{MemoryTokens: work.MemoryTokens}
	if !work.IsHelper {
		sum.Leads = 1
		if !IsLong(engine, work.PromptTokens) && now-work.StartedAt < ShortSpan {
			sum.ShortPrompts = 1
		}
	}
	if work.IsDecoding {
		sum.Decoding = 1
		sum.ContextTokens = work.MemoryTokens
		sum.MinGap = work.MaxGap
		return sum
	}
	sum.Prefilling = 1
	sum.PendingTokens = work.PromptTokens / max(work.Shards, 1)
	sum.PrefillMillis = int(math.Ceil(ReadMillis(engine, work.PromptTokens, work.Shards)))
	sum.PrefillDoneAt = work.PrefillEndsAt
	return sum
}

// LoadOf sums up the work at an endpoint. The engine is as published; the endpoint
// may be slower.
func LoadOf(engine *plan.Engine, endpoint *pool.Endpoint, now clock.Millis) Load {
	sum := endpoint.RemoteLoad
	for _, work := range endpoint.Work {
		sum = sum.Add(LoadOfWork(engine, work, now))
	}
	load := Load{
		Leads: sum.Leads, Shorts: sum.ShortPrompts, Writers: sum.Decoding, Readers: sum.Prefilling,
		ContextTokens: sum.ContextTokens, UnreadTokens: sum.PendingTokens, MemoryTokens: sum.MemoryTokens,
		UnreadMillis: unread(sum, now) * endpoint.Pace(now), Bearable: math.Inf(1),
	}
	if sum.MinGap > 0 {
		load.Bearable = float64(sum.MinGap)
	}
	load.Bearable -= StrideMillis(engine, load) * endpoint.Pace(now)
	return load
}

// unread is the time to read what is left. Predictions err, so that some of it is
// left until the answers begin.
func unread(sum pool.Load, now clock.Millis) float64 {
	whole := float64(sum.PrefillMillis)
	return min(max(float64(sum.PrefillDoneAt-now), overdueShare*whole), whole)
}

// ReadMillis is the time to read one of equal parts of a prompt, without writers.
func ReadMillis(engine *plan.Engine, tokens, parts int) float64 {
	n := float64(tokens)
	whole := n/engine.PrefillTokensPerMilli + n*n/2/million*engine.AttentionMillis
	return whole / float64(max(parts, 1))
}

// StrideMillis is what the writers add to each pass.
func StrideMillis(engine *plan.Engine, load Load) float64 {
	if load.Writers == 0 {
		return 0
	}
	step := engine.StepMillis + engine.StepMillisPerRequest*float64(load.Writers) +
		engine.ContextMillis*float64(load.ContextTokens)/thousand
	return step * float64(engine.StepsPerPass)
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
	perPass := float64(engine.ChunkTokens * engine.StepsPerPass)
	passes := math.Ceil(float64(load.UnreadTokens+tokens/max(parts, 1)) / perPass)
	return halfPass*PassMillis(engine, load) + passes*stride + read
}

// PassMillis is the length of a running pass: the pause between two events of
// the requests that are writing.
func PassMillis(engine *plan.Engine, load Load) float64 {
	return StrideMillis(engine, load) + load.UnreadMillis
}
