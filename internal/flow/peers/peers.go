// Package peers holds the controllers of the other entries: who is there, what
// each of them runs, who passes news on and who reads published state.
package peers

import (
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/tally"
)

const (
	// SilentSpan is how long an entry must be silent for its work to be forgotten.
	SilentSpan = 2 * clock.Second
	// PeerTTL is how long a silent entry is still told news.
	PeerTTL = 60 * clock.Second
)

type (
	// receiver takes news before others decide on them.
	receiver struct{ *publisher }

	// Option changes how news is told.
	Option func(*publisher)
)

// WithBurst sets how far what is told may be ahead of its rate, in the time that the
// rate takes for it.
func WithBurst(span clock.Millis) Option {
	return func(c *publisher) {
		c.publishLimit.burst = span
		c.contributionLimit.burst = span
	}
}

// NewControllers returns the controllers that take and that tell news. Datagrams
// go to the same port on every instance.
func NewControllers(port string, options ...Option) (listens, tells board.Controller) {
	tell := &publisher{
		port: port, changed: map[ident.Entry]change{}, domains: map[ident.Domain]domainStatus{},
		publishLimit: rateLimiter{burst: PublishBurst}, contributionLimit: rateLimiter{burst: PublishBurst},
	}
	for _, set := range options {
		set(tell)
	}
	return receiver{tell}, tell
}

// Step handles one input.
func (l receiver) Step(b *board.Board, happened input.Input) {
	switch happened := happened.(type) {
	case input.NewsCame:
		l.receiveBatch(b, happened.Batch)
	case input.ListRead:
		for mark, endpoint := range b.Pool.All() {
			endpoint.Others = b.Tally.Others(mark)
		}
	case input.ListTold:
		for _, told := range happened.List {
			refreshRemoteLoad(b, told.Name)
		}
	case input.EndpointRead:
		refreshRemoteLoad(b, happened.Entry.Name)
	case input.FetchEnded:
		b.FetchUntil = b.Now + MinFetchInterval
	case input.Ticked:
		for _, name := range b.Pool.EjectFailing(b.Now) {
			b.Note("Endpoint fails requests of several entries.", "endpoint", name)
		}
		expirePeers(b)
		fetchNewer(b)
		b.Tally.Expire(b.Now)
		b.Members = max(b.Members, liveCount(b)+1)
	}
	applyLoadChanges(b)
}

// refreshRemoteLoad puts what others are known to run to an endpoint that was just listed.
func refreshRemoteLoad(b *board.Board, name ident.Endpoint) {
	if endpoint := b.Pool.Find(name); endpoint != nil {
		endpoint.Others = b.Tally.Others(endpoint.Mark())
	}
}

// applyLoadChanges puts what others are known to run to the endpoints.
func applyLoadChanges(b *board.Board) {
	for _, mark := range b.Tally.TakeChanged() {
		if endpoint := b.Pool.All()[mark]; endpoint != nil {
			endpoint.Others = b.Tally.Others(mark)
		}
	}
}

// Step handles one input.
func (c *publisher) Step(b *board.Board, _ input.Input) { c.publish(b) }

func (c *publisher) receiveBatch(b *board.Board, batch input.Batch) {
	if batch.PassOn {
		c.forwardRequestedAt = b.Now
	}
	for _, news := range batch.News {
		c.receiveNews(b, batch, news)
	}
	if sender := b.Peers[batch.Sender]; sender != nil {
		sender.DirectAt = b.Now
		sender.LastHeard = b.Now
		sender.MutedUntil = 0
	}
	switch {
	case !batch.PassOn:
	case batch.Share != nil:
		b.Tally.ReceiveContribution(batch.Sender, *batch.Share, b.Now)
	default:
		b.Tally.KeepAlive(batch.Sender, b.Now)
	}
	for _, part := range batch.Parts {
		b.Tally.ReceiveAggregate(part, b.Now)
	}
	c.receiveLiveness(b, batch)
}

func (c *publisher) receiveNews(b *board.Board, batch input.Batch, news input.News) {
	if news.Entry == b.Self {
		return
	}
	peer, isNew := findOrAddPeer(b, news)
	if peer == nil || !isNew && isStale(b, peer, news) {
		return
	}
	before := peer.News
	updatePeer(b, peer, news)
	isStarted := isNew || before.Life != news.Life
	isDirect := batch.Sender == news.Entry
	if batch.PassOn && (isStarted || isWorthForwarding(before, news)) {
		c.markChanged(news.Entry, change{isDirect: isDirect, isFull: isStarted})
	}
	if isDirect && isStarted {
		c.sendState(b, news)
	}
	for _, address := range news.Known {
		c.introduceSelfTo(b, address)
	}
}

// findOrAddPeer returns the entry that the news is of; nil when it is not known and the
// news is brief: whole news follows soon.
func findOrAddPeer(b *board.Board, news input.News) (peer *board.Peer, isNew bool) {
	if known := b.Peers[news.Entry]; known != nil {
		return known, false
	}
	if news.Address == "" {
		return nil, false
	}
	b.Note("Entry found.", "entry", news.Entry, "failureDomain", news.Domain)
	peer = &board.Peer{Mark: tally.MarkOf(news.Entry)}
	b.Peers[news.Entry] = peer
	b.NewsChanged = true
	return peer, true
}

// updatePeer puts the news in place of what the entry said before.
func updatePeer(b *board.Board, peer *board.Peer, news input.News) {
	before := peer.News
	if news.Address == "" {
		news.Domain = before.Domain
		news.Address = before.Address
		news.Capacity = before.Capacity
	}
	if news.Domain != before.Domain || news.Address != before.Address || news.Capacity != before.Capacity {
		b.RosterChanged()
	}
	peer.News = news
	peer.LastHeard = b.Now
	if len(news.Waiting) > 0 {
		b.Waiters[news.Entry] = peer
	} else {
		delete(b.Waiters, news.Entry)
	}
	peer.Silent = false
	b.Pool.UpdatePeerLeaving(news.Left, b.Now)
	for _, name := range b.Pool.UpdatePeerPaces(news.Paces, b.Now) {
		b.Note("Pace of endpoint told.", "endpoint", name, "pace", b.Pool.Find(name).Pace(b.Now), "entry", news.Entry)
	}
	if len(before.Failed) > 0 || len(news.Failed) > 0 {
		b.Pool.UpdatePeerFailures(news.Entry, news.Failed, b.Now)
	}
}

// isWorthForwarding reports whether others should hear of the news: idle entries say the
// same again and again.
func isWorthForwarding(before, news input.News) bool {
	isBusy := func(n input.News) bool {
		return len(n.Waiting) > 0 || len(n.Crashes) > 0 || len(n.Left) > 0 ||
			len(n.Failed) > 0 || len(n.Paces) > 0
	}
	return isBusy(news) || isBusy(before) || before.PlanVersion != news.PlanVersion || before.Leaving != news.Leaving ||
		before.ListRevision != news.ListRevision || news.ConfirmedAt > before.ConfirmedAt
}

// isStale reports whether the news was overtaken. Lives are numbered by the time of
// day, which may jump back: a lower one is taken for new after a silence.
func isStale(b *board.Board, peer *board.Peer, news input.News) bool {
	if news.Life == peer.News.Life {
		return news.Sequence <= peer.News.Sequence
	}
	return news.Life < peer.News.Life && b.Now-peer.LastHeard < tally.LowerEpochTimeout
}

// introduceSelfTo tells an entry that was heard of and is not known.
func (c *publisher) introduceSelfTo(b *board.Board, address string) {
	if address == b.Address {
		return
	}
	for _, peer := range b.Peers {
		if peer.News.Address == address {
			return
		}
	}
	c.sendFullNews(b, []string{c.newsAddress(address)})
}

// sendState tells an entry that has just started of all that live.
func (c *publisher) sendState(b *board.Board, newcomer input.News) {
	known := []input.News{c.buildNews(b, true)}
	for name, peer := range b.Peers {
		if name != newcomer.Entry && isLive(b, peer) {
			known = append(known, peer.News)
		}
	}
	batch := input.Batch{Sender: b.Self, News: known, Parts: b.Tally.Snapshot()}
	c.send(b, []string{c.newsAddress(newcomer.Address)}, batch)
}

func isLive(b *board.Board, peer *board.Peer) bool { return b.Now-peer.LastHeard <= SilentSpan }

func liveCount(b *board.Board) int {
	count := 0
	for _, peer := range b.Peers {
		if isLive(b, peer) {
			count++
		}
	}
	return count
}

func expirePeers(b *board.Board) {
	for name, peer := range b.Peers {
		if !isLive(b, peer) && !peer.Silent {
			peer.Silent = true
			peer.News.Waiting = nil
			delete(b.Waiters, name)
			b.Note("Entry is silent.", "entry", name)
		}
		if b.Now-peer.LastHeard > PeerTTL {
			delete(b.Peers, name)
			b.RosterChanged()
		}
	}
}
