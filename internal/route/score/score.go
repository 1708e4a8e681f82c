// Package score predicts the time to first token of a prompt at an engine and the delay
// that the prompt causes for requests already running there.
package score

import (
	"math"

	"mustardhook/internal/core/board"
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/event"
	"mustardhook/internal/core/fleet"
)

const (
	// PrefixHalfLife is the time after which the probability that an engine still
	// caches a prefix is halved, unless a report renews it.
	PrefixHalfLife = 60 * clock.Second
	// MissedEventFactor is the factor by which each missed cache event reduces that
	// probability.
	MissedEventFactor = 0.98

	// defaultPrefillRate, in tokens per second, is assumed until the engine reports its
	// rate.
	defaultPrefillRate = 20000
	// interferenceWeight is the fraction of the duration of a prefill by which it delays
	// each running request.
	interferenceWeight = 0.1
	// memoryPenalty is added to Estimate.Cost, in seconds, if the engine lacks free
	// memory, and remotePenalty if it is in another failure domain.
	memoryPenalty = 10.0
	remotePenalty = 0.002
)

type (
	// Estimate is the predicted cost of running a prompt at an engine.
	Estimate struct {
		// Uncached is the expected number of prompt tokens that are not cached.
		Uncached int
		// FirstToken is the predicted time to first token.
		FirstToken clock.Millis
		// Cost ranks engines, in seconds. Besides the time to first token it includes
		// the delay for other requests and penalties.
		Cost float64
		// Fits reports whether the prompt and its answer fit into the total memory of
		// the engine.
		Fits bool
	}
)

// PrefixLengths are the prompt lengths, in tokens, at which prefixes are hashed.
var PrefixLengths = []int{256, 1024, 4096, 16384, 65536, 262144}

// Predict estimates the cost of running the prompt at the engine.
func Predict(b *board.Board, input event.CompletionAsked, engine fleet.Endpoint) Estimate {
	status := b.Endpoints[engine.Name]
	if status == nil {
		status = &board.EndpointStatus{}
	}
	rate := float64(status.Report.PrefillRate)
	if rate == 0 {
		rate = defaultPrefillRate
	}
	uncached := input.PromptTokens - cachedTokens(b, input, status)
	queued := status.Report.QueuedTokens
	for _, tokens := range status.PendingTokens {
		queued += tokens
	}
	wait := float64(queued+uncached) / rate
	need := input.PromptTokens + input.MaxTokens
	cost := wait + interference(status, float64(uncached)/rate)
	total := status.Report.TotalTokens
	if total > 0 && need > status.Report.FreeTokens-pendingTokens(status) {
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

// interference returns the delay in seconds that a prefill of the given duration adds
// to the requests running at the engine.
func interference(status *board.EndpointStatus, seconds float64) float64 {
	return interferenceWeight * seconds * float64(status.Report.Decoding+len(status.PendingTokens))
}

func pendingTokens(status *board.EndpointStatus) int {
	tokens := 0
	for _, count := range status.PendingTokens {
		tokens += count
	}
	return tokens
}

// cachedTokens returns the length of the longest known prefix, multiplied by the
// probability that the engine still caches it.
func cachedTokens(b *board.Board, input event.CompletionAsked, status *board.EndpointStatus) int {
	for i := len(input.Prefixes) - 1; i >= 0; i-- {
		reportedAt, ok := status.Prefixes[input.Prefixes[i]]
		if !ok {
			continue
		}
		age := float64(b.Now-reportedAt) / float64(PrefixHalfLife)
		probability := math.Exp2(-age) * math.Pow(MissedEventFactor, float64(status.MissedEvents))
		return int(probability * float64(PrefixLengths[i]))
	}
	return 0
}
