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
	// RoundSpan is the time between two tellings when nothing changed.
	RoundSpan = 300 * clock.Millis(1)
	// MinBatchInterval is the shortest time between two tellings of changes.
	MinBatchInterval = 25 * clock.Millis(1)
	// SeedInterval is the time between two tellings to seeds that were not heard of.
	SeedInterval = 2 * clock.Second
	// FullNewsInterval is the time between two tellings of what seldom changes of the
	// entry itself.
	FullNewsInterval = 1 * clock.Second
	// ForwardTTL is how long an entry passes news on after it was asked to.
	ForwardTTL = 1 * clock.Second

	// fullNewsPerRound is of how many entries a hub tells all in a round: ten a second.
	fullNewsPerRound = 3
	// maxNewsPerDatagram bounds the news of one datagram.
	maxNewsPerDatagram = 40
)

type (
	// publisher tells of what others have decided. The hub of a failure domain passes on
	// what the entries there tell, to them and to the hubs of the other domains, so
	// that the datagrams of an entry do not grow with the number of entries.
	publisher struct {
		port             string
		sequence         uint64
		publishedAt      clock.Millis
		roundAt          clock.Millis
		seedsContactedAt clock.Millis
		wakesAt          clock.Millis
		// fullNewsAt is when whole news of the entry was told, and nextWhole counts the
		// others whose whole news was.
		fullNewsAt     clock.Millis
		fullNewsCursor int
		// hub is the entry that passes news on in the own failure domain.
		hub      ident.Entry
		hubSince clock.Millis
		// forwardRequestedAt is when another entry last asked this one to pass news on.
		forwardRequestedAt clock.Millis
		// changed are the entries whose news was not passed on yet.
		changed map[ident.Entry]change
		// domains holds what hubs last said of the failure domains.
		domains map[ident.Domain]domainStatus
		// isForwarding says that the entry passes news on.
		isForwarding bool
		// publishLimit bounds what the hub tells each entry, shares what the entry tells its hub.
		publishLimit      rateLimiter
		contributionLimit rateLimiter
		// nextSnapshotAt is when all work is told again.
		nextSnapshotAt clock.Millis
		// aggregatesSentAt is when work was last told, and isHeld says that it was held back since.
		aggregatesSentAt clock.Millis
		isDeferred       bool
	}

	// change says how news came that must be passed on.
	change struct {
		// isDirect says that the entry itself told it: other domains have not heard it.
		isDirect bool
		// isFull says that others may not know the entry.
		isFull bool
	}
)

func (c *publisher) markChanged(entry ident.Entry, found change) {
	known := c.changed[entry]
	c.changed[entry] = change{known.isDirect || found.isDirect, known.isFull || found.isFull}
}

func (c *publisher) publish(b *board.Board) {
	isPending := b.WorkChanged || b.NewsChanged || len(c.changed) > 0 || c.isForwarding && b.Tally.HasPending()
	isRound := b.Now-c.roundAt >= RoundSpan
	if !isRound && (!isPending || b.Now-c.publishedAt < MinBatchInterval) {
		c.scheduleWake(b, isPending)
		return
	}
	c.distribute(b, isRound)
	c.contactSeeds(b)
	c.publishedAt = b.Now
	if isRound {
		c.roundAt = b.Now
	}
	b.WorkChanged = false
	b.NewsChanged = false
}

// ownNews returns the news of the entry itself; none when there is nothing new.
func (c *publisher) ownNews(b *board.Board, isRound bool) []input.News {
	if !isRound && !b.NewsChanged {
		return nil
	}
	isWhole := b.Now-c.fullNewsAt >= FullNewsInterval
	if isWhole {
		c.fullNewsAt = b.Now
	}
	return []input.News{c.buildNews(b, isWhole)}
}

// distribute tells the own hub, and passes news on as the hub or when another
// entry takes this one for it.
func (c *publisher) distribute(b *board.Board, isRound bool) {
	c.publishLimit.rate = b.Settings.NewsRate
	c.contributionLimit.rate = b.Settings.NewsRate / contributionRateDivisor
	own := c.ownNews(b, isRound)
	hub, found := c.chooseHub(b)
	isHub := !found || hub.Peer == nil
	if isHub {
		b.Tally.ActAsHub(ownLoads(b))
	} else {
		b.Tally.ActAsMember()
		c.publishToHub(b, hub, own, isRound)
	}
	isAsked := c.forwardRequestedAt != 0 && b.Now-c.forwardRequestedAt <= ForwardTTL
	c.isForwarding = isHub || isAsked || b.Tally.HasContributions()
	if !c.isForwarding {
		clear(c.changed)
		b.Tally.DiscardPending()
		return
	}
	c.forward(b, own, isHub, isRound)
}

// scheduleWake asks for a step when what is pending may be told.
func (c *publisher) scheduleWake(b *board.Board, isPending bool) {
	if isPending && c.wakesAt <= b.Now {
		c.wakesAt = c.publishedAt + MinBatchInterval
		b.Emit(output.Wake{After: c.wakesAt - b.Now})
	}
}

// forward tells the own failure domain of all that changed, and the hubs of the
// others of what changed in it.
func (c *publisher) forward(b *board.Board, own []input.News, isHub, isRound bool) {
	if isRound && isHub {
		c.scheduleFullNews(b)
	}
	inside := input.Batch{Sender: b.Self, News: slices.Clone(own)}
	outside := input.Batch{Sender: b.Self, PassOn: true}
	if isHub {
		outside.News = slices.Clone(own)
	}
	for _, name := range slices.Sorted(maps.Keys(c.changed)) {
		peer := b.Peers[name]
		if peer == nil {
			continue
		}
		news := peer.News
		if !c.changed[name].isFull {
			news = news.Brief()
		}
		inside.News = append(inside.News, news)
		if c.changed[name].isDirect {
			outside.News = append(outside.News, news)
		}
	}
	clear(c.changed)
	if isRound {
		c.addLiveness(b, &inside, &outside)
	}
	c.publishLimit.charge(datagramHeaderBytes+newsBytes*len(inside.News), b.Now)
	c.addAggregates(b, &inside, &outside, isRound)
	c.send(b, c.memberAddresses(b), inside)
	c.send(b, c.hubAddresses(b), outside)
}

func (c *publisher) memberAddresses(b *board.Board) []string {
	var addresses []string
	for _, found := range b.Roster(b.Domain) {
		if found.Peer != nil {
			addresses = append(addresses, c.newsAddress(found.Address))
		}
	}
	return addresses
}

func (c *publisher) hubAddresses(b *board.Board) []string {
	var addresses []string
	for _, found := range remoteHubs(b) {
		addresses = append(addresses, c.newsAddress(found.Address))
	}
	return addresses
}

// scheduleFullNews has a few entries told whole in turn, for entries that missed who they
// are.
func (c *publisher) scheduleFullNews(b *board.Board) {
	names := slices.Sorted(maps.Keys(b.Peers))
	for range min(fullNewsPerRound, len(names)) {
		c.fullNewsCursor++
		name := names[c.fullNewsCursor%len(names)]
		if peer := b.Peers[name]; isLive(b, peer) {
			c.markChanged(name, change{isDirect: peer.News.Domain == b.Domain, isFull: true})
		}
	}
}

// contactSeeds makes the entry known to seeds that it did not hear of.
func (c *publisher) contactSeeds(b *board.Board) {
	if b.Now-c.seedsContactedAt < SeedInterval && (liveCount(b) > 0 || b.Now-c.seedsContactedAt < RoundSpan) {
		return
	}
	known := map[string]bool{b.Address: true}
	for _, peer := range b.Peers {
		if isLive(b, peer) {
			known[peer.News.Address] = true
		}
	}
	var unknown []string
	for _, seed := range b.Seeds {
		if !known[seed] {
			unknown = append(unknown, c.newsAddress(seed))
		}
	}
	c.seedsContactedAt = b.Now
	if len(unknown) > 0 {
		c.sendFullNews(b, unknown)
	}
}

// sendFullNews makes the entry known to others, which pass it on.
func (c *publisher) sendFullNews(b *board.Board, addresses []string) {
	c.send(b, addresses, input.Batch{Sender: b.Self, PassOn: true, News: []input.News{c.buildNews(b, true)}})
}

// send emits the batch in datagrams of bounded size: so many news and pieces of parts
// in each.
func (c *publisher) send(b *board.Board, addresses []string, batch input.Batch) {
	isEmpty := len(batch.News) == 0 && len(batch.Live) == 0 && batch.Share == nil && len(batch.Parts) == 0
	if len(addresses) == 0 || isEmpty {
		return
	}
	slices.Sort(addresses)
	var pieces []tally.Part
	for _, part := range batch.Parts {
		pieces = append(pieces, part.Split(maxLoadsPerDatagram)...)
	}
	rest := batch.News
	for {
		batch.News = rest[:min(len(rest), maxNewsPerDatagram)]
		batch.Parts = firstFitting(pieces)
		b.Emit(output.Tell{Addresses: addresses, Batch: batch})
		rest = rest[len(batch.News):]
		pieces = pieces[len(batch.Parts):]
		if len(rest) == 0 && len(pieces) == 0 {
			return
		}
		batch.Live = nil
		batch.Missing = nil
		batch.Share = nil
	}
}

// firstFitting returns the first pieces that fit into one datagram.
func firstFitting(pieces []tally.Part) []tally.Part {
	sums := 0
	for i, piece := range pieces {
		sums += len(piece.Sums)
		if sums > maxLoadsPerDatagram && i > 0 {
			return pieces[:i]
		}
	}
	return pieces
}

func (c *publisher) newsAddress(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return net.JoinHostPort(host, c.port)
}

func (c *publisher) buildNews(b *board.Board, isWhole bool) input.News {
	c.sequence++
	news := input.News{
		Entry: b.Self, Life: b.Life, Sequence: c.sequence, PlanVersion: b.Plan.Version, ListRevision: b.ListRevision,
		ConfirmedAt: b.ConfirmedAt, Leaving: b.Stopping, Left: b.Pool.Left(b.Now),
		Failed:  b.Pool.RecentFailures(b.Now),
		Paces:   b.Pool.RecentReports(b.Now),
		Crashes: map[uint64]int{},
	}
	for _, number := range slices.Sorted(maps.Keys(b.Requests)) {
		if request := b.Requests[number]; request.Queued {
			news.Waiting = append(news.Waiting, request.Waiting())
		}
	}
	for fingerprint, known := range b.Crashes {
		if count := known.Counts[b.Self]; count > 0 {
			news.Crashes[fingerprint] = count
		}
	}
	if !isWhole {
		return news
	}
	news.Domain = b.Domain
	news.Address = b.Address
	news.Capacity = b.Capacity
	news.Known = c.knownHubAddresses(b)
	return news
}

// knownHubAddresses returns the addresses of the hubs of all failure domains, so that an
// entry that starts finds its own.
func (c *publisher) knownHubAddresses(b *board.Board) []string {
	var known []string
	for _, found := range remoteHubs(b) {
		known = append(known, found.Address)
	}
	if hub := b.Peers[c.hub]; hub != nil {
		known = append(known, hub.News.Address)
	}
	slices.Sort(known)
	return known
}
