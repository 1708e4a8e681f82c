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
	// UnresponsiveTimeout is how long an entry must be silent for its work to be forgotten.
	UnresponsiveTimeout = 2 * clock.Second
	// ForgetSpan is how long a silent entry is still told news.
	ForgetSpan = 60 * clock.Second
)

type (
	// listener takes news before others decide on them.
	listener struct{ *teller }

	// Option changes how news is told.
	Option func(*teller)
)

// WithBurst sets how far what is told may be ahead of its rate, in the time that the
// rate takes for it.
func WithBurst(span clock.Millis) Option {
	return func(c *teller) {
		c.told.burst = span
		c.shares.burst = span
	}
}

// NewControllers returns the controllers that take and that tell news. Datagrams
// go to the same port on every instance.
func NewControllers(port string, options ...Option) (listens, tells board.Controller) {
	tell := &teller{
		port: port, changed: map[ident.Entry]change{}, domains: map[ident.Domain]domainWord{},
		told: meter{burst: TellBurst}, shares: meter{burst: TellBurst},
	}
	for _, set := range options {
		set(tell)
	}
	return listener{tell}, tell
}

// Step handles one input.
func (l listener) Step(b *board.Board, happened input.Input) {
	switch happened := happened.(type) {
	case input.NewsReceived:
		l.takeBatch(b, happened.Batch)
	case input.ListRead:
		for mark, endpoint := range b.Pool.ByHash() {
			endpoint.RemoteLoad = b.Tally.RemoteLoad(mark)
		}
	case input.ListReceived:
		for _, told := range happened.List {
			recount(b, told.Name)
		}
	case input.EndpointRead:
		recount(b, happened.Entry.Name)
	case input.FetchEnded:
		b.FetchBlockedUntil = b.Now + FetchSpan
	case input.Ticked:
		for _, name := range b.Pool.TakeOut(b.Now) {
			b.Log("Endpoint fails requests of several entries.", "endpoint", name)
		}
		forget(b)
		fetch(b)
		b.Tally.Expire(b.Now)
		b.MaxMembers = max(b.MaxMembers, live(b)+1)
	}
	settle(b)
}

// recount puts what others are known to run to an endpoint that was just listed.
func recount(b *board.Board, name ident.Endpoint) {
	if endpoint := b.Pool.Find(name); endpoint != nil {
		endpoint.RemoteLoad = b.Tally.RemoteLoad(endpoint.Hash())
	}
}

// settle puts what others are known to run to the endpoints.
func settle(b *board.Board) {
	for _, mark := range b.Tally.TakeChanged() {
		if endpoint := b.Pool.ByHash()[mark]; endpoint != nil {
			endpoint.RemoteLoad = b.Tally.RemoteLoad(mark)
		}
	}
}

// Step handles one input.
func (c *teller) Step(b *board.Board, _ input.Input) { c.tell(b) }

func (c *teller) takeBatch(b *board.Board, batch input.Batch) {
	if batch.Forward {
		c.askedAt = b.Now
	}
	for _, news := range batch.News {
		c.take(b, batch, news)
	}
	if sender := b.Peers[batch.Sender]; sender != nil {
		sender.DirectlySeenAt = b.Now
		sender.LastSeenAt = b.Now
		sender.ForwardBackoffUntil = 0
	}
	switch {
	case !batch.Forward:
	case batch.Contribution != nil:
		b.Tally.TakeShare(batch.Sender, *batch.Contribution, b.Now)
	default:
		b.Tally.Hear(batch.Sender, b.Now)
	}
	for _, part := range batch.Aggregates {
		b.Tally.TakePart(part, b.Now)
	}
	c.takeLive(b, batch)
}

func (c *teller) take(b *board.Board, batch input.Batch, news input.News) {
	if news.Entry == b.Self {
		return
	}
	peer, isNew := peerOf(b, news)
	if peer == nil || !isNew && isOld(b, peer, news) {
		return
	}
	before := peer.News
	hear(b, peer, news)
	isStarted := isNew || before.Epoch != news.Epoch
	isDirect := batch.Sender == news.Entry
	if batch.Forward && (isStarted || saysMore(before, news)) {
		c.note(news.Entry, change{isDirect: isDirect, isWhole: isStarted})
	}
	if isDirect && isStarted {
		c.introduce(b, news)
	}
	for _, address := range news.HubAddresses {
		c.meet(b, address)
	}
}

// peerOf returns the entry that the news is of; nil when it is not known and the
// news is brief: whole news follows soon.
func peerOf(b *board.Board, news input.News) (peer *board.Peer, isNew bool) {
	if known := b.Peers[news.Entry]; known != nil {
		return known, false
	}
	if news.Address == "" {
		return nil, false
	}
	b.Log("Entry found.", "entry", news.Entry, "failureDomain", news.Domain)
	peer = &board.Peer{EntryHash: tally.EntryHashOf(news.Entry)}
	b.Peers[news.Entry] = peer
	b.NewsChanged = true
	return peer, true
}

// hear puts the news in place of what the entry said before.
func hear(b *board.Board, peer *board.Peer, news input.News) {
	before := peer.News
	if news.Address == "" {
		news.Domain = before.Domain
		news.Address = before.Address
		news.Capacity = before.Capacity
	}
	if news.Domain != before.Domain || news.Address != before.Address || news.Capacity != before.Capacity {
		b.InvalidateRoster()
	}
	peer.News = news
	peer.LastSeenAt = b.Now
	if len(news.QueuedPrompts) > 0 {
		b.PeersWithQueue[news.Entry] = peer
	} else {
		delete(b.PeersWithQueue, news.Entry)
	}
	peer.Unresponsive = false
	b.Pool.TellLeft(news.LeavingEndpoints, b.Now)
	for _, name := range b.Pool.TellPaces(news.Paces, b.Now) {
		b.Log("Pace of endpoint told.", "endpoint", name, "pace", b.Pool.Find(name).Pace(b.Now), "entry", news.Entry)
	}
	if len(before.FailureCounts) > 0 || len(news.FailureCounts) > 0 {
		b.Pool.TellFailing(news.Entry, news.FailureCounts, b.Now)
	}
}

// saysMore reports whether others should hear of the news: idle entries say the
// same again and again.
func saysMore(before, news input.News) bool {
	isBusy := func(n input.News) bool {
		return len(n.QueuedPrompts) > 0 || len(n.CrashCounts) > 0 || len(n.LeavingEndpoints) > 0 ||
			len(n.FailureCounts) > 0 || len(n.Paces) > 0
	}
	return isBusy(news) || isBusy(before) || before.PlanVersion != news.PlanVersion || before.Leaving != news.Leaving ||
		before.ListRevision != news.ListRevision || news.ConfirmedAt > before.ConfirmedAt
}

// isOld reports whether the news was overtaken. Lives are numbered by the time of
// day, which may jump back: a lower one is taken for new after a silence.
func isOld(b *board.Board, peer *board.Peer, news input.News) bool {
	if news.Epoch == peer.News.Epoch {
		return news.Sequence <= peer.News.Sequence
	}
	return news.Epoch < peer.News.Epoch && b.Now-peer.LastSeenAt < tally.LifeSpan
}

// meet tells an entry that was heard of and is not known.
func (c *teller) meet(b *board.Board, address string) {
	if address == b.Address {
		return
	}
	for _, peer := range b.Peers {
		if peer.News.Address == address {
			return
		}
	}
	c.introduceSelf(b, []string{c.newsAddress(address)})
}

// introduce tells an entry that has just started of all that live.
func (c *teller) introduce(b *board.Board, newcomer input.News) {
	known := []input.News{c.news(b, true)}
	for name, peer := range b.Peers {
		if name != newcomer.Entry && isLive(b, peer) {
			known = append(known, peer.News)
		}
	}
	batch := input.Batch{Sender: b.Self, News: known, Aggregates: b.Tally.Whole()}
	c.send(b, []string{c.newsAddress(newcomer.Address)}, batch)
}

func isLive(b *board.Board, peer *board.Peer) bool {
	return b.Now-peer.LastSeenAt <= UnresponsiveTimeout
}

func live(b *board.Board) int {
	count := 0
	for _, peer := range b.Peers {
		if isLive(b, peer) {
			count++
		}
	}
	return count
}

func forget(b *board.Board) {
	for name, peer := range b.Peers {
		if !isLive(b, peer) && !peer.Unresponsive {
			peer.Unresponsive = true
			peer.News.QueuedPrompts = nil
			delete(b.PeersWithQueue, name)
			b.Log("Entry is silent.", "entry", name)
		}
		if b.Now-peer.LastSeenAt > ForgetSpan {
			delete(b.Peers, name)
			b.InvalidateRoster()
		}
	}
}
