package place

import (
	"cmp"
	"slices"

	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/plan"
	"mustardhook/internal/flow/pool"
)

const (
	// minOversizedEngines is the minimum number of engines for the prefill of an oversized
	// prompt, that is, one that exceeds the memory of a single engine.
	minOversizedEngines = 3
	// maxLeaseHolders is the maximum number of helpers that store parts of the KV cache of
	// a prompt.
	maxLeaseHolders = 4
	// memoryMargin is the fraction of the memory of an engine that is reserved for errors
	// of the estimate.
	memoryMargin = 0.03
)

// oversizedWait returns why an oversized prompt must wait, or "" if it may start. Spare engines
// can prefill a shard of it without delaying their answers.
func oversizedWait(b *board.Board, request *board.Request, waiting queue, spare int, spareSuffices bool) call.Wait {
	switch {
	case spare < minOversizedEngines:
		return call.WaitSpareEngines
	case !spareSuffices && !request.IsCallerRetry():
		return call.WaitSpareTime
	case !waiting.mayPrecede(b, request):
		return call.WaitOthers
	}
	return ""
}

// waitForSpareEngines lets an oversized prompt wait while it can be on time, or, if its
// caller was refused before, for half of the time that its caller waits. It is refused as
// soon as the queue leaves it no time.
func waitForSpareEngines(b *board.Board, request *board.Request, own position) choice {
	limit := request.DueAt()
	if request.IsCallerRetry() {
		limit = request.ArrivedAt + (request.WaitsUntil()-request.ArrivedAt)/2
	}
	if request.Runs == 0 && own.startAt+own.prefill > limit {
		return choice{reason: call.ReasonOverload, retryAfter: b.RetryAfter(request)}
	}
	return choice{}
}

// maxTokensPerEngine returns the size of the largest prompt and answer that fit into the
// memory of a single engine.
func maxTokensPerEngine(engine *plan.Engine) int {
	return int(float64(engine.MemoryTokens) * (1 - memoryMargin))
}

// divideMemory leases memory at helpers for a KV cache that is too large for one engine. It
// uses the engines with the most free memory, as few as suffice. If the memory does not
// suffice, the request waits.
func divideMemory(engine *plan.Engine, candidates []*candidate, decision choice, need int) choice {
	free := func(c *candidate) int { return maxTokensPerEngine(engine) - c.load.MemoryTokens }
	byFree := slices.Clone(candidates)
	slices.SortStableFunc(byFree, func(a, b *candidate) int { return cmp.Compare(free(b), free(a)) })
	available := 0
	holders := 0
	for holders < len(byFree) && holders <= maxLeaseHolders && available < need {
		available += max(free(byFree[holders]), 0)
		holders++
	}
	if available < need {
		return choice{wait: call.WaitMemory, shards: 1 + len(decision.helpers), free: len(candidates)}
	}
	divided := choice{lead: byFree[0].endpoint, firstEvent: decision.firstEvent, leases: map[*pool.Endpoint]int{}}
	remaining := need - free(byFree[0])
	for _, holder := range byFree[1:holders] {
		leased := min(max(need/holders, remaining), free(holder))
		divided.leases[holder.endpoint] = leased
		divided.helpers = append(divided.helpers, holder.endpoint)
		remaining -= leased
	}
	for _, chosen := range append([]*pool.Endpoint{decision.lead}, decision.helpers...) {
		isIncluded := chosen == divided.lead || slices.Contains(divided.helpers, chosen)
		if !isIncluded && len(divided.helpers) < maxHelpers {
			divided.helpers = append(divided.helpers, chosen)
		}
	}
	return divided
}
