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
	"mustardhook/internal/flow/pool"
)

const (
	// RoundSpan is the time between two tellings when nothing changed.
	RoundSpan = 300 * clock.Millis(1)
	// BatchSpan is the shortest time between two tellings of changes.
	BatchSpan = 25 * clock.Millis(1)
	// SeedSpan is the time between two tellings to seeds that were not heard of.
	SeedSpan = 2 * clock.Second
	// OwnWholeSpan is the time between two tellings of what seldom changes of the
	// entry itself.
	OwnWholeSpan = 1 * clock.Second
	// WholeSpan is the time between two tellings of what seldom changes of all others.
	WholeSpan = 5 * clock.Second
	// AskedSpan is how long an entry passes news on after it was asked to.
	AskedSpan = 1 * clock.Second

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
		// ownWholeAt and wholeAt are when whole news of the entry and of all was told.
		ownWholeAt clock.Millis
		wholeAt    clock.Millis
		// hub is the entry that passes news on in the own failure domain.
		hub      ident.Entry
		hubSince clock.Millis
		// askedAt is when another entry last asked this one to pass news on.
		askedAt clock.Millis
		// changed are the entries whose news was not passed on yet.
		changed map[ident.Entry]change
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
	isPending := b.WorkChanged || len(c.changed) > 0
	span := RoundSpan
	if isPending {
		span = BatchSpan
	}
	if b.Now-c.toldAt < span {
		c.wake(b, isPending)
		return
	}
	isRound := b.Now-c.roundAt >= RoundSpan
	c.distribute(b, c.ownNews(b, isRound), isRound)
	c.tellSeeds(b)
	c.toldAt = b.Now
	if isRound {
		c.roundAt = b.Now
	}
	b.WorkChanged = false
}

// ownNews returns the news of the entry itself; none when there is nothing new.
func (c *teller) ownNews(b *board.Board, isRound bool) []input.News {
	if !isRound && !b.WorkChanged {
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
func (c *teller) distribute(b *board.Board, own []input.News, isRound bool) {
	hub, found := c.chooseHub(b)
	isHub := !found || hub.isSelf
	if !isHub {
		c.send(b, []string{c.newsAddress(hub.address)}, input.Batch{Sender: b.Self, PassOn: true, News: own})
	}
	isAsked := c.askedAt != 0 && b.Now-c.askedAt <= AskedSpan
	if !isHub && !isAsked {
		clear(c.changed)
		return
	}
	c.passOn(b, own, isHub, isRound)
}

// wake asks for a step when what is pending may be told.
func (c *teller) wake(b *board.Board, isPending bool) {
	if isPending && c.wakeAt <= b.Now {
		c.wakeAt = c.toldAt + BatchSpan
		b.Emit(output.Wake{After: c.wakeAt - b.Now})
	}
}

// passOn tells the own failure domain of all that changed, and the hubs of the
// others of what changed in it.
func (c *teller) passOn(b *board.Board, own []input.News, isHub, isRound bool) {
	if isRound && isHub && b.Now-c.wholeAt >= WholeSpan {
		c.noteAll(b)
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
		inside.Alive = alive(b, func(*board.Peer) bool { return true })
		outside.Alive = alive(b, func(peer *board.Peer) bool { return peer.News.Domain == b.Domain })
	}
	var members, hubs []string
	for _, found := range membersOf(b, b.Domain, func(*board.Peer) bool { return true }) {
		if !found.isSelf {
			members = append(members, c.newsAddress(found.address))
		}
	}
	for _, found := range foreignHubs(b) {
		hubs = append(hubs, c.newsAddress(found.address))
	}
	c.send(b, members, inside)
	c.send(b, hubs, outside)
}

// noteAll has all that live told whole, for entries that missed who they are.
func (c *teller) noteAll(b *board.Board) {
	c.wholeAt = b.Now
	for name, peer := range b.Peers {
		if isLive(b, peer) {
			c.note(name, change{isDirect: peer.News.Domain == b.Domain, isWhole: true})
		}
	}
}

func alive(b *board.Board, holds func(*board.Peer) bool) map[input.EntryMark]clock.Millis {
	found := map[input.EntryMark]clock.Millis{}
	for name, peer := range b.Peers {
		if isLive(b, peer) && holds(peer) {
			found[MarkOf(name)] = peer.LastHeard
		}
	}
	return found
}

// tellSeeds makes the entry known to seeds that it did not hear of.
func (c *teller) tellSeeds(b *board.Board) {
	if b.Now-c.seededAt < SeedSpan && (live(b) > 0 || b.Now-c.seededAt < RoundSpan) {
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
	c.send(b, addresses, input.Batch{Sender: b.Self, PassOn: true, News: []input.News{c.news(b, true)}})
}

// send emits the batch in datagrams of bounded size.
func (c *teller) send(b *board.Board, addresses []string, batch input.Batch) {
	if len(addresses) == 0 || len(batch.News) == 0 && len(batch.Alive) == 0 {
		return
	}
	slices.Sort(addresses)
	for rest := batch.News; ; {
		count := min(len(rest), batchNews)
		batch.News = rest[:count]
		b.Emit(output.Tell{Addresses: addresses, Batch: batch})
		rest = rest[count:]
		if len(rest) == 0 {
			return
		}
		batch.Alive = nil
	}
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
		Entry: b.Self, Life: b.Life, Sequence: c.sequence, PlanVersion: b.Plan.Version, ListRevision: b.ListRevision,
		ConfirmedAt: b.ConfirmedAt, Leaving: b.Stopping, Work: ownWork(b), Left: b.Pool.Left(b.Now),
		Failed:  b.Pool.Failing(b.Now),
		Paces:   b.Pool.Reported(b.Now),
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
	news.Known = c.knownHubs(b)
	return news
}

// knownHubs returns the addresses of the hubs of all failure domains, so that an
// entry that starts finds its own.
func (c *teller) knownHubs(b *board.Board) []string {
	var known []string
	for _, found := range foreignHubs(b) {
		known = append(known, found.address)
	}
	if hub := b.Peers[c.hub]; hub != nil {
		known = append(known, hub.News.Address)
	}
	slices.Sort(known)
	return known
}

func ownWork(b *board.Board) map[pool.Mark]map[pool.WorkID]pool.Work {
	own := map[pool.Mark]map[pool.WorkID]pool.Work{}
	add := func(name ident.Endpoint, id pool.WorkID) {
		endpoint := b.Pool.Find(name)
		if endpoint == nil {
			return
		}
		work, found := endpoint.Work[id]
		if !found {
			return
		}
		if own[endpoint.Mark()] == nil {
			own[endpoint.Mark()] = map[pool.WorkID]pool.Work{}
		}
		own[endpoint.Mark()][id] = work
	}
	for number, request := range b.Requests {
		add(request.Endpoint, b.Own(number))
		for _, helper := range request.Helpers {
			add(helper, b.Own(number))
		}
	}
	return own
}
