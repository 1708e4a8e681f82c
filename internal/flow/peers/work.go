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
	// PublishBurst is the burst by which published data may exceed its rate, as the time
	// that the rate takes for it. Loads are useful only while they are recent, above all
	// in a surge of requests, which lasts ten seconds and triples the data to publish.
	PublishBurst = 20 * clock.Second
	// SnapshotInterval is the minimum time between two snapshots of all loads, which
	// repair the effects of lost datagrams.
	SnapshotInterval = 2 * clock.Second

	// contributionRateDivisor divides the rate of a hub to give the rate at which an
	// entry sends contributions.
	contributionRateDivisor = 4
	// snapshotIntervalFactor is the minimum ratio of the snapshot interval to the time
	// that the rate takes for a snapshot. Large snapshots thus use a third of the rate.
	snapshotIntervalFactor = 3
	// maxLoadsPerDatagram bounds the loads in one datagram, which then takes a few
	// packets.
	maxLoadsPerDatagram = 150
	// Typical encoded sizes in bytes: the header of a datagram, brief news, a datagram
	// with a contribution, the header of an aggregate, a load and an acknowledgement.
	datagramHeaderBytes  = 60
	newsBytes            = 50
	contributionBytes    = 80
	aggregateHeaderBytes = 20
	loadBytes            = 18
	acknowledgementBytes = 8
)

// publishToHub sends this entry's contribution and news to its hub. The contribution is
// left out while its rate limit is exhausted.
func (p *publisher) publishToHub(b *board.Board, hub board.Member, own []input.News, isRound bool) {
	batch := input.Batch{Sender: b.Self, Forward: true, News: own}
	if p.areCostsDue(b, isRound) {
		batch.Costs = b.Costs.TakeOwn()
		p.contributionLimit.charge(costBytes*len(batch.Costs), b.Now)
	}
	if p.contributionLimit.isExhausted(b.Now) {
		p.send(b, []string{p.newsAddress(hub.Address)}, batch)
		return
	}
	if contribution, isNew := b.Tally.NextContribution(hub.Name, ownLoads(b), isRound); isNew {
		batch.Contribution = &contribution
		p.contributionLimit.charge(contributionBytes+loadBytes*len(contribution.Loads), b.Now)
	}
	p.send(b, []string{p.newsAddress(hub.Address)}, batch)
}

// addAggregates adds the aggregate of this failure domain and those of other hubs. While
// the rate limit is exhausted, loads are sent less often, and rounds only show that the
// hub is alive. News of other kinds is never deferred.
func (p *publisher) addAggregates(b *board.Board, toMembers, toHubs *input.Batch, isRound bool) {
	scope := tally.ScopeDelta
	switch {
	case p.publishLimit.isExhausted(b.Now):
		p.isDeferred = true
		if !isRound {
			return
		}
		scope = tally.ScopeHeartbeat
	case isRound && b.Now >= p.nextSnapshotAt:
		scope = tally.ScopeSnapshot
	}
	if own, isNew := b.Tally.NextAggregate(scope); isNew {
		toHubs.Aggregates = []tally.Aggregate{own}
		toMembers.Aggregates = []tally.Aggregate{own}
	}
	toMembers.Aggregates = append(toMembers.Aggregates, b.Tally.TakeUpdatedAggregates(scope)...)
	if p.isDeferred {
		addDeferral(toMembers.Aggregates, b.Now-p.aggregatesSentAt)
		addDeferral(toHubs.Aggregates, b.Now-p.aggregatesSentAt)
	}
	if scope != tally.ScopeHeartbeat {
		p.aggregatesSentAt = b.Now
		p.isDeferred = false
	}
	size := encodedSize(toMembers.Aggregates)
	p.publishLimit.charge(size, b.Now)
	if scope == tally.ScopeSnapshot {
		p.nextSnapshotAt = b.Now + max(SnapshotInterval, snapshotIntervalFactor*p.publishLimit.duration(size))
	}
}

// addDeferral adds the time for which this entry deferred the aggregates.
func addDeferral(aggregates []tally.Aggregate, delay clock.Millis) {
	for i := range aggregates {
		aggregates[i].Deferred += delay
	}
}

// encodedSize estimates the size of the aggregates in a datagram, in bytes.
func encodedSize(aggregates []tally.Aggregate) int {
	size := 0
	for _, aggregate := range aggregates {
		size += aggregateHeaderBytes + loadBytes*len(aggregate.Loads) + acknowledgementBytes*len(aggregate.Acknowledged)
	}
	return size
}

// ownLoads adds up the work of this entry by endpoint, and the use of groups that share services.
func ownLoads(b *board.Board) tally.Loads {
	own := tally.Loads{}
	add := func(engine *plan.Engine, name ident.Endpoint, number uint64) {
		endpoint := b.Pool.Find(name)
		if endpoint == nil {
			return
		}
		if work, ok := endpoint.Work[number]; ok {
			own[endpoint.Hash()] = own[endpoint.Hash()].Add(cost.LoadOfWork(engine, work, b.Now))
		}
	}
	for number, request := range b.Requests {
		engine := b.Plan.Services[request.Service].Engine
		if engine == nil {
			addPlain(b, own, request)
			continue
		}
		add(engine, request.Endpoint, number)
		for _, helper := range request.Helpers {
			add(engine, helper, number)
		}
	}
	if b.Plan.HasShares {
		for hash, load := range b.Shares.Publish(b.OwnUse, b.Now) {
			if b.Pool.ByHash()[hash] == nil {
				own[hash] = load
			}
		}
	}
	return own
}

// addPlain adds the work of a request at a plain service if it takes long enough.
func addPlain(b *board.Board, loads tally.Loads, request *board.Request) {
	if !request.IsPriced || request.Endpoint == "" {
		return
	}
	endpoint := b.Pool.Find(request.Endpoint)
	if endpoint == nil {
		return
	}
	if load := cost.PlainLoad(endpoint.Work[request.Request.Number], b.Now); load.Leads > 0 {
		loads[endpoint.Hash()] = loads[endpoint.Hash()].Add(load)
	}
}
