package place

import (
	"cmp"
	"math"
	"slices"
	"sync"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/cost"
	"mustardhook/internal/flow/plan"
	"mustardhook/internal/flow/pool"
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
	// shortSlotShare is the fraction of its slots that an engine of the short size class
	// fills before the class grows. A request in excess of the slots waits until another
	// answer has ended.
	shortSlotShare = 0.55
	// spareShortPrompts is the number of further short prompts for which the short size
	// class keeps capacity free.
	spareShortPrompts = 4
	// minShortClass and minLongClass are the minimum sizes of the size classes. The short
	// class has at least 1/shortClassDivisor of the engines, because in large fleets the
	// count of short prompts is seconds old, and the long class 1/longClassDivisor, because
	// long prompts also arrive in a surge of short ones.
	minShortClass     = 2
	minLongClass      = 3
	shortClassDivisor = 8
	longClassDivisor  = 6
	// fullPenalty is added to the price of engines without capacity, in milliseconds. It
	// ranks them behind all others.
	fullPenalty = 1e5
	// longClassPenalty is the cost in milliseconds of running a short prompt in the long
	// size class, where its events wait for shards of long prompts.
	longClassPenalty = 200
	// minOversizedEngines is the minimum number of engines for the prefill of an oversized
	// prompt, that is, one that exceeds the memory of a single engine.
	minOversizedEngines = 3
	// maxLeaseHolders is the maximum number of helpers that store parts of the KV cache of
	// a prompt.
	maxLeaseHolders = 4
	// memoryMargin is the fraction of the memory of an engine that is reserved for errors
	// of the estimate.
	memoryMargin = 0.03
	// newsDelay is the time until all entries know of a send: two hubs batch changes for
	// 25 ms each, and three datagrams are in transit.
	newsDelay = 60 * clock.Millis(1)
	// spreadMillis is how much later the first event may be predicted at an engine that is
	// chosen to spread the load: a fifth of the objective of short prompts.
	spreadMillis = 60.0
	// maxPromptsForSpread is the number of unpublished prompts up to which spreadMillis
	// applies. It grows in proportion with more of them, because all of them may be at the
	// cheapest engine.
	maxPromptsForSpread = 4.0
	// shardDuration is how long a shard of a long prompt takes on average until its engine has
	// prefilled it.
	shardDuration = 200 * clock.Millis(1)
	// priceJitter keeps entries that decide at the same time from choosing the same
	// engine.
	priceJitter = 0.05

	// urgencyShort and urgencyLong are the urgencies of short and long prompts at an engine;
	// 0 is the highest.
	urgencyShort = 3
	urgencyLong  = 5
)

type (
	// candidate is an engine that can run a request, with its load and its price.
	candidate struct {
		endpoint *pool.Endpoint
		// engine is the performance model at the current pace of the endpoint.
		engine *plan.Engine
		load   cost.EngineLoad
		// price ranks the candidates, in milliseconds.
		price float64
		// firstEvent is the predicted time to the first event.
		firstEvent clock.Millis
		isFull     bool
	}

	// scratch holds the memory of a decision, which is reused by later ones.
	scratch struct {
		endpoints  []*pool.Endpoint
		storage    []candidate
		candidates []*candidate
		byPrice    []*candidate
	}
)

var scratchPool = sync.Pool{New: func() any { return new(scratch) }}

// chooseEngine chooses the engines for a prompt. Short prompts run on an engine of the
// short size class; long prompts are sharded across engines of the long size class. If all
// engines are full, a short prompt is refused, unless it is a retry by the caller or by this
// entry.
func chooseEngine(b *board.Board, request *board.Request, engine *plan.Engine) choice {
	prompt := request.Request.PromptTokens
	need := prompt + estimateOutput(request.Request)
	memory := scratchPool.Get().(*scratch)
	defer scratchPool.Put(memory)
	candidates := memory.listCandidates(b, request, engine)
	if len(candidates) == 0 {
		return noEndpoint(b, request)
	}
	if need > engine.MemoryTokens*min(len(candidates), maxLeaseHolders+1) {
		return choice{reason: call.ReasonPromptTooLong, retryAfter: FullRetryAfter}
	}
	normal, slow := splitSlow(candidates, b.Now)
	short, long := splitSizeClasses(engine, normal)
	if !cost.IsLong(engine, prompt) {
		decision := memory.chooseShort(b, short, long, slow, prompt, need)
		decision.urgency = urgencyShort
		if decision.isFull && !request.IsCallerRetry() && request.Runs == 0 {
			return choice{reason: call.ReasonOverload, retryAfter: b.RetryAfter(request)}
		}
		return decision
	}
	decision := chooseLong(b, engine, short, long, request, need)
	decision.urgency = urgencyLong
	return decision
}

// listCandidates returns the usable engines in an order that all entries share.
func (s *scratch) listCandidates(b *board.Board, request *board.Request, engine *plan.Engine) []*candidate {
	s.endpoints = usableEndpoints(b, request, s.endpoints)
	s.storage = slices.Grow(s.storage[:0], len(s.endpoints))[:len(s.endpoints)]
	candidates := s.candidates[:0]
	for i, endpoint := range s.endpoints {
		s.storage[i] = candidate{endpoint: endpoint, engine: engine, load: cost.EngineLoadOf(engine, endpoint, b.Now)}
		if pace := endpoint.Pace(b.Now); pace > 1 {
			s.storage[i].engine = engine.WithPace(pace)
		}
		candidates = append(candidates, &s.storage[i])
	}
	s.candidates = candidates
	return candidates
}

// splitSlow separates the engines that report a slow pace. A shard of a long prompt on a
// slow engine delays all other shards, and short prompts use slow engines last. If at
// least half of the engines are slow, the pace does not distinguish them and all count as
// normal.
func splitSlow(candidates []*candidate, now clock.Millis) (normal, slow []*candidate) {
	isSlow := func(engine *candidate) bool { return engine.endpoint.Pace(now) >= pool.SlowPace }
	if !slices.ContainsFunc(candidates, isSlow) {
		return candidates, nil
	}
	for _, engine := range candidates {
		if isSlow(engine) {
			slow = append(slow, engine)
			continue
		}
		normal = append(normal, engine)
	}
	if len(normal) <= len(slow) {
		return candidates, nil
	}
	return normal, slow
}

// splitSizeClasses divides the engines between short and long prompts. The size of the
// short class follows from the number of recent short prompts; older ones, which are
// being delayed, must not enlarge it.
func splitSizeClasses(engine *plan.Engine, candidates []*candidate) (short, long []*candidate) {
	shortPrompts := 0
	for _, c := range candidates {
		shortPrompts += c.load.ShortPrompts
	}
	perEngine := max(int(shortSlotShare*float64(engine.Slots)+0.5), 1)
	size := max((shortPrompts+spareShortPrompts+perEngine-1)/perEngine, minShortClass, len(candidates)/shortClassDivisor)
	size = min(size, max(len(candidates)-max(minLongClass, len(candidates)/longClassDivisor), 1))
	return candidates[:size], candidates[size:]
}

// setShortPrice sets the price of a short prompt at the engine: the time to its first
// event, plus the decode time of a pass as the cost to the passes of other requests.
func (c *candidate) setShortPrice(prompt, need int) {
	first := cost.FirstEventMillis(c.engine, c.load, prompt, 1)
	c.firstEvent = clock.Millis(first)
	c.price = first + cost.DecodeMillis(c.engine, c.load)
	c.isFull = c.load.MemoryTokens+need > c.engine.MemoryTokens || c.load.Leads >= c.engine.Slots
}

// chooseShort chooses an engine for a short prompt by its price. Engines outside the
// short size class cost more. Entries that decide within the delay of the news see the
// same loads, so each chooses at random among the cheapest engines. Their number is the
// estimated number of prompts whose load is not yet published, plus one.
func (s *scratch) chooseShort(b *board.Board, short, long, slow []*candidate, prompt, need int) choice {
	byPrice := append(s.byPrice[:0], short...)
	byPrice = append(byPrice, long...)
	byPrice = append(byPrice, slow...)
	s.byPrice = byPrice
	shortPrompts := 0
	for i, c := range byPrice {
		shortPrompts += c.load.ShortPrompts
		c.setShortPrice(prompt, need)
		if i >= len(short) {
			c.price += longClassPenalty
		}
		if c.isFull {
			c.price += fullPenalty
		}
		c.price *= 1 + priceJitter*b.Random.Float64()
	}
	slices.SortFunc(byPrice, func(a, b *candidate) int { return cmp.Compare(a.price, b.price) })
	delay := newsDelay + b.Tally.MaxDeferral()
	unpublished := int(math.Round(float64(shortPrompts) * float64(delay) / float64(cost.ShortRequestDuration)))
	// The cheapest engine gets all unpublished prompts if the others cost much more.
	spread := spreadMillis * max(1, float64(unpublished)/maxPromptsForSpread)
	choices := 1
	for choices < min(1+unpublished, len(byPrice)) && byPrice[choices].price <= byPrice[0].price+spread {
		choices++
	}
	best := byPrice[b.Random.IntN(choices)]
	return choice{lead: best.endpoint, firstEvent: best.firstEvent, isFull: best.isFull}
}

// chooseLong chooses the engines that prefill the shards of a long prompt, and the lead
// among them, which decodes the answer. The prompt waits while the engines that the prompts
// ahead of it in the queue leave have much prefill pending, because shards that accumulate
// on an engine make one long pass. Before its first send, it is refused if it would start
// after half of the time that its caller still waits.
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
	spareSuffices := isOnTime(b, spare, request, shards)
	if spareSuffices || isOversized && len(spare) > 0 {
		candidates = spare
	}
	waiting := buildQueue(b, engine, request, len(candidates))
	own := waiting.positionOf(b, request)
	if isOversized {
		if wait := oversizedWait(b, request, waiting, len(spare), spareSuffices); wait != "" {
			decision := waitForSpareEngines(b, request, own)
			decision.wait, decision.own, decision.shards, decision.free = wait, own, shards, len(spare)
			return decision
		}
	}
	shards = min(shards, len(candidates))
	for _, c := range candidates {
		c.price = cost.FirstEventMillis(c.engine, c.load, prompt, shards) * (1 + priceJitter*b.Random.Float64())
	}
	slices.SortStableFunc(candidates, func(a, b *candidate) int { return cmp.Compare(a.price, b.price) })
	free := slices.DeleteFunc(slices.Clone(candidates), func(c *candidate) bool { return c.load.PendingMillis > maxPendingMillis })
	switch {
	case request.Runs == 0 && b.StopEndsWithin(own.startAt-b.Now+minDuration(b, request)):
		return choice{reason: call.ReasonStopping, retryAfter: StoppingRetryAfter}
	case request.Runs == 0 && own.startAt > b.Now+(request.WaitsUntil()-b.Now)/2:
		return choice{reason: call.ReasonOverload, retryAfter: b.RetryAfter(request)}
	case len(free) < shards:
		request.CapacitySince = 0
		return choice{wait: call.WaitEngines, own: own, shards: shards, free: len(free)}
	case isOversized:
		left := free[min(own.enginesAhead, len(free)-shards):]
		return divideMemory(engine, left, chooseGang(b, engine, left, shards, need), need)
	case own.enginesAhead+shards <= len(free):
		return chooseGang(b, engine, free[own.enginesAhead:], shards, need)
	case hasWaitedForOthers(b, request, own):
		return chooseGang(b, engine, free, shards, need)
	}
	return choice{wait: call.WaitQueue, own: own, shards: shards, free: len(free)}
}

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
func chooseGang(b *board.Board, engine *plan.Engine, candidates []*candidate, shards, need int) choice {
	prefilling := 0
	for _, c := range candidates {
		prefilling += c.load.Prefilling
	}
	unpublished := int(math.Round(float64(prefilling) * float64(newsDelay+b.Tally.MaxDeferral()) / float64(shardDuration)))
	choices := shards
	for choices < min(shards+unpublished, len(candidates)) && candidates[choices].price <= candidates[shards-1].price+spreadMillis {
		choices++
	}
	gang := slices.Clone(candidates[:choices])
	if choices > shards {
		b.Random.Shuffle(choices, func(i, j int) { gang[i], gang[j] = gang[j], gang[i] })
		gang = gang[:shards]
	}
	lead := chooseLead(engine, gang, need)
	if !lead.canLead(engine, need) {
		lead = chooseLead(engine, candidates, need)
	}
	decision := choice{lead: lead.endpoint, firstEvent: clock.Millis(lead.price)}
	for _, c := range gang {
		if c != lead && len(decision.helpers) < shards-1 {
			decision.helpers = append(decision.helpers, c.endpoint)
			decision.firstEvent = max(decision.firstEvent, clock.Millis(c.price))
		}
	}
	return decision
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

// chooseLead returns the engine that has enough memory for the prompt and is predicted to
// finish an answer of mean length first.
func chooseLead(engine *plan.Engine, candidates []*candidate, need int) *candidate {
	price := func(c *candidate) float64 {
		total := c.price + cost.PassMillis(c.engine, c.load)*float64(engine.MeanOutputTokens)/float64(max(engine.StepsPerPass, 1))
		if !c.canLead(engine, need) {
			total += fullPenalty
		}
		return total
	}
	return slices.MinFunc(candidates, func(a, b *candidate) int { return cmp.Compare(price(a), price(b)) })
}

// canLead reports whether the engine has a free slot, and memory for the prompt and its
// answer.
func (c *candidate) canLead(engine *plan.Engine, need int) bool {
	return c.load.MemoryTokens+need <= engine.MemoryTokens && c.load.Leads < engine.Slots
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
