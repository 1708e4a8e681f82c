package place

import (
	"slices"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/pool"
	"mustardhook/internal/flow/tally"
	"mustardhook/internal/flow/warm"
)

const (
	// heardTimeout is how long an entry counts as heard after its last message.
	heardTimeout = 2 * clock.Second
	// maxColdSleep is the longest time between two searches for a request that waits for cold
	// endpoints. Others may become usable meanwhile.
	maxColdSleep = 100 * clock.Millis(1)
	// partSearchStep is the step at which the first part of an entry in a growing rate is
	// looked for.
	partSearchStep = 250 * clock.Millis(1)
)

// maySend reports whether this entry may send a request to the endpoint now. coldRate is what a cold
// endpoint of the service tolerates.
func maySend(b *board.Board, endpoint *pool.Endpoint, coldRate float64) bool {
	if !endpoint.IsBounded(b.Now) {
		return true
	}
	until := endpoint.ColdUntil()
	rate, _ := warm.Rate(coldRate, until, b.Now)
	part, hasPart := partOf(b, endpoint, rate)
	if endpoint.BeginColdLog() {
		b.Log("Endpoint is cold.", "endpoint", endpoint.Name, "until", until, "left", max(until-b.Now, 0), "hasPart", hasPart,
			"interval", part.Interval)
	}
	return hasPart && b.Now >= endpoint.NextSend(part)
}

// partOf returns the part of this entry in the rate of the endpoint. A stopping entry has none: the
// others have given its place to the next one.
func partOf(b *board.Board, endpoint *pool.Endpoint, rate float64) (warm.Part, bool) {
	if b.Stopping || b.Now-b.StartedAt < warm.SettleTime {
		return warm.Part{}, false
	}
	return warm.PartOf(rate, endpoint.View(b.Now, func(run uint64) warm.View { return rankEntries(b, run) }))
}

// rankEntries ranks the known entries for a run of an endpoint. Entries that are silent keep their
// places until they are forgotten, since they may only be cut off from this one.
func rankEntries(b *board.Board, run uint64) warm.View {
	own := warm.Score(run, uint32(tally.EntryHashOf(b.Self)))
	view := warm.View{Known: 1, Heard: 1, Members: max(b.MaxMembers, len(b.Seeds))}
	for _, peer := range b.Peers {
		view.Members = max(view.Members, peer.News.Members)
		if peer.News.Leaving {
			continue
		}
		view.Known++
		if b.Now-peer.LastSeenAt <= heardTimeout {
			view.Heard++
		}
		if warm.Score(run, uint32(peer.EntryHash)) > own {
			view.Rank++
		}
	}
	return view
}

// withoutCold returns the engines that are not cold. A shard of a long prompt on a cold engine would
// delay all others; few enough are sent to need no permit afterwards.
func withoutCold(candidates []*candidate) []*candidate {
	return slices.DeleteFunc(slices.Clone(candidates), func(c *candidate) bool { return c.isCold })
}

// withPermit returns the engines to which this entry may send a short prompt now. Cold ones belong to
// the short size class, since they get no others.
func withPermit(short, long, slow []*candidate) (permittedShort, permittedLong, permittedSlow []*candidate) {
	for _, c := range short {
		if !c.isBarred {
			permittedShort = append(permittedShort, c)
		}
	}
	for _, c := range long {
		switch {
		case c.isBarred:
		case c.isCold:
			permittedShort = append(permittedShort, c)
		default:
			permittedLong = append(permittedLong, c)
		}
	}
	for _, c := range slow {
		if !c.isBarred {
			permittedSlow = append(permittedSlow, c)
		}
	}
	return permittedShort, permittedLong, permittedSlow
}

// nextColdSend returns when this entry may first send a request to an endpoint of the service that
// is out of use only because its rate is bounded, or zero if there is none. Long prompts are not sent
// to cold engines.
func nextColdSend(b *board.Board, service ident.Service, isLong bool) clock.Millis {
	coldRate := b.Plan.Services[service].ColdRate
	if coldRate == 0 {
		return 0
	}
	first := clock.Millis(0)
	for _, endpoint := range b.Pool.ByService(service) {
		until := endpoint.ColdUntil()
		if !endpoint.IsBounded(b.Now) || isLong && !endpoint.IsCold(b.Now) || !endpoint.IsUsable(b.Now) || b.Pool.IsUnreachable(endpoint.Domain) {
			continue
		}
		next := until
		if !isLong {
			next = nextSend(b, endpoint, coldRate, until)
		}
		if first == 0 || next < first {
			first = next
		}
	}
	return first
}

// nextSend returns when this entry may send the next request to a bounded endpoint.
func nextSend(b *board.Board, endpoint *pool.Endpoint, coldRate float64, until clock.Millis) clock.Millis {
	for at := b.Now; at < until+warm.RampTime; at += partSearchStep {
		rate, _ := warm.Rate(coldRate, until, at)
		if part, hasPart := partOf(b, endpoint, rate); hasPart {
			return max(at, endpoint.NextSend(part))
		}
	}
	return max(b.Now, until+warm.RampTime)
}

// awaitCold returns the decision on a request that this entry may send to a cold endpoint at the given
// time: it waits if it can't be refused any more, or if the time is within its objective.
func awaitCold(b *board.Board, request *board.Request, next clock.Millis) choice {
	latest := request.ArrivedAt + request.Route.Objective
	if request.Runs > 0 {
		latest = request.DeadlineAt - MinTimeLeft
	}
	if next > latest {
		return choice{reason: call.ReasonCold, retryAfter: max(spreadReturn(b, next), 1)}
	}
	return choice{wait: call.WaitCold, notBefore: min(max(next, b.Now+1), b.Now+maxColdSleep)}
}
