// Package cost predicts how long an engine takes to prefill a prompt, from the
// published performance model of the engine and its current load.
package cost

import (
	"math"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/plan"
	"mustardhook/internal/flow/pool"
)

const (
	// LongPrefillMillis is the prefill time above which a prompt counts as long.
	LongPrefillMillis = 110.0
	// ShortRequestDuration is how long a short request takes on an engine that is not
	// slowed down by others.
	ShortRequestDuration = 1600 * clock.Millis(1)

	million  = 1e6
	thousand = 1e3
	// halfPass is the fraction of the running pass that a new request waits for on
	// average.
	halfPass = 0.5
	// minPendingShare is the fraction of a prefill that is assumed to remain until it
	// has ended, also after its predicted end.
	minPendingShare = 0.2
)

type (
	// EngineLoad summarises the work of an engine.
	EngineLoad struct {
		// Leads counts the requests that the engine leads, each of which holds a slot.
		// ShortPrompts counts the recent short prompts among them.
		Leads        int
		ShortPrompts int
		// Decoding counts the requests whose answers have begun, Prefilling the others.
		Decoding   int
		Prefilling int
		// ContextTokens is the memory of the decoding requests, in tokens.
		ContextTokens int
		// PendingMillis is the time to prefill all waiting prompts if nothing decodes.
		PendingMillis float64
		// PendingTokens is the number of prompt tokens that wait for prefill.
		PendingTokens int
		// MaxShardMillis is the longest prefill that does not delay the events of the
		// decoding requests beyond their objective.
		MaxShardMillis float64
		// MemoryTokens is the memory, in tokens, that is in use when all work is at its end.
		MemoryTokens int
	}
)

// IsLong reports whether the prefill of a prompt takes so long that the prompt is
// sharded: a pass that prefills all of it delays the events of other requests.
func IsLong(engine *plan.Engine, tokens int) bool {
	return PrefillMillis(engine, tokens, 1) > LongPrefillMillis
}

// LoadOfWork returns the load of one piece of work at the published speed of the engine.
func LoadOfWork(engine *plan.Engine, work pool.Work, now clock.Millis) pool.Load {
	load := pool.Load{MemoryTokens: work.MemoryTokens}
	if !work.IsHelper {
		load.Leads = 1
		if !IsLong(engine, work.PromptTokens) && now-work.StartedAt < ShortRequestDuration {
			load.ShortPrompts = 1
		}
	}
	if work.IsDecoding {
		load.Decoding = 1
		load.ContextTokens = work.MemoryTokens
		load.MinGap = work.MaxGap
		return load
	}
	load.Prefilling = 1
	load.PendingTokens = work.PromptTokens / max(work.Shards, 1)
	load.PrefillMillis = int(math.Ceil(PrefillMillis(engine, work.PromptTokens, work.Shards)))
	load.LastPrefillEndsAt = work.PrefillEndsAt
	return load
}

// EngineLoadOf returns the load of an endpoint. The engine is the published one; the
// pace of the endpoint is taken into account.
func EngineLoadOf(engine *plan.Engine, endpoint *pool.Endpoint, now clock.Millis) EngineLoad {
	total := endpoint.RemoteLoad
	for _, work := range endpoint.Work {
		total = total.Add(LoadOfWork(engine, work, now))
	}
	load := EngineLoad{
		Leads: total.Leads, ShortPrompts: total.ShortPrompts, Decoding: total.Decoding, Prefilling: total.Prefilling,
		ContextTokens: total.ContextTokens, PendingTokens: total.PendingTokens, MemoryTokens: total.MemoryTokens,
		PendingMillis: pendingMillis(total, now) * endpoint.Pace(now), MaxShardMillis: math.Inf(1),
	}
	if total.MinGap > 0 {
		load.MaxShardMillis = float64(total.MinGap)
	}
	load.MaxShardMillis -= DecodeMillis(engine, load) * endpoint.Pace(now)
	return load
}

// pendingMillis returns the time until the prefills of the load have ended. Predictions
// are inexact, so at least minPendingShare of the prefills remains until the answers
// begin.
func pendingMillis(total pool.Load, now clock.Millis) float64 {
	prefill := float64(total.PrefillMillis)
	return min(max(float64(total.LastPrefillEndsAt-now), minPendingShare*prefill), prefill)
}

// PrefillMillis returns the time to prefill one of several equal shards of a prompt on
// an engine that decodes nothing.
func PrefillMillis(engine *plan.Engine, tokens, shards int) float64 {
	n := float64(tokens)
	prefill := n/engine.PrefillTokensPerMilli + n*n/2/million*engine.AttentionMillis
	return prefill / float64(max(shards, 1))
}

// DecodeMillis returns the time that the decode steps add to each pass; zero if the engine
// decodes nothing.
func DecodeMillis(engine *plan.Engine, load EngineLoad) float64 {
	if load.Decoding == 0 {
		return 0
	}
	step := engine.StepMillis + engine.StepMillisPerRequest*float64(load.Decoding) +
		engine.ContextMillis*float64(load.ContextTokens)/thousand
	return step * float64(engine.StepsPerPass)
}

// FirstEventMillis predicts the time from the arrival of a prompt shard to the end of
// its prefill, which follows the pending ones in order of arrival. A pass with decoding
// requests prefills up to one chunk in each of its steps.
func FirstEventMillis(engine *plan.Engine, load EngineLoad, tokens, shards int) float64 {
	prefill := load.PendingMillis + PrefillMillis(engine, tokens, shards)
	decode := DecodeMillis(engine, load)
	if load.Decoding == 0 {
		return prefill
	}
	perPass := float64(engine.ChunkTokens * engine.StepsPerPass)
	passes := math.Ceil(float64(load.PendingTokens+tokens/max(shards, 1)) / perPass)
	return halfPass*PassMillis(engine, load) + passes*decode + prefill
}

// PassMillis returns the duration of the running pass, which is the pause between two
// events of a decoding request.
func PassMillis(engine *plan.Engine, load EngineLoad) float64 {
	return DecodeMillis(engine, load) + load.PendingMillis
}
