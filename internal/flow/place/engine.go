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
	"mustardhook/internal/flow/pool"
)

const (
	// partRead is the reading time of a part that pauses of short answers bear.
	partRead = 100.0
	// bearableRead is the longest part that engines of the short lane read.
	bearableRead = 150.0
	// releaseUnread is how much an engine may still have to read, in milliseconds,
	// when the next part is sent to it.
	releaseUnread = 100.0
	// maxHelpers is the most endpoints that may help to read a prompt.
	maxHelpers = 16
	// shortShare is the part of its slots that an engine of the short lane takes on
	// before the lane grows; a request beyond the slots waits for a whole answer.
	shortShare = 0.55
	// spareShorts is room in the short lane for requests to come.
	spareShorts = 4
	// leastShortLane and leastLongLane are the smallest sizes of the lanes. The short one
	// has at least an eighth of the engines: in large fleets the count of short prompts is
	// seconds old.
	leastShortLane = 2
	leastLongLane  = 3
	shortLaneParts = 8
	// fullPenalty puts engines without room behind all that have some.
	fullPenalty = 1e5
	// foreignPenalty is what a short prompt's place in the long lane costs, in
	// milliseconds: its events would wait for parts of long prompts.
	foreignPenalty = 200
	// leastGiantLane is the fewest engines that read a prompt over one engine's
	// memory together.
	leastGiantLane = 3
	// holdParts is the part of its objective that a giant prompt waits for spare
	// engines.
	holdParts = 8
	// maxHolders is the most helpers that keep a part of a prompt's memory.
	maxHolders = 4
	// memoryMargin is the part of an engine's memory that is left for errors of the
	// estimate.
	memoryMargin = 0.03
	// newsDelay is how long it takes until all entries know of a send: two hubs gather
	// changes for 25 ms each, and three datagrams are on their way.
	newsDelay = 60 * clock.Millis(1)
	// spreadMillis is how much later a first event may be predicted at an engine that
	// is taken for others' sake: a fifth of the objective of short prompts.
	spreadMillis = 60.0
	// spreadUnseen is up to how many unseen prompts spreadMillis holds; it grows in
	// proportion with more of them, since they may all be on the cheapest engine.
	spreadUnseen = 4.0
	// jitter keeps entries that decide at one instant from choosing alike.
	jitter = 0.05

	urgencyShort = 3
	urgencyLong  = 5
)

type (
	// candidate is an engine with what it runs.
	candidate struct {
		endpoint *pool.Endpoint
		// engine is how the endpoint works at its present pace.
		engine *plan.Engine
		load   cost.Load
		price  float64
		first  clock.Millis
		isFull bool
	}
)

// chooseEngine places a prompt. Short ones go to the lane of short prompts; long
// ones are read in parts by the engines of the other lane.
func chooseEngine(b *board.Board, request *board.Request, engine *plan.Engine) choice {
	prompt := request.Request.PromptTokens
	need := prompt + outputTokens(request.Request)
	candidates := survey(b, request, engine)
	if len(candidates) == 0 {
		return choice{reason: call.ReasonNoEndpoint, retryAfter: FullWait}
	}
	if need > engine.MemoryTokens*min(len(candidates), maxHolders+1) {
		return choice{reason: call.ReasonTooLong, retryAfter: FullWait}
	}
	sound, slow := splitSlow(candidates, b.Now)
	short, long := lanes(engine, sound)
	if !cost.IsLong(engine, prompt) {
		found := cheapest(b, short, long, slow, prompt, need)
		found.urgency = urgencyShort
		if found.isFull && !request.HasComeBack() && request.Runs == 0 {
			return choice{reason: call.ReasonOverload, retryAfter: b.RetryAfter(request)}
		}
		return found
	}
	found := gather(b, engine, short, long, request, need)
	found.urgency = urgencyLong
	return found
}

// survey lists the usable engines in an order that all entries share.
func survey(b *board.Board, request *board.Request, engine *plan.Engine) []*candidate {
	endpoints := usable(b, request)
	found := make([]candidate, len(endpoints))
	candidates := make([]*candidate, len(endpoints))
	for i, endpoint := range endpoints {
		found[i] = candidate{endpoint: endpoint, engine: engine, load: cost.LoadOf(engine, endpoint, b.Now)}
		if pace := endpoint.Pace(b.Now); pace > 1 {
			found[i].engine = engine.WithPace(pace)
		}
		candidates[i] = &found[i]
	}
	return candidates
}

// splitSlow keeps engines apart that report a slow pace: a part of a long prompt
// that is read there holds up all others, and short prompts go there last. When
// most are slow, the pace tells nothing apart.
func splitSlow(candidates []*candidate, now clock.Millis) (sound, slow []*candidate) {
	isSlow := func(found *candidate) bool { return found.endpoint.Pace(now) >= pool.SlowPace }
	if !slices.ContainsFunc(candidates, isSlow) {
		return candidates, nil
	}
	for _, found := range candidates {
		if isSlow(found) {
			slow = append(slow, found)
			continue
		}
		sound = append(sound, found)
	}
	if len(sound) <= len(slow) {
		return candidates, nil
	}
	return sound, slow
}

// lanes divides the engines between short and long prompts by the short ones that
// came lately: those that are held up must not make their lane larger.
func lanes(engine *plan.Engine, candidates []*candidate) (short, long []*candidate) {
	shorts := 0
	for _, found := range candidates {
		shorts += found.load.Shorts
	}
	perEngine := max(int(shortShare*float64(engine.Slots)+0.5), 1)
	size := max((shorts+spareShorts+perEngine-1)/perEngine, leastShortLane, len(candidates)/shortLaneParts)
	size = min(size, max(len(candidates)-leastLongLane, 1))
	return candidates[:size], candidates[size:]
}

// priceShort prices a short prompt at the engine: its own wait, and what it adds to
// the passes of others.
func (c *candidate) priceShort(prompt, need int) {
	first := cost.FirstMillis(c.engine, c.load, prompt, 1)
	c.first = clock.Millis(first)
	c.price = first + cost.StrideMillis(c.engine, c.load)
	c.isFull = c.load.MemoryTokens+need > c.engine.MemoryTokens || c.load.Leads >= c.engine.Slots
}

// cheapest takes an engine with an early predicted first event; those of the
// other lane count for more. Entries that decide within the time that news takes
// see the same loads, so each takes one of as many engines as were likely chosen
// in that time.
func cheapest(b *board.Board, short, long, slow []*candidate, prompt, need int) choice {
	byPrice := make([]*candidate, 0, len(short)+len(long)+len(slow))
	byPrice = append(byPrice, short...)
	byPrice = append(byPrice, long...)
	byPrice = append(byPrice, slow...)
	shorts := 0
	for i, found := range byPrice {
		shorts += found.load.Shorts
		found.priceShort(prompt, need)
		if i >= len(short) {
			found.price += foreignPenalty
		}
		if found.isFull {
			found.price += fullPenalty
		}
		found.price *= 1 + jitter*b.Random.Float64()
	}
	slices.SortFunc(byPrice, func(a, b *candidate) int { return cmp.Compare(a.price, b.price) })
	delay := newsDelay + b.Tally.MaxDeferral()
	unseen := int(math.Round(float64(shorts) * float64(delay) / float64(cost.ShortSpan)))
	// The cheapest engine gets all unseen prompts when the others cost much more.
	spread := spreadMillis * max(1, float64(unseen)/spreadUnseen)
	near := 1
	for near < min(1+unseen, len(byPrice)) && byPrice[near].price <= byPrice[0].price+spread {
		near++
	}
	best := byPrice[b.Random.IntN(near)]
	return choice{lead: best.endpoint, first: best.first, isFull: best.isFull}
}

// gather finds the engines that read a long prompt together and the one among
// them that writes its answer. The prompt waits while others have an earlier turn
// or the engines have much to read: parts that pile up make one long pass.
func gather(
	b *board.Board, engine *plan.Engine, short, long []*candidate, request *board.Request, need int,
) choice {
	prompt := request.Request.PromptTokens
	parts := min(max(int(math.Ceil(cost.ReadMillis(engine, prompt, 1)/partRead)), 1), maxHelpers+1)
	members := slices.Clone(long)
	// Engines of the short lane help while their pauses bear the part.
	all := min(len(long)+len(short), maxHelpers+1)
	if len(members) < parts && cost.ReadMillis(engine, prompt, all) <= bearableRead {
		rest := slices.Clone(short)
		slices.SortStableFunc(rest, func(a, b *candidate) int { return cmp.Compare(a.load.Writers, b.load.Writers) })
		members = append(members, rest[:min(parts-len(members), len(rest))]...)
	}
	isGiant := need > wholeShare(engine)
	spared := spare(engine, members, prompt, parts)
	isSpared := isOnTime(b, spared, request, parts)
	if isSpared {
		members = spared
	}
	line := queueOf(b, engine, request, len(members))
	if isGiant && (!isSpared && !request.HasComeBack() || len(spared) < leastGiantLane || len(line) > 1) {
		return holdBriefly(b, request)
	}
	if isGiant {
		members = spared
	}
	parts = min(parts, len(members))
	for _, found := range members {
		found.price = cost.FirstMillis(found.engine, found.load, prompt, parts) * (1 + jitter*b.Random.Float64())
	}
	lead := leadOf(engine, members, need)
	slices.SortStableFunc(members, func(a, b *candidate) int { return cmp.Compare(a.price, b.price) })
	result := choice{lead: lead.endpoint, first: clock.Millis(lead.price)}
	unread := lead.load.UnreadMillis
	for _, found := range members {
		if found != lead && len(result.helpers) < parts-1 {
			result.helpers = append(result.helpers, found.endpoint)
			result.first = max(result.first, clock.Millis(found.price))
			unread = max(unread, found.load.UnreadMillis)
		}
	}
	own := line.placeOf(b, request)
	switch {
	case request.Runs == 0 && own.startAt > b.Now+(request.UntilAt()-b.Now)/2:
		return choice{reason: call.ReasonOverload, retryAfter: b.RetryAfter(request)}
	case unread > releaseUnread:
		request.RoomAt = 0
		return choice{}
	case !mayGo(b, request, own):
		return choice{}
	}
	if isGiant {
		return divide(engine, members, result, need)
	}
	return result
}

// holdBriefly lets a giant prompt wait for a moment with spare engines, and then
// refuses it: it takes as much reading as ten others.
func holdBriefly(b *board.Board, request *board.Request) choice {
	if request.Runs == 0 && b.Now-request.CameAt > request.Route.Objective/holdParts {
		return choice{reason: call.ReasonOverload, retryAfter: b.RetryAfter(request)}
	}
	return choice{}
}

// spare leaves out engines whose writers would pause too long while they read an
// equal part of the prompt.
func spare(engine *plan.Engine, members []*candidate, prompt, parts int) []*candidate {
	spared := slices.Clone(members)
	for {
		part := cost.ReadMillis(engine, prompt, min(parts, len(spared)))
		before := len(spared)
		spared = slices.DeleteFunc(spared, func(c *candidate) bool { return c.load.Bearable < part })
		if len(spared) == before || len(spared) == 0 {
			return spared
		}
	}
}

// isOnTime reports whether the engines read the prompt until it is due.
func isOnTime(b *board.Board, members []*candidate, request *board.Request, parts int) bool {
	parts = min(parts, len(members))
	for _, found := range members {
		first := cost.FirstMillis(found.engine, found.load, request.Request.PromptTokens, parts)
		if b.Now+clock.Millis(first) > request.DueAt() {
			return false
		}
	}
	return len(members) > 0
}

// mayGo reports whether it is the prompt's turn, or it has waited for its turn
// too long while there was room.
func mayGo(b *board.Board, request *board.Request, own place) bool {
	if request.RoomAt == 0 {
		request.RoomAt = b.Now
	}
	return own.isFirst || own.isOnTime && b.Now-request.RoomAt > TurnSpan
}

// leadOf takes the engine that has the memory for the prompt and writes soonest.
func leadOf(engine *plan.Engine, members []*candidate, need int) *candidate {
	price := func(found *candidate) float64 {
		total := found.price + cost.PassMillis(found.engine, found.load)*float64(engine.MeanOutputTokens)/float64(max(engine.StepsPerPass, 1))
		if found.load.MemoryTokens+need > engine.MemoryTokens || found.load.Leads >= engine.Slots {
			total += fullPenalty
		}
		return total
	}
	return slices.MinFunc(members, func(a, b *candidate) int { return cmp.Compare(price(a), price(b)) })
}

// wholeShare is the largest prompt and answer that one engine keeps alone.
func wholeShare(engine *plan.Engine) int {
	return int(float64(engine.MemoryTokens) * (1 - memoryMargin))
}

// divide lets helpers keep parts of a memory that is too large for one engine. It
// takes the engines with the most room, as few as will do, or waits for room.
func divide(engine *plan.Engine, members []*candidate, found choice, need int) choice {
	free := func(c *candidate) int { return wholeShare(engine) - c.load.MemoryTokens }
	byRoom := slices.Clone(members)
	slices.SortStableFunc(byRoom, func(a, b *candidate) int { return cmp.Compare(free(b), free(a)) })
	room := 0
	holders := 0
	for holders < len(byRoom) && holders <= maxHolders && room < need {
		room += max(free(byRoom[holders]), 0)
		holders++
	}
	if room < need {
		return choice{}
	}
	divided := choice{lead: byRoom[0].endpoint, first: found.first, leases: map[*pool.Endpoint]int{}}
	rest := need - free(byRoom[0])
	for _, holder := range byRoom[1:holders] {
		leased := min(max(need/holders, rest), free(holder))
		divided.leases[holder.endpoint] = leased
		divided.helpers = append(divided.helpers, holder.endpoint)
		rest -= leased
	}
	for _, reader := range append([]*pool.Endpoint{found.lead}, found.helpers...) {
		isIn := reader == divided.lead || slices.Contains(divided.helpers, reader)
		if !isIn && len(divided.helpers) < maxHelpers {
			divided.helpers = append(divided.helpers, reader)
		}
	}
	return divided
}
