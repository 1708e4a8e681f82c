package place

import (
	"cmp"
	"slices"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/plan"
	"mustardhook/internal/flow/pool"
)

const (
	// minOversizedEngines is the minimum number of engines for the prefill of an oversized
	// prompt, that is, one that exceeds the memory of a single engine.
	minOversizedEngines = 3
	// latePrefills is how often an oversized prompt could be prefilled in the time that its caller still
	// waits when a late prompt starts at the latest.
	latePrefills = 2
	// precedenceShare is the fraction of the oversized prompts that start at their latest start also
	// if a prompt that can be on time becomes late by it. Users require that they are served half as
	// often as all; the rest covers places that are lost with engines and entries.
	precedenceShare = 0.6
	// idleShare is the fraction of the engines of the long size class that are idle when a late
	// prompt need not leave them to others.
	idleShare = 0.75
	// maxLeaseHolders is the maximum number of helpers that store parts of the KV cache of
	// a prompt.
	maxLeaseHolders = 4
	// memorySteps is the number of steps of free memory that are told apart when holders are
	// chosen.
	memorySteps = 8
	// memoryMargin is the fraction of the memory of an engine that is reserved for errors
	// of the estimate.
	memoryMargin = 0.03
)

// spareCapacity describes the spare engines for a prompt: their number, whether they suffice to be on
// time, and whether most engines are idle.
type spareCapacity struct {
	count    int
	suffices bool
	isIdle   bool
}

// oversizedWait returns why an oversized prompt must wait, or "" if it may start. Spare engines
// can prefill a shard of it without delaying their answers.
//
// While the prompt can be on time, it waits for spare engines that suffice for that. Later it gains
// nothing by an early start, so it leaves the engines to prompts that can be on time, unless most
// engines are idle, until its latest start. Then it starts, unless it has no precedence and would
// make a prompt late that can be on time.
func oversizedWait(b *board.Board, request *board.Request, waiting queue, own position, spare spareCapacity) call.Wait {
	isLate := !own.canBeOnTime(b, request)
	switch {
	case spare.count < minOversizedEngines:
		return call.WaitSpareEngines
	case !isLate && !spare.suffices:
		return call.WaitSpareTime
	case isLate && !spare.isIdle && b.Now < own.latestStart(request):
		return call.WaitLatestStart
	case own.exceedsShare && !waiting.mayPrecede(b, request):
		return call.WaitShare
	case isLate && !own.exceedsShare && drawPrecedence(b, request) < precedenceShare:
		return ""
	case !waiting.mayPrecede(b, request):
		return call.WaitOthers
	}
	return ""
}

// drawPrecedence returns the random number below 1 that decides whether the prompt may make others late. It
// is drawn once for each request.
func drawPrecedence(b *board.Board, request *board.Request) float64 {
	if request.PrecedenceDraw == 0 {
		request.PrecedenceDraw = b.Random.Float64()
	}
	return request.PrecedenceDraw
}

// canBeOnTime reports whether the prompt could be on time if all its engines began with it now.
func (p position) canBeOnTime(b *board.Board, request *board.Request) bool {
	return b.Now+p.prefill <= request.DueAt()
}

// latestStart returns when the prompt has to start so that its caller still waits for the first event.
func (p position) latestStart(request *board.Request) clock.Millis {
	return request.WaitsUntil() - latePrefills*p.prefill
}

// lateShards returns the number of shards for a late start with the given number of free engines: as many as
// are free, if the prefill ends while the caller still waits, and at least as many as that takes.
func lateShards(b *board.Board, request *board.Request, own position, shards, free int) int {
	work := own.prefill * clock.Millis(shards)
	left := max(request.WaitsUntil()-b.Now, 1)
	enough := int((work + left - 1) / left)
	return min(shards, max(free, enough, minOversizedEngines))
}

// isTooLate reports whether the caller of the request, which was not sent yet, would no longer wait for
// the first event if all engines of the prompt began with it now.
func (p position) isTooLate(b *board.Board, request *board.Request) bool {
	return request.Runs == 0 && b.Now+p.prefill > request.WaitsUntil()
}

// maxTokensPerEngine returns the size of the largest prompt and answer that fit into the
// memory of a single engine.
func maxTokensPerEngine(engine *plan.Engine) int {
	return int(float64(engine.MemoryTokens) * (1 - memoryMargin))
}

// divideMemory leases memory at helpers for a KV cache that is too large for one engine. It
// uses the engines with the most free memory, as few as suffice. If the memory does not
// suffice, the request waits.
func divideMemory(b *board.Board, engine *plan.Engine, candidates []*candidate, decision choice, need int, own position) choice {
	free := func(c *candidate) int { return maxTokensPerEngine(engine) - c.load.MemoryTokens }
	byFree := slices.Clone(candidates)
	b.Random.Shuffle(len(byFree), func(i, j int) { byFree[i], byFree[j] = byFree[j], byFree[i] })
	step := max(engine.MemoryTokens/memorySteps, 1)
	slices.SortStableFunc(byFree, func(a, b *candidate) int { return cmp.Compare(free(b)/step, free(a)/step) })
	available := 0
	holders := 0
	for holders < len(byFree) && holders <= maxLeaseHolders && available < need {
		available += max(free(byFree[holders]), 0)
		holders++
	}
	if available < need {
		return choice{wait: call.WaitMemory, own: own, shards: 1 + len(decision.helpers), free: len(candidates)}
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
