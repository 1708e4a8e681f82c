package peers

import (
	"maps"
	"net"
	"slices"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/output"
	"mustardhook/internal/flow/tally"
)

const (
	// RoundInterval is the time between two rounds: state is published in each round even
	// if nothing changed.
	RoundInterval = 300 * clock.Millis(1)
	// MinBatchInterval is the minimum time between two batches of changes.
	MinBatchInterval = 25 * clock.Millis(1)
	// SeedInterval is the time between two messages to seeds that are not live peers.
	SeedInterval = 2 * clock.Second
	// FullNewsInterval is the time between two messages with those properties of the
	// entry that seldom change.
	FullNewsInterval = 1 * clock.Second
	// ForwardTTL is how long an entry forwards news after it was last requested to.
	ForwardTTL = 1 * clock.Second

	// recentEvidence is how long all news of an entry has what it found out about requests that crash
	// endpoints. Later, only full news has.
	recentEvidence = 1 * clock.Second

	// fullNewsPerRound is the number of entries whose full news a hub sends in each
	// round, which makes ten per second.
	fullNewsPerRound = 3
	// maxNewsPerDatagram bounds the news in one datagram.
	maxNewsPerDatagram = 40
)

type (
	// publisher is the controller that publishes state. The hub of a failure domain
	// forwards the news of the entries there, to these entries and to the hubs of the
	// other domains. The number of datagrams that an entry sends therefore doesn't grow
	// with the number of entries.
	publisher struct {
		port             string
		sequence         uint64
		publishedAt      clock.Millis
		roundAt          clock.Millis
		seedsContactedAt clock.Millis
		timerFiresAt     clock.Millis
		// fullNewsAt is when full news of this entry was last sent. fullNewsCursor
		// selects the peers whose full news is sent next.
		fullNewsAt     clock.Millis
		fullNewsCursor int
		// hub is the entry that forwards news in this entry's failure domain.
		hub      ident.Entry
		hubSince clock.Millis
		// forwardRequestedAt is when a peer last requested that this entry forward news.
		forwardRequestedAt clock.Millis
		// changed are the entries whose news was not forwarded yet.
		changed map[ident.Entry]change
		// domains holds what hubs last reported about the failure domains.
		domains map[ident.Domain]domainStatus
		// isForwarding reports whether the entry forwards news.
		isForwarding bool
		// publishLimit bounds the data that a hub sends to each entry, contributionLimit
		// the contributions of an entry to its hub.
		publishLimit      rateLimiter
		contributionLimit rateLimiter
		// nextSnapshotAt is when all loads are sent again.
		nextSnapshotAt clock.Millis
		// aggregatesSentAt is when loads were last sent. isDeferred reports whether some
		// were deferred since.
		aggregatesSentAt clock.Millis
		isDeferred       bool
		// nextCostsAt is when evidence on costs is next published.
		nextCostsAt clock.Millis
	}

	// change describes news that has to be forwarded.
	change struct {
		// isDirect reports whether the news was received from the entry itself. Other failure
		// domains have not received it in that case.
		isDirect bool
		// isFull reports whether the news must be sent in full because others may not
		// know the entry.
		isFull bool
	}
)

func (p *publisher) markChanged(entry ident.Entry, next change) {
	previous := p.changed[entry]
	p.changed[entry] = change{previous.isDirect || next.isDirect, previous.isFull || next.isFull}
}

func (p *publisher) publish(b *board.Board) {
	isPending := b.WorkChanged || b.NewsChanged || len(p.changed) > 0 || p.isForwarding && b.Tally.HasPending()
	isRound := b.Now-p.roundAt >= RoundInterval
	if !isRound && (!isPending || b.Now-p.publishedAt < MinBatchInterval) {
		p.scheduleTimer(b, isPending)
		return
	}
	p.distribute(b, isRound)
	p.contactSeeds(b)
	p.publishedAt = b.Now
	if isRound {
		p.roundAt = b.Now
	}
	b.WorkChanged = false
	b.NewsChanged = false
}

// ownNews returns this entry's news, or nil if there is none to send.
func (p *publisher) ownNews(b *board.Board, isRound bool) []input.News {
	if !isRound && !b.NewsChanged {
		return nil
	}
	isFull := b.Now-p.fullNewsAt >= FullNewsInterval
	if isFull {
		p.fullNewsAt = b.Now
	}
	return []input.News{p.buildNews(b, isFull)}
}

// distribute sends this entry's state to its hub. It also forwards news if the entry is
// the hub, or if a peer considers it to be the hub.
func (p *publisher) distribute(b *board.Board, isRound bool) {
	p.publishLimit.rate = b.Settings.NewsRate
	p.contributionLimit.rate = b.Settings.NewsRate / contributionRateDivisor
	own := p.ownNews(b, isRound)
	hub, ok := p.chooseHub(b)
	isHub := !ok || hub.Peer == nil
	if isHub {
		b.Tally.ActAsHub(ownLoads(b))
	} else {
		b.Tally.ActAsMember()
		p.publishToHub(b, hub, own, isRound)
	}
	isRequested := p.forwardRequestedAt != 0 && b.Now-p.forwardRequestedAt <= ForwardTTL
	p.isForwarding = isHub || isRequested || b.Tally.HasContributions()
	if !p.isForwarding {
		clear(p.changed)
		b.Tally.DiscardPending()
		b.Costs.DropRemote()
		return
	}
	p.forward(b, own, isHub, isRound)
}

// scheduleTimer sets a timer for the time at which pending changes may be sent.
func (p *publisher) scheduleTimer(b *board.Board, isPending bool) {
	if isPending && p.timerFiresAt <= b.Now {
		p.timerFiresAt = p.publishedAt + MinBatchInterval
		b.Emit(output.SetTimer{After: p.timerFiresAt - b.Now})
	}
}

// forward sends all changes to the entries of this failure domain, and the changes within
// this failure domain to the hubs of the others.
func (p *publisher) forward(b *board.Board, own []input.News, isHub, isRound bool) {
	if isRound && isHub {
		p.scheduleFullNews(b)
	}
	toMembers := input.Batch{Sender: b.Self, News: slices.Clone(own)}
	toHubs := input.Batch{Sender: b.Self, Forward: true}
	if isHub {
		toHubs.News = slices.Clone(own)
	}
	for _, name := range slices.Sorted(maps.Keys(p.changed)) {
		peer := b.Peers[name]
		if peer == nil {
			continue
		}
		news := peer.News
		if !p.changed[name].isFull {
			news = news.Brief()
		}
		toMembers.News = append(toMembers.News, news)
		if p.changed[name].isDirect {
			toHubs.News = append(toHubs.News, news)
		}
	}
	clear(p.changed)
	if isRound {
		p.addLiveness(b, &toMembers, &toHubs)
	}
	p.publishLimit.charge(datagramHeaderBytes+newsBytes*len(toMembers.News), b.Now)
	p.addAggregates(b, &toMembers, &toHubs, isRound)
	if isHub && p.areCostsDue(b, isRound) {
		p.addCosts(b, &toMembers, &toHubs)
	}
	p.send(b, p.memberAddresses(b), toMembers)
	p.send(b, p.hubAddresses(b), toHubs)
}

func (p *publisher) memberAddresses(b *board.Board) []string {
	var addresses []string
	for _, member := range b.Roster(b.Domain) {
		if member.Peer != nil {
			addresses = append(addresses, p.newsAddress(member.Address))
		}
	}
	return addresses
}

func (p *publisher) hubAddresses(b *board.Board) []string {
	var addresses []string
	for _, hub := range remoteHubs(b) {
		addresses = append(addresses, p.newsAddress(hub.Address))
	}
	return addresses
}

// scheduleFullNews selects the next few live peers in turn and marks them for full news,
// for entries that missed it earlier.
func (p *publisher) scheduleFullNews(b *board.Board) {
	names := slices.Sorted(maps.Keys(b.Peers))
	for range min(fullNewsPerRound, len(names)) {
		p.fullNewsCursor++
		name := names[p.fullNewsCursor%len(names)]
		if peer := b.Peers[name]; isLive(b, peer) {
			p.markChanged(name, change{isDirect: peer.News.Domain == b.Domain, isFull: true})
		}
	}
}

// contactSeeds sends full news of this entry to seeds that are not live peers.
func (p *publisher) contactSeeds(b *board.Board) {
	if b.Now-p.seedsContactedAt < SeedInterval && (liveCount(b) > 0 || b.Now-p.seedsContactedAt < RoundInterval) {
		return
	}
	excluded := map[string]bool{b.Address: true}
	for _, peer := range b.Peers {
		if isLive(b, peer) {
			excluded[peer.News.Address] = true
		}
	}
	var addresses []string
	for _, seed := range b.Seeds {
		if !excluded[seed] {
			addresses = append(addresses, p.newsAddress(seed))
		}
	}
	p.seedsContactedAt = b.Now
	if len(addresses) > 0 {
		p.sendFullNews(b, addresses)
	}
}

// sendFullNews sends full news of this entry to the addresses, with the request to
// forward it.
func (p *publisher) sendFullNews(b *board.Board, addresses []string) {
	p.send(b, addresses, input.Batch{Sender: b.Self, Forward: true, News: []input.News{p.buildNews(b, true)}})
}

// send emits the batch as datagrams of bounded size. The first one carries everything but
// the news and aggregates that don't fit.
func (p *publisher) send(b *board.Board, addresses []string, batch input.Batch) {
	isEmpty := len(batch.News) == 0 && len(batch.DomainsSeenAt) == 0 && batch.Contribution == nil && len(batch.Aggregates) == 0 &&
		len(batch.Costs) == 0
	if len(addresses) == 0 || isEmpty {
		return
	}
	slices.Sort(addresses)
	var fragments []tally.Aggregate
	for _, aggregate := range batch.Aggregates {
		fragments = append(fragments, aggregate.Split(maxLoadsPerDatagram)...)
	}
	remaining := batch.News
	for {
		batch.News = remaining[:min(len(remaining), maxNewsPerDatagram)]
		batch.Aggregates = firstFitting(fragments)
		b.Emit(output.SendBatch{Addresses: addresses, Batch: batch})
		remaining = remaining[len(batch.News):]
		fragments = fragments[len(batch.Aggregates):]
		if len(remaining) == 0 && len(fragments) == 0 {
			return
		}
		batch.DomainsSeenAt = nil
		batch.Missing = nil
		batch.Contribution = nil
		batch.Costs = nil
	}
}

// firstFitting returns the leading fragments that fit into one datagram. It returns at
// least one if there are any.
func firstFitting(fragments []tally.Aggregate) []tally.Aggregate {
	loads := 0
	for i, fragment := range fragments {
		loads += len(fragment.Loads)
		if loads > maxLoadsPerDatagram && i > 0 {
			return fragments[:i]
		}
	}
	return fragments
}

func (p *publisher) newsAddress(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return net.JoinHostPort(host, p.port)
}

func (p *publisher) buildNews(b *board.Board, isFull bool) input.News {
	p.sequence++
	news := input.News{
		Entry: b.Self, Epoch: b.Epoch, Sequence: p.sequence, PlanVersion: b.Plan.Version, ListAt: b.ListAt,
		ConfirmedAt: b.ConfirmedAt, Leaving: b.Stopping, LeavingEndpoints: b.Pool.RecentlyLeaving(b.Now),
		FailureCounts: b.Pool.RecentFailures(b.Now),
		Paces:         b.Pool.RecentReports(b.Now),
		Pauses:        b.Pool.Pauses(b.Now),
	}
	for _, number := range slices.Sorted(maps.Keys(b.Requests)) {
		if request := b.Requests[number]; request.Queued {
			news.QueuedPrompts = append(news.QueuedPrompts, request.QueuedPrompt())
		}
	}
	since := b.Now - recentEvidence
	if isFull {
		since = 0
	}
	news.Crashes = b.Blame.OwnCrashes(since)
	news.Acquittals = b.Blame.Acquittals(since)
	news.Verdicts = b.Blame.Verdicts(since)
	news.Losses = b.Blame.OwnLosses(since)
	news.RequestAcquittals = b.Blame.RequestAcquittals(since)
	if !isFull {
		return news
	}
	news.RequestVerdicts = b.Blame.RequestVerdicts(b.Now)
	news.Domain = b.Domain
	news.Address = b.Address
	news.Capacity = b.Capacity
	news.Members = b.MaxMembers
	news.HubAddresses = p.knownHubAddresses(b)
	return news
}

// knownHubAddresses returns the sorted addresses of the hubs of all failure domains, with
// which an entry that starts finds its own hub.
func (p *publisher) knownHubAddresses(b *board.Board) []string {
	var addresses []string
	for _, remote := range remoteHubs(b) {
		addresses = append(addresses, remote.Address)
	}
	if hub := b.Peers[p.hub]; hub != nil {
		addresses = append(addresses, hub.News.Address)
	}
	slices.Sort(addresses)
	return addresses
}
