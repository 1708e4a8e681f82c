package place

import (
	"cmp"
	"math"
	"slices"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/cost"
	"mustardhook/internal/flow/plan"
)

const (
	// targetShardMillis is the prefill time of a prompt shard. Short answers tolerate a
	// pause of that length.
	targetShardMillis = 100.0
	// maxShortClassShardMillis is the prefill time of the longest shard for engines of
	// the short size class.
	maxShortClassShardMillis = 150.0
	// maxPendingMillis is the largest pending prefill time of an engine at which the next
	// shard is sent to it.
	maxPendingMillis = 100.0
	// maxHelpers is the maximum number of helpers for the prefill of a prompt.
	maxHelpers = 16
	// leadSafety is how often the predicted time to the first event must fit into the time that is left until it
	// is due for the answer to join others: the shards of other entries may be ahead of it.
	leadSafety = 3
	// shardDuration is how long a shard of a long prompt takes on average until its engine has
	// prefilled it.
	shardDuration = 200 * clock.Millis(1)
)

// chooseLong chooses the engines that prefill the shards of a long prompt, and the lead
// among them, which decodes the answer. The prompt waits while the engines that the prompts
// ahead of it in the queue leave have much prefill pending, because shards that accumulate
// on an engine make one long pass. Before its first send, it is refused if it would start
// after half of the time that its caller still waits, unless it is oversized.
func chooseLong(
	b *board.Board, engine *plan.Engine, short, long []*candidate, request *board.Request, need int,
) choice {
	if len(long) == 0 {
		// A single engine runs prompts of both size classes.
		long, short = short, nil
	}
	prompt := request.Request.PromptTokens
	shards := shardsOf(engine, prompt)
	candidates := withShortClass(engine, short, long, prompt, shards)
	isOversized := need > maxTokensPerEngine(engine)
	spare := spareEngines(engine, candidates, prompt, shards)
	capacity := spareCapacity{
		count: len(spare), suffices: isOnTime(b, spare, request, shards),
		isIdle: float64(len(withLittlePending(spare))) >= idleShare*float64(len(long)),
	}
	if capacity.suffices || isOversized && len(spare) > 0 {
		candidates = spare
	}
	waiting := buildQueue(b, engine, request, len(candidates))
	own := waiting.positionOf(b, request)
	request.PlannedStart = own.startAt
	if isOversized {
		if wait := oversizedWait(b, request, waiting, own, capacity); wait != "" {
			return choice{wait: wait, own: own, shards: shards, free: len(spare)}
		}
	}
	free := withLittlePending(candidates)
	shards = min(shards, len(candidates))
	if isOversized && !own.canBeOnTime(b, request) {
		shards = lateShards(b, request, own, shards, len(free))
	}
	for _, c := range candidates {
		c.price = cost.FirstEventMillis(c.engine, c.load, prompt, shards) * (1 + priceJitter*b.Random.Float64())
	}
	slices.SortStableFunc(free, func(a, b *candidate) int { return cmp.Compare(a.price, b.price) })
	switch {
	case request.Runs == 0 && b.StopEndsWithin(own.startAt-b.Now+minDuration(b, request)):
		return choice{reason: call.ReasonStopping, retryAfter: StoppingRetryAfter}
	case !isOversized && request.Runs == 0 && own.startAt > latestPlannedStart(b, request, own):
		return choice{reason: refusalReason(own), retryAfter: b.RetryAfter(request)}
	case len(free) < shards:
		request.CapacitySince = 0
		return choice{wait: call.WaitEngines, own: own, shards: shards, free: len(free)}
	case isOversized:
		left := free[min(own.enginesAhead, len(free)-shards):]
		return divideMemory(b, engine, left, chooseGang(b, engine, left, request, shards, need), need, own)
	case own.enginesAhead+shards <= len(free):
		return chooseGang(b, engine, free[own.enginesAhead:], request, shards, need)
	case hasWaitedForOthers(b, request, own):
		return chooseGang(b, engine, free, request, shards, need)
	}
	return choice{wait: call.WaitQueue, own: own, shards: shards, free: len(free)}
}

// latestPlannedStart returns the planned start after which a prompt that was not sent yet is refused. A
// first attempt leaves time for another one. A caller that has returned has no further attempt, so its
// prompt is refused only if the caller would no longer wait for the first event.
func latestPlannedStart(b *board.Board, request *board.Request, own position) clock.Millis {
	if request.IsCallerRetry() {
		return request.WaitsUntil() - own.prefill
	}
	return b.Now + (request.WaitsUntil()-b.Now)/2
}

func refusalReason(own position) call.Reason {
	if own.exceedsShare {
		return call.ReasonOverShare
	}
	return call.ReasonOverload
}

// withLittlePending returns the candidates at which the next shard can be prefilled soon.
func withLittlePending(candidates []*candidate) []*candidate {
	return slices.DeleteFunc(slices.Clone(candidates), func(c *candidate) bool { return c.load.PendingMillis > maxPendingMillis })
}

// shardsOf returns the number of shards into which a long prompt is divided if there are
// enough engines.
func shardsOf(engine *plan.Engine, prompt int) int {
	return min(max(int(math.Ceil(cost.PrefillMillis(engine, prompt, 1)/targetShardMillis)), 1), maxHelpers+1)
}

// withShortClass returns the engines of the long size class and, if they are too few and
// the shards are short enough, the least loaded ones of the short size class.
func withShortClass(engine *plan.Engine, short, long []*candidate, prompt, shards int) []*candidate {
	candidates := slices.Clone(long)
	maxShards := min(len(long)+len(short), maxHelpers+1)
	if len(candidates) < shards && cost.PrefillMillis(engine, prompt, maxShards) <= maxShortClassShardMillis {
		extra := slices.Clone(short)
		slices.SortStableFunc(extra, func(a, b *candidate) int { return cmp.Compare(a.load.Decoding, b.load.Decoding) })
		candidates = append(candidates, extra[:min(shards-len(candidates), len(extra))]...)
	}
	return candidates
}

// chooseGang returns the lead and the helpers for a prompt. The candidates are sorted by
// price. Entries that decide within the delay of the news see the same loads, so each
// chooses at random among the cheapest candidates. Their number grows by the estimated
// number of shards whose load is not yet published.
func chooseGang(b *board.Board, engine *plan.Engine, candidates []*candidate, request *board.Request, shards, need int) choice {
	prefilling := 0
	for _, c := range candidates {
		prefilling += c.load.Prefilling
	}
	unpublished := int(math.Round(float64(prefilling) * float64(cost.NewsDelay+b.Tally.MaxDeferral()) / float64(shardDuration)))
	choices := shards
	for choices < min(shards+unpublished, len(candidates)) && candidates[choices].price <= candidates[shards-1].price+spreadMillis {
		choices++
	}
	gang := slices.Clone(candidates[:choices])
	if choices > shards {
		b.Random.Shuffle(choices, func(i, j int) { gang[i], gang[j] = gang[j], gang[i] })
		gang = gang[:shards]
	}
	lead := chooseLead(b, engine, candidates, request, shards, need)
	decision := choice{lead: lead.endpoint, firstEvent: clock.Millis(lead.price)}
	for _, c := range gang {
		if c != lead && len(decision.helpers) < shards-1 {
			decision.helpers = append(decision.helpers, c.endpoint)
			decision.firstEvent = max(decision.firstEvent, clock.Millis(c.price))
		}
	}
	return decision
}

// spareEngines returns the candidates on which the prefill of an equal shard of the prompt
// does not delay the decoding requests for too long. The shards grow with each engine that
// is left out.
func spareEngines(engine *plan.Engine, candidates []*candidate, prompt, shards int) []*candidate {
	spare := slices.Clone(candidates)
	for {
		shard := cost.PrefillMillis(engine, prompt, min(shards, len(spare)))
		before := len(spare)
		spare = slices.DeleteFunc(spare, func(c *candidate) bool { return c.load.MaxShardMillis < shard })
		if len(spare) == before || len(spare) == 0 {
			return spare
		}
	}
}

// isOnTime reports whether there are candidates and the cheapest ones for the shards can
// prefill them before the prompt is due.
func isOnTime(b *board.Board, candidates []*candidate, request *board.Request, shards int) bool {
	shards = min(shards, len(candidates))
	onTime := 0
	for _, c := range candidates {
		first := cost.FirstEventMillis(c.engine, c.load, request.Request.PromptTokens, shards)
		if b.Now+clock.Millis(first) <= request.DueAt() {
			onTime++
		}
	}
	return shards > 0 && onTime >= shards
}

// hasWaitedForOthers reports whether the prompt can be on time and has waited for the
// prompts ahead of it for longer than QueueTimeout while there was capacity. It sets
// request.CapacitySince if that is zero.
func hasWaitedForOthers(b *board.Board, request *board.Request, own position) bool {
	if request.CapacitySince == 0 {
		request.CapacitySince = b.Now
	}
	return own.isOnTime && b.Now-request.CapacitySince > QueueTimeout
}

// chooseLead returns an engine that has enough memory for the prompt and that the answer takes the least time
// of. An engine that decodes makes whole passes, however few answers there are, so the answer joins others
// if it can be on time there and its shard does not pause them for too long. Entries that decide within the
// delay of the news choose at random among engines that differ by less than a pass.
func chooseLead(b *board.Board, engine *plan.Engine, candidates []*candidate, request *board.Request, shards, need int) *candidate {
	shard := cost.PrefillMillis(engine, request.Request.PromptTokens, shards)
	// alone is the time of the steps of an answer that shares them with no other.
	alone := engine.StepMillis * float64(engine.MeanOutputTokens)
	latest := float64(request.DueAt()-b.Now) / leadSafety
	priceOf := func(c *candidate) float64 {
		price := c.price
		switch {
		case c.load.MaxShardMillis < shard:
			// An engine without answers comes before one whose answers would pause for too long.
			price += 2 * alone
		case c.load.Leads == 0, c.price > latest:
			price += alone
		}
		if !c.canLead(engine, need) {
			price += fullPenalty
		}
		return price
	}
	least := math.Inf(1)
	for _, c := range candidates {
		least = min(least, priceOf(c))
	}
	similar := slices.DeleteFunc(slices.Clone(candidates), func(c *candidate) bool {
		return priceOf(c) > least+engine.StepMillis*float64(engine.StepsPerPass)
	})
	return similar[b.Random.IntN(len(similar))]
}
