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
	// punctualShare is the fraction of the objective of a short prompt within which its first event must be
	// predicted for an engine to be on time in spite of requests that are not known yet.
	punctualShare = 0.8
	// spreadMillis is how much later the first event may be predicted at an engine that is
	// chosen to spread the load: a fifth of the objective of short prompts.
	spreadMillis = 60.0
	// maxPromptsForSpread is the number of unpublished prompts up to which spreadMillis
	// applies. It grows in proportion with more of them, because all of them may be at the
	// cheapest engine.
	maxPromptsForSpread = 4.0
	// priceJitter keeps entries that decide at the same time from choosing the same
	// engine.
	priceJitter = 0.05

	// urgencyShort and urgencyLong are the urgencies of short and long prompts at an engine;
	// 0 is the highest. urgencyOverShare is that of short prompts of organisations over their share.
	urgencyShort     = 3
	urgencyLong      = 5
	urgencyOverShare = 6
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
		// isCold reports whether the engine is cold. isBarred reports whether it is or was cold
		// and this entry may not send it a request now.
		isCold   bool
		isBarred bool
	}

	// scratch holds the memory of a decision, which is reused by later ones.
	scratch struct {
		endpoints  []*pool.Endpoint
		storage    []candidate
		candidates []*candidate
		byPrice    []*candidate
		// hasBounded reports whether a candidate is cold or barred.
		hasBounded bool
	}
)

var scratchPool = sync.Pool{New: func() any { return new(scratch) }}

// chooseEngine chooses the engines for a prompt. Short prompts run on an engine of the
// short size class; long prompts are sharded across engines of the long size class. If all
// engines are full, a short prompt is refused, unless it is a retry by the caller or by this
// entry. An oversized prompt that has to wait is refused when its caller would no longer wait for it.
func chooseEngine(b *board.Board, request *board.Request, engine *plan.Engine) choice {
	prompt := request.Request.PromptTokens
	need := prompt + estimateOutput(request.Request)
	memory := scratchPool.Get().(*scratch)
	defer scratchPool.Put(memory)
	isLong := cost.IsLong(engine, prompt)
	candidates := memory.listCandidates(b, request, engine)
	normal, slow := splitSlow(candidates, b.Now)
	short, long := splitSizeClasses(engine, normal)
	switch {
	case !memory.hasBounded:
	case isLong:
		short, long = withoutCold(short), withoutCold(long)
		if len(short)+len(long) == 0 {
			short = withoutCold(slow)
		}
		slow = nil
	default:
		short, long, slow = withPermit(short, long, slow)
	}
	count := len(short) + len(long) + len(slow)
	if count == 0 {
		return noEndpoint(b, request, isLong)
	}
	if need > engine.MemoryTokens*min(count, maxLeaseHolders+1) {
		if next := nextColdSend(b, request.Service, isLong); next != 0 {
			return awaitCold(b, request, next)
		}
		return choice{reason: call.ReasonPromptTooLong, retryAfter: FullRetryAfter}
	}
	if !isLong {
		decision := memory.chooseShort(b, short, long, slow, prompt, need, request.Route.Objective)
		decision.urgency = urgencyShort
		verdict, mustWait := judgeShare(b, request, decision)
		request.Share = verdict
		switch {
		case mustWait:
			return choice{reason: call.ReasonOverShare, retryAfter: shareRetryAfter(b, request)}
		case verdict.IsOver:
			decision.urgency = urgencyOverShare
		}
		if decision.isFull && !request.IsCallerRetry() && request.Runs == 0 {
			return choice{reason: call.ReasonOverload, retryAfter: b.RetryAfter(request)}
		}
		return decision
	}
	decision := chooseLong(b, engine, short, long, request, need)
	if decision.wait != "" && need > maxTokensPerEngine(engine) && decision.own.isTooLate(b, request) {
		return choice{reason: call.ReasonOverload, retryAfter: b.RetryAfter(request)}
	}
	decision.urgency = urgencyLong
	return decision
}

// listCandidates returns the usable engines in an order that all entries share.
func (s *scratch) listCandidates(b *board.Board, request *board.Request, engine *plan.Engine) []*candidate {
	s.endpoints = usableEndpoints(b, request, s.endpoints)
	s.storage = slices.Grow(s.storage[:0], len(s.endpoints))[:len(s.endpoints)]
	candidates := s.candidates[:0]
	s.hasBounded = false
	coldRate := b.Plan.Services[request.Service].ColdRate
	for i, endpoint := range s.endpoints {
		s.storage[i] = candidate{endpoint: endpoint, engine: engine, load: cost.EngineLoadOf(engine, endpoint, b.Now)}
		if pace := endpoint.Pace(b.Now); pace > 1 {
			s.storage[i].engine = engine.WithPace(pace)
		}
		if coldRate > 0 {
			s.storage[i].isCold = endpoint.IsCold(b.Now)
			s.storage[i].isBarred = !maySend(b, endpoint, coldRate)
			s.hasBounded = s.hasBounded || s.storage[i].isCold || s.storage[i].isBarred
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
	if len(candidates) == 0 {
		return nil, nil
	}
	shortPrompts := 0
	for _, c := range candidates {
		shortPrompts += c.load.ShortPrompts
	}
	perEngine := max(int(shortSlotShare*float64(engine.Slots)+0.5), 1)
	size := max((shortPrompts+spareShortPrompts+perEngine-1)/perEngine, minShortClass, len(candidates)/shortClassDivisor)
	size = min(size, largestShortClass(len(candidates)))
	return candidates[:size], candidates[size:]
}

// largestShortClass returns the largest size of the short size class of so many engines.
func largestShortClass(engines int) int {
	return max(engines-max(minLongClass, engines/longClassDivisor), 1)
}

// setShortPrice sets the price of a short prompt at the engine: the time to its first
// event, plus the decode time of a pass as the cost to the passes of other requests.
func (c *candidate) setShortPrice(prompt, need int) {
	first := cost.FirstEventMillis(c.engine, c.load, prompt, 1)
	c.firstEvent = clock.Millis(first)
	c.price = first + cost.DecodeMillis(c.engine, c.load)
	c.isFull = c.load.MemoryTokens+need > c.engine.MemoryTokens || c.load.Leads >= c.engine.Slots
}

// chooseShort chooses an engine for a short prompt by its price. It leaves the short size class only if none
// of its engines can be on time or the class is nearly full: an engine with a single answer can't prefill
// the shards of the longest prompts, since they would pause it. Engines outside the class cost more.
// Entries that decide within the delay of the news see the same loads, so each chooses at random among
// the cheapest engines. Their number is the estimated number of prompts whose load is not yet published,
// plus one.
func (s *scratch) chooseShort(b *board.Board, short, long, slow []*candidate, prompt, need int, objective clock.Millis) choice {
	punctual := clock.Millis(punctualShare * float64(objective))
	isClassPunctual, classLeads, classSlots := false, 0, 0
	byPrice := append(s.byPrice[:0], short...)
	byPrice = append(byPrice, long...)
	byPrice = append(byPrice, slow...)
	s.byPrice = byPrice
	shortPrompts, inFlight := 0, 0
	for i, c := range byPrice {
		shortPrompts += c.load.ShortPrompts
		inFlight += c.load.Leads
		c.setShortPrice(prompt, need)
		if i >= len(short) {
			c.price += longClassPenalty
		} else {
			classLeads += c.load.Leads
			classSlots += c.engine.Slots
			isClassPunctual = isClassPunctual || !c.isFull && c.firstEvent <= punctual
		}
		if c.isFull {
			c.price += fullPenalty
		}
		c.price *= 1 + priceJitter*b.Random.Float64()
	}
	delay := cost.NewsDelay + b.Tally.MaxDeferral()
	unpublished := int(math.Round(float64(shortPrompts) * float64(delay) / float64(cost.ShortRequestDuration)))
	if isClassPunctual && float64(classLeads) <= firstLimits.occupied*float64(classSlots) {
		byPrice = byPrice[:len(short)]
	}
	slices.SortFunc(byPrice, func(a, b *candidate) int { return cmp.Compare(a.price, b.price) })
	// The cheapest engine gets all unpublished prompts if the others cost much more.
	spread := spreadMillis * max(1, float64(unpublished)/maxPromptsForSpread)
	choices := 1
	// Permits keep entries from choosing the same cold engine at the same time.
	for !byPrice[0].endpoint.IsBounded(b.Now) && choices < min(1+unpublished, len(byPrice)) && byPrice[choices].price <= byPrice[0].price+spread {
		choices++
	}
	best := byPrice[b.Random.IntN(choices)]
	return choice{
		lead: best.endpoint, firstEvent: best.firstEvent, isFull: best.isFull, inFlight: inFlight,
		slots: best.engine.Slots * largestShortClass(len(short)+len(long)),
	}
}

// canLead reports whether the engine has a free slot, and memory for the prompt and its
// answer.
func (c *candidate) canLead(engine *plan.Engine, need int) bool {
	return c.load.MemoryTokens+need <= engine.MemoryTokens && c.load.Leads < engine.Slots
}
