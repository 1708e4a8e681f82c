package peers

import (
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/cost"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/plan"
	"mustardhook/internal/flow/tally"
)

const (
	// PublishBurst is how far what is told may be ahead of the rate, in the time that the
	// rate takes for it. Work must be known while it is new, above all in a surge of
	// callers, which lasts ten seconds and trebles what there is to tell.
	PublishBurst = 20 * clock.Second
	// SnapshotInterval is the least time between two tellings of all work, which mend what
	// datagrams lost on their way.
	SnapshotInterval = 2 * clock.Second

	// contributionRateDivisor is the part of the rate of a hub at which an entry tells its own work.
	contributionRateDivisor = 4
	// snapshotIntervalFactor is how many times longer it is when there is much work, so that
	// it takes a third of the rate.
	snapshotIntervalFactor = 3
	// maxLoadsPerDatagram bounds the sums of one datagram, which is a few packets long.
	maxLoadsPerDatagram = 150
	// The usual lengths of the head of a datagram, of brief news, of a datagram with a
	// share, of the head of a part, of a sum and of the word that is in.
	datagramHeaderBytes  = 60
	newsBytes            = 50
	contributionBytes    = 80
	aggregateHeaderBytes = 20
	loadBytes            = 18
	acknowledgementBytes = 8
)

// publishToHub tells the hub of the own work and news.
func (c *publisher) publishToHub(b *board.Board, hub board.Member, own []input.News, isRound bool) {
	batch := input.Batch{Sender: b.Self, PassOn: true, News: own}
	if c.contributionLimit.isExhausted(b.Now) {
		c.send(b, []string{c.newsAddress(hub.Address)}, batch)
		return
	}
	if share, isNew := b.Tally.NextContribution(hub.Name, ownLoads(b), isRound); isNew {
		batch.Share = &share
		c.contributionLimit.charge(contributionBytes+loadBytes*len(share.Sums), b.Now)
	}
	c.send(b, []string{c.newsAddress(hub.Address)}, batch)
}

// addAggregates adds the work of the own failure domain, and what other hubs told of
// theirs. When more is told than the rate allows, work is told less often, and meanwhile
// rounds say only that the hub lives. News of other kinds is never held back.
func (c *publisher) addAggregates(b *board.Board, inside, outside *input.Batch, isRound bool) {
	scope := tally.ScopeDelta
	switch {
	case c.publishLimit.isExhausted(b.Now):
		c.isDeferred = true
		if !isRound {
			return
		}
		scope = tally.ScopeHeartbeat
	case isRound && b.Now >= c.nextSnapshotAt:
		scope = tally.ScopeSnapshot
	}
	if own, isNew := b.Tally.NextAggregate(scope); isNew {
		outside.Parts = []tally.Part{own}
		inside.Parts = []tally.Part{own}
	}
	inside.Parts = append(inside.Parts, b.Tally.ForwardAggregates(scope)...)
	if c.isDeferred {
		addDeferral(inside.Parts, b.Now-c.aggregatesSentAt)
		addDeferral(outside.Parts, b.Now-c.aggregatesSentAt)
	}
	if scope != tally.ScopeHeartbeat {
		c.aggregatesSentAt = b.Now
		c.isDeferred = false
	}
	size := encodedSize(inside.Parts)
	c.publishLimit.charge(size, b.Now)
	if scope == tally.ScopeSnapshot {
		c.nextSnapshotAt = b.Now + max(SnapshotInterval, snapshotIntervalFactor*c.publishLimit.duration(size))
	}
}

// addDeferral says for how much longer the parts were held back.
func addDeferral(parts []tally.Part, span clock.Millis) {
	for i := range parts {
		parts[i].Deferred += span
	}
}

// encodedSize estimates the bytes of the parts in a datagram.
func encodedSize(parts []tally.Part) int {
	size := 0
	for _, part := range parts {
		size += aggregateHeaderBytes + loadBytes*len(part.Sums) + acknowledgementBytes*len(part.Acknowledged)
	}
	return size
}

// ownLoads sums up the work of the entry itself.
func ownLoads(b *board.Board) tally.Sums {
	own := tally.Sums{}
	add := func(engine *plan.Engine, name ident.Endpoint, number uint64) {
		endpoint := b.Pool.Find(name)
		if endpoint == nil {
			return
		}
		if work, found := endpoint.Work[number]; found {
			own[endpoint.Mark()] = own[endpoint.Mark()].Plus(cost.SumOf(engine, work, b.Now))
		}
	}
	for number, request := range b.Requests {
		engine := b.Plan.Services[request.Service].Engine
		if engine == nil {
			continue
		}
		add(engine, request.Endpoint, number)
		for _, helper := range request.Helpers {
			add(engine, helper, number)
		}
	}
	return own
}
