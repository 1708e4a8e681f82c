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
	// RoundInterval is the time between two tellings when nothing changed.
	RoundInterval = 300 * clock.Millis(1)
	// BatchSpan is the shortest time between two tellings of changes.
	BatchSpan = 25 * clock.Millis(1)
	// SeedSpan is the time between two tellings to seeds that were not heard of.
	SeedSpan = 2 * clock.Second
	// OwnWholeSpan is the time between two tellings of what seldom changes of the
	// entry itself.
	OwnWholeSpan = 1 * clock.Second
	// AskedSpan is how long an entry passes news on after it was asked to.
	AskedSpan = 1 * clock.Second

	// wholePerRound is of how many entries a hub tells all in a round: ten a second.
	wholePerRound = 3
	// batchNews bounds the news of one datagram.
	batchNews = 40
)

type (
	// teller tells of what others have decided. The hub of a failure domain passes on
	// what the entries there tell, to them and to the hubs of the other domains, so
	// that the datagrams of an entry do not grow with the number of entries.
	teller struct {
		port     string
		sequence uint64
		toldAt   clock.Millis
		roundAt  clock.Millis
		seededAt clock.Millis
		wakeAt   clock.Millis
		// ownWholeAt is when whole news of the entry was told, and nextWhole counts the
		// others whose whole news was.
		ownWholeAt clock.Millis
		nextWhole  int
		// hub is the entry that passes news on in the own failure domain.
		hub      ident.Entry
		hubSince clock.Millis
		// askedAt is when another entry last asked this one to pass news on.
		askedAt clock.Millis
		// changed are the entries whose news was not passed on yet.
		changed map[ident.Entry]change
		// domains holds what hubs last said of the failure domains.
		domains map[ident.Domain]domainWord
		// isPassing says that the entry passes news on.
		isPassing bool
		// told bounds what the hub tells each entry, shares what the entry tells its hub.
		told   meter
		shares meter
		// wholePartsAt is when all work is told again.
		wholePartsAt clock.Millis
		// partsAt is when work was last told, and isHeld says that it was held back since.
		partsAt clock.Millis
		isHeld  bool
	}

	// change says how news came that must be passed on.
	change struct {
		// isDirect says that the entry itself told it: other domains have not heard it.
		isDirect bool
		// isWhole says that others may not know the entry.
		isWhole bool
	}
)

func (c *teller) note(entry ident.Entry, found change) {
	known := c.changed[entry]
	c.changed[entry] = change{known.isDirect || found.isDirect, known.isWhole || found.isWhole}
}

func (c *teller) tell(b *board.Board) {
	isPending := b.WorkChanged || b.NewsChanged || len(c.changed) > 0 || c.isPassing && b.Tally.IsPending()
	isRound := b.Now-c.roundAt >= RoundInterval
	if !isRound && (!isPending || b.Now-c.toldAt < BatchSpan) {
		c.wake(b, isPending)
		return
	}
	c.distribute(b, isRound)
	c.tellSeeds(b)
	c.toldAt = b.Now
	if isRound {
		c.roundAt = b.Now
	}
	b.WorkChanged = false
	b.NewsChanged = false
}

// ownNews returns the news of the entry itself; none when there is nothing new.
func (c *teller) ownNews(b *board.Board, isRound bool) []input.News {
	if !isRound && !b.NewsChanged {
		return nil
	}
	isWhole := b.Now-c.ownWholeAt >= OwnWholeSpan
	if isWhole {
		c.ownWholeAt = b.Now
	}
	return []input.News{c.news(b, isWhole)}
}

// distribute tells the own hub, and passes news on as the hub or when another
// entry takes this one for it.
func (c *teller) distribute(b *board.Board, isRound bool) {
	c.told.rate = b.Settings.NewsRate
	c.shares.rate = b.Settings.NewsRate / shareParts
	own := c.ownNews(b, isRound)
	hub, found := c.chooseHub(b)
	isHub := !found || hub.Peer == nil
	if isHub {
		b.Tally.Lead(ownWork(b))
	} else {
		b.Tally.Follow()
		c.tellHub(b, hub, own, isRound)
	}
	isAsked := c.askedAt != 0 && b.Now-c.askedAt <= AskedSpan
	c.isPassing = isHub || isAsked || b.Tally.HasPart()
	if !c.isPassing {
		clear(c.changed)
		b.Tally.Forgo()
		return
	}
	c.passOn(b, own, isHub, isRound)
}

// wake asks for a step when what is pending may be told.
func (c *teller) wake(b *board.Board, isPending bool) {
	if isPending && c.wakeAt <= b.Now {
		c.wakeAt = c.toldAt + BatchSpan
		b.Emit(output.SetTimer{After: c.wakeAt - b.Now})
	}
}

// passOn tells the own failure domain of all that changed, and the hubs of the
// others of what changed in it.
func (c *teller) passOn(b *board.Board, own []input.News, isHub, isRound bool) {
	if isRound && isHub {
		c.noteSome(b)
	}
	inside := input.Batch{Sender: b.Self, News: slices.Clone(own)}
	outside := input.Batch{Sender: b.Self, Forward: true}
	if isHub {
		outside.News = slices.Clone(own)
	}
	for _, name := range slices.Sorted(maps.Keys(c.changed)) {
		peer := b.Peers[name]
		if peer == nil {
			continue
		}
		news := peer.News
		if !c.changed[name].isWhole {
			news = news.Brief()
		}
		inside.News = append(inside.News, news)
		if c.changed[name].isDirect {
			outside.News = append(outside.News, news)
		}
	}
	clear(c.changed)
	if isRound {
		c.addLive(b, &inside, &outside)
	}
	c.told.charge(headBytes+newsBytes*len(inside.News), b.Now)
	c.addParts(b, &inside, &outside, isRound)
	c.send(b, c.membersToTell(b), inside)
	c.send(b, c.hubsToTell(b), outside)
}

func (c *teller) membersToTell(b *board.Board) []string {
	var addresses []string
	for _, found := range b.Roster(b.Domain) {
		if found.Peer != nil {
			addresses = append(addresses, c.newsAddress(found.Address))
		}
	}
	return addresses
}

func (c *teller) hubsToTell(b *board.Board) []string {
	var addresses []string
	for _, found := range foreignHubs(b) {
		addresses = append(addresses, c.newsAddress(found.Address))
	}
	return addresses
}

// noteSome has a few entries told whole in turn, for entries that missed who they
// are.
func (c *teller) noteSome(b *board.Board) {
	names := slices.Sorted(maps.Keys(b.Peers))
	for range min(wholePerRound, len(names)) {
		c.nextWhole++
		name := names[c.nextWhole%len(names)]
		if peer := b.Peers[name]; isLive(b, peer) {
			c.note(name, change{isDirect: peer.News.Domain == b.Domain, isWhole: true})
		}
	}
}

// tellSeeds makes the entry known to seeds that it did not hear of.
func (c *teller) tellSeeds(b *board.Board) {
	if b.Now-c.seededAt < SeedSpan && (live(b) > 0 || b.Now-c.seededAt < RoundInterval) {
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
	c.seededAt = b.Now
	if len(unknown) > 0 {
		c.introduceSelf(b, unknown)
	}
}

// introduceSelf makes the entry known to others, which pass it on.
func (c *teller) introduceSelf(b *board.Board, addresses []string) {
	c.send(b, addresses, input.Batch{Sender: b.Self, Forward: true, News: []input.News{c.news(b, true)}})
}

// send emits the batch in datagrams of bounded size: so many news and pieces of parts
// in each.
func (c *teller) send(b *board.Board, addresses []string, batch input.Batch) {
	isEmpty := len(batch.News) == 0 && len(batch.DomainsSeenAt) == 0 && batch.Contribution == nil && len(batch.Aggregates) == 0
	if len(addresses) == 0 || isEmpty {
		return
	}
	slices.Sort(addresses)
	var pieces []tally.Aggregate
	for _, part := range batch.Aggregates {
		pieces = append(pieces, part.Pieces(partSums)...)
	}
	rest := batch.News
	for {
		batch.News = rest[:min(len(rest), batchNews)]
		batch.Aggregates = fitting(pieces)
		b.Emit(output.SendBatch{Addresses: addresses, Batch: batch})
		rest = rest[len(batch.News):]
		pieces = pieces[len(batch.Aggregates):]
		if len(rest) == 0 && len(pieces) == 0 {
			return
		}
		batch.DomainsSeenAt = nil
		batch.Missing = nil
		batch.Contribution = nil
	}
}

// fitting returns the first pieces that fit into one datagram.
func fitting(pieces []tally.Aggregate) []tally.Aggregate {
	sums := 0
	for i, piece := range pieces {
		sums += len(piece.Loads)
		if sums > partSums && i > 0 {
			return pieces[:i]
		}
	}
	return pieces
}

func (c *teller) newsAddress(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return net.JoinHostPort(host, c.port)
}

func (c *teller) news(b *board.Board, isWhole bool) input.News {
	c.sequence++
	news := input.News{
		Entry: b.Self, Epoch: b.Epoch, Sequence: c.sequence, PlanVersion: b.Plan.Version, ListRevision: b.ListRevision,
		ConfirmedAt: b.ConfirmedAt, Leaving: b.Stopping, LeavingEndpoints: b.Pool.RecentlyLeaving(b.Now),
		FailureCounts: b.Pool.Failing(b.Now),
		Paces:         b.Pool.Reported(b.Now),
		CrashCounts:   map[uint64]int{},
	}
	for _, number := range slices.Sorted(maps.Keys(b.Requests)) {
		if request := b.Requests[number]; request.Queued {
			news.QueuedPrompts = append(news.QueuedPrompts, request.QueuedPrompt())
		}
	}
	for fingerprint, known := range b.Crashes {
		if count := known.Counts[b.Self]; count > 0 {
			news.CrashCounts[fingerprint] = count
		}
	}
	if !isWhole {
		return news
	}
	news.Domain = b.Domain
	news.Address = b.Address
	news.Capacity = b.Capacity
	news.HubAddresses = c.knownHubs(b)
	return news
}

// knownHubs returns the addresses of the hubs of all failure domains, so that an
// entry that starts finds its own.
func (c *teller) knownHubs(b *board.Board) []string {
	var known []string
	for _, found := range foreignHubs(b) {
		known = append(known, found.Address)
	}
	if hub := b.Peers[c.hub]; hub != nil {
		known = append(known, hub.News.Address)
	}
	slices.Sort(known)
	return known
}
