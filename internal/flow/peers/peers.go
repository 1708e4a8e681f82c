// Package peers holds the controllers that exchange state with the other entries: which
// entries are alive, what each of them runs, which of them forward news and which read
// published state.
package peers

import (
	"slices"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/blame"
	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/tally"
)

const (
	// UnresponsiveTimeout is how long nothing may have been received from an entry before
	// its state is ignored.
	UnresponsiveTimeout = 2 * clock.Second
	// PeerTTL is how long after its last message an entry is still known and gets news.
	PeerTTL = 60 * clock.Second
)

type (
	// receiver is the controller that applies received news. It runs before other
	// controllers decide.
	receiver struct{ *publisher }

	// Option changes how news is published.
	Option func(*publisher)
)

// WithBurst sets the burst by which published data may exceed its rate, as the time that
// the rate takes for it.
func WithBurst(duration clock.Millis) Option {
	return func(p *publisher) {
		p.publishLimit.burst = duration
		p.contributionLimit.burst = duration
	}
}

// NewControllers returns the controllers that receive and that publish news. Datagrams go
// to the same port on every instance.
func NewControllers(port string, options ...Option) (receive, publish board.Controller) {
	p := &publisher{
		port: port, changed: map[ident.Entry]change{}, domains: map[ident.Domain]domainStatus{},
		publishLimit: rateLimiter{burst: PublishBurst}, contributionLimit: rateLimiter{burst: PublishBurst},
	}
	for _, set := range options {
		set(p)
	}
	return receiver{p}, p
}

// Step handles one input.
func (r receiver) Step(b *board.Board, in input.Input) {
	switch in := in.(type) {
	case input.NewsReceived:
		r.receiveBatch(b, in.Batch)
	case input.ListRead:
		for hash, endpoint := range b.Pool.ByHash() {
			endpoint.RemoteLoad = b.Tally.RemoteLoad(hash)
		}
	case input.ListReceived:
		for _, listing := range in.List {
			refreshRemoteLoad(b, listing.Name)
		}
	case input.EndpointRead:
		refreshRemoteLoad(b, in.Record.Name)
	case input.FetchEnded:
		b.FetchBlockedUntil = b.Now + MinFetchInterval
	case input.Ticked:
		for _, name := range b.Pool.EjectFailing(b.Now) {
			b.Log("Endpoint fails requests of several entries.", "endpoint", name)
		}
		expirePeers(b)
		fetchNewer(b)
		b.Tally.Expire(b.Now)
		b.MaxMembers = max(b.MaxMembers, liveCount(b)+1)
	}
	applyLoadChanges(b)
}

// refreshRemoteLoad sets the remote load of an endpoint that was just listed.
func refreshRemoteLoad(b *board.Board, name ident.Endpoint) {
	if endpoint := b.Pool.Find(name); endpoint != nil {
		endpoint.RemoteLoad = b.Tally.RemoteLoad(endpoint.Hash())
	}
}

// applyLoadChanges sets the remote load of the endpoints for which it changed.
func applyLoadChanges(b *board.Board) {
	for _, hash := range b.Tally.TakeChanged() {
		if endpoint := b.Pool.ByHash()[hash]; endpoint != nil {
			endpoint.RemoteLoad = b.Tally.RemoteLoad(hash)
		}
	}
}

// Step publishes state after the other controllers have decided.
func (p *publisher) Step(b *board.Board, _ input.Input) { p.publish(b) }

func (p *publisher) receiveBatch(b *board.Board, batch input.Batch) {
	if batch.Forward {
		p.forwardRequestedAt = b.Now
	}
	for _, news := range batch.News {
		p.receiveNews(b, batch, news)
	}
	epoch := uint64(0)
	if sender := b.Peers[batch.Sender]; sender != nil {
		epoch = sender.News.Epoch
		sender.DirectlySeenAt = b.Now
		sender.LastSeenAt = b.Now
		sender.ForwardBackoffUntil = 0
	}
	switch {
	case !batch.Forward:
	case batch.Contribution != nil:
		b.Tally.ReceiveContribution(batch.Sender, *batch.Contribution, b.Now)
	default:
		b.Tally.KeepAlive(batch.Sender, epoch, b.Now)
	}
	for _, aggregate := range batch.Aggregates {
		b.Tally.ReceiveAggregate(aggregate, b.Now)
	}
	p.receiveCosts(b, batch)
	p.receiveLiveness(b, batch)
}

func (p *publisher) receiveNews(b *board.Board, batch input.Batch, news input.News) {
	if news.Entry == b.Self {
		return
	}
	peer, isNew := findOrAddPeer(b, news)
	if peer == nil || !isNew && isStale(b, peer, news) {
		return
	}
	before := peer.News
	updatePeer(b, peer, news)
	isStarted := isNew || before.Epoch != news.Epoch
	isDirect := batch.Sender == news.Entry
	if seenAt := p.domains[peer.News.Domain].at; isStarted || isDirect || seenAt == 0 {
		peer.LastSeenAt = b.Now
	} else {
		// Hubs repeat news that they received long ago.
		peer.LastSeenAt = max(peer.LastSeenAt, seenAt)
	}
	if batch.Forward && (isStarted || isWorthForwarding(before, news) || hasRecentEvidence(b, before, news)) {
		p.markChanged(news.Entry, change{isDirect: isDirect, isFull: isStarted})
	}
	if isDirect && isStarted {
		p.sendState(b, news)
	}
	for _, address := range news.HubAddresses {
		p.introduceSelfTo(b, address)
	}
}

// findOrAddPeer returns the peer that the news is about. The result is nil if the peer is
// not known and the news is brief; full news follows soon.
func findOrAddPeer(b *board.Board, news input.News) (peer *board.Peer, isNew bool) {
	if existing := b.Peers[news.Entry]; existing != nil {
		return existing, false
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

// updatePeer replaces the previous news of the peer.
func updatePeer(b *board.Board, peer *board.Peer, news input.News) {
	before := peer.News
	if news.Address == "" {
		news.Domain = before.Domain
		news.Address = before.Address
		news.Capacity = before.Capacity
		news.Members = before.Members
		// Brief news leaves out older crashes. An entry that starts learns them from the news that
		// its hub repeats.
		if len(news.Crashes) == 0 {
			news.Crashes = before.Crashes
		}
	}
	if news.Domain != before.Domain || news.Address != before.Address || news.Capacity != before.Capacity {
		b.InvalidateRoster()
	}
	peer.News = news
	if len(news.QueuedPrompts) > 0 {
		b.PeersWithQueue[news.Entry] = peer
	} else {
		delete(b.PeersWithQueue, news.Entry)
	}
	peer.Unresponsive = false
	b.Pool.UpdatePeerLeaving(news.LeavingEndpoints, b.Now)
	b.Pool.UpdatePeerPauses(news.Pauses, b.Now)
	for _, name := range b.Pool.UpdatePeerPaces(news.Paces, b.Now) {
		b.Log("Pace of endpoint received from an entry.", "endpoint", name, "pace", b.Pool.Find(name).Pace(b.Now), "entry", news.Entry)
	}
	if len(before.FailureCounts) > 0 || len(news.FailureCounts) > 0 {
		b.Pool.UpdatePeerFailures(news.Entry, news.FailureCounts, b.Now)
	}
}

// isWorthForwarding reports whether peers should receive the news. Idle entries repeat
// the same news.
func isWorthForwarding(before, news input.News) bool {
	isBusy := func(n input.News) bool {
		return len(n.QueuedPrompts) > 0 || len(n.LeavingEndpoints) > 0 ||
			len(n.FailureCounts) > 0 || len(n.Paces) > 0 || len(n.Pauses) > 0
	}
	return isBusy(news) || isBusy(before) || before.PlanVersion != news.PlanVersion || before.Leaving != news.Leaving ||
		before.ListAt != news.ListAt || news.ConfirmedAt > before.ConfirmedAt
}

// hasRecentEvidence reports whether the news tells of a recent crash of an endpoint, or of a loss or an
// acquittal that the news before did not name.
func hasRecentEvidence(b *board.Board, before, news input.News) bool {
	return slices.ContainsFunc(news.Crashes, func(crash blame.Crash) bool { return b.Now-crash.At <= recentEvidence }) ||
		slices.ContainsFunc(news.Losses, func(loss blame.Loss) bool {
			return !slices.ContainsFunc(before.Losses, func(known blame.Loss) bool {
				return known.Fingerprint == loss.Fingerprint && known.Run == loss.Run
			})
		}) ||
		slices.ContainsFunc(news.Acquittals, func(a blame.Acquittal) bool {
			return !slices.ContainsFunc(before.Acquittals, func(known blame.Acquittal) bool { return known.Part == a.Part })
		}) ||
		slices.ContainsFunc(news.RequestAcquittals, func(a blame.RequestAcquittal) bool {
			return !slices.ContainsFunc(before.RequestAcquittals, func(known blame.RequestAcquittal) bool {
				return known.Fingerprint == a.Fingerprint
			})
		})
}

// isStale reports whether newer news was already received. Epochs are numbered by
// wall-clock time, which may jump back. A lower epoch is therefore accepted once the peer
// was unresponsive for LowerEpochTimeout.
func isStale(b *board.Board, peer *board.Peer, news input.News) bool {
	if news.Epoch == peer.News.Epoch {
		return news.Sequence <= peer.News.Sequence
	}
	return news.Epoch < peer.News.Epoch && b.Now-peer.LastSeenAt < tally.LowerEpochTimeout
}

// introduceSelfTo sends full news of this entry to an address that belongs to no known
// peer.
func (p *publisher) introduceSelfTo(b *board.Board, address string) {
	if address == b.Address {
		return
	}
	for _, peer := range b.Peers {
		if peer.News.Address == address {
			return
		}
	}
	p.sendFullNews(b, []string{p.newsAddress(address)})
}

// sendState sends the news of all live entries and all aggregates to an entry that has
// just started.
func (p *publisher) sendState(b *board.Board, recipient input.News) {
	news := []input.News{p.buildNews(b, true)}
	for name, peer := range b.Peers {
		if name != recipient.Entry && isLive(b, peer) {
			news = append(news, peer.News)
		}
	}
	batch := input.Batch{Sender: b.Self, News: news, Aggregates: b.Tally.Snapshot()}
	p.send(b, []string{p.newsAddress(recipient.Address)}, batch)
}

func isLive(b *board.Board, peer *board.Peer) bool {
	return b.Now-peer.LastSeenAt <= UnresponsiveTimeout
}

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
		if !isLive(b, peer) && !peer.Unresponsive {
			peer.Unresponsive = true
			peer.News.QueuedPrompts = nil
			delete(b.PeersWithQueue, name)
			b.Log("Entry is silent.", "entry", name)
		}
		if b.Now-peer.LastSeenAt > PeerTTL {
			delete(b.Peers, name)
			b.InvalidateRoster()
		}
	}
}
