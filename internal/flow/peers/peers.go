// Package peers holds the controller of the other entries: who is there, what
// each of them runs, and who has a newer configuration.
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
	// ShortSpan is the shortest time between two tellings of short prompts alone.
	ShortSpan = 50 * clock.Millis(1)
	// SilentSpan is how long an entry must be silent for its work to be forgotten.
	SilentSpan = 2 * clock.Second
	// ForgetSpan is how long a silent entry is still told news.
	ForgetSpan = 60 * clock.Second
	// FetchSpan is the time between two calls for a newer configuration.
	FetchSpan = 300 * clock.Millis(1)
	// BehindSpan is how long an entry waits for published state to bring a
	// configuration that others have; changes must be in force within 2 s.
	BehindSpan = 300 * clock.Millis(1)
	// Lookouts is how many entries read published state often; one of them may be cut
	// off and one may have ended.
	Lookouts = 3
	// SeedSpan is the time between two tellings to the seeds.
	SeedSpan = 2 * clock.Second

	// LifeSpan is how long a silence must be before news of a lower life counts; a
	// process takes longer to start again.
	LifeSpan = 800 * clock.Millis(1)
	// WholeSpan is the time between two tellings of what seldom changes.
	WholeSpan = 1 * clock.Second

	knownLimit = 3
	lookoutKey = "lookout"
)

type (
	// listener takes news before others decide on them.
	listener struct{ *teller }

	// teller tells of what others have decided.
	teller struct {
		sequence uint64
		toldAt   clock.Millis
		// toldAllAt is when whole news was last told to all.
		toldAllAt clock.Millis
		seededAt  clock.Millis
		port      string
	}
)

// NewControllers returns the controllers that take and that tell news. Datagrams
// go to the same port on every instance.
func NewControllers(port string) (listens, tells board.Controller) {
	tell := &teller{port: port}
	return listener{tell}, tell
}

// Step handles one input.
func (l listener) Step(b *board.Board, happened input.Input) {
	switch happened := happened.(type) {
	case input.NewsCame:
		l.take(b, happened)
	case input.Ticked:
		forget(b)
		fetch(b)
	}
}

// Step handles one input.
func (c *teller) Step(b *board.Board, _ input.Input) { c.tell(b) }

func (c *teller) take(b *board.Board, came input.NewsCame) {
	news := came.News
	if news.Entry == b.Self {
		return
	}
	peer := b.Peers[news.Entry]
	if peer == nil && news.Address == "" {
		// Whole news follows soon.
		return
	}
	if peer == nil {
		b.Note("Entry found.", "entry", news.Entry, "failureDomain", news.Domain)
		peer = &board.Peer{}
		b.Peers[news.Entry] = peer
		b.WorkChanged = true
		c.toldAllAt = 0
	}
	if isOld(b, peer, news) {
		return
	}
	if news.Address == "" {
		news.Domain = peer.News.Domain
		news.Address = peer.News.Address
	}
	peer.News = news
	peer.LastHeard = b.Now
	b.Pool.ReplaceWork(news.Entry, news.Work)
	b.Pool.TellLeft(news.Left, b.Now)
	for _, address := range news.Known {
		c.meet(b, address)
	}
	b.Members = max(b.Members, live(b)+1)
}

// isOld reports whether the news was overtaken. Lives are numbered by the time of
// day, which may jump back: a lower one is taken for new after a silence.
func isOld(b *board.Board, peer *board.Peer, news input.News) bool {
	if news.Life == peer.News.Life {
		return news.Sequence <= peer.News.Sequence
	}
	return news.Life < peer.News.Life && b.Now-peer.LastHeard < LifeSpan
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
	b.Emit(output.Tell{Addresses: []string{c.newsAddress(address)}, News: c.news(b, true)})
}

func live(b *board.Board) int {
	count := 0
	for _, peer := range b.Peers {
		if b.Now-peer.LastHeard <= SilentSpan {
			count++
		}
	}
	return count
}

func forget(b *board.Board) {
	for name, peer := range b.Peers {
		silence := b.Now - peer.LastHeard
		if silence > SilentSpan && peer.News.Work != nil {
			peer.News.Work = nil
			peer.News.Waiting = nil
			b.Pool.ReplaceWork(name, nil)
			b.Note("Entry is silent.", "entry", name)
		}
		if silence > ForgetSpan {
			delete(b.Peers, name)
		}
	}
}

// fetch asks one entry that has a newer configuration for it. The published
// state itself usually brings it first.
func fetch(b *board.Board) {
	if !isBehind(b) {
		b.BehindAt = 0
		return
	}
	if b.BehindAt == 0 {
		b.BehindAt = b.Now
	}
	if b.Now-b.BehindAt < BehindSpan && !b.Plan.IsZero() {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(b.Peers)) {
		peer := b.Peers[name]
		if peer.News.PlanVersion <= b.Plan.Version || b.Now-peer.LastHeard > SilentSpan {
			continue
		}
		if b.Now-peer.FetchedAt >= FetchSpan {
			peer.FetchedAt = b.Now
			b.Emit(output.FetchPlan{Address: peer.News.Address})
			return
		}
	}
}

// IsLookout reports whether the entry is one of the few that read published state
// often for all others, which hear from them what they missed.
func IsLookout(b *board.Board) bool {
	names := []ident.Entry{b.Self}
	for name, peer := range b.Peers {
		if b.Now-peer.LastHeard <= SilentSpan && !peer.News.Leaving {
			names = append(names, name)
		}
	}
	return slices.Contains(ident.Rank(lookoutKey, names)[:min(Lookouts, len(names))], b.Self)
}

func isBehind(b *board.Board) bool {
	for _, peer := range b.Peers {
		if peer.News.PlanVersion > b.Plan.Version && b.Now-peer.LastHeard <= SilentSpan {
			return true
		}
	}
	return false
}

func (c *teller) tell(b *board.Board) {
	span := RoundSpan
	switch {
	case b.WorkChanged:
		span = BatchSpan
	case b.ShortChanged:
		span = ShortSpan
	}
	if b.Now-c.toldAt < span {
		return
	}
	addresses := make([]string, 0, len(b.Peers)+len(b.Seeds))
	for _, peer := range b.Peers {
		addresses = append(addresses, c.newsAddress(peer.News.Address))
	}
	isWhole := b.Now-c.toldAllAt >= WholeSpan
	if isWhole {
		c.toldAllAt = b.Now
	}
	if isWhole && (len(b.Peers) == 0 || b.Now-c.seededAt >= SeedSpan) {
		c.seededAt = b.Now
		for _, seed := range b.Seeds {
			addresses = append(addresses, c.newsAddress(seed))
		}
	}
	slices.Sort(addresses)
	b.Emit(output.Tell{Addresses: slices.Compact(addresses), News: c.news(b, isWhole)})
	c.toldAt = b.Now
	b.WorkChanged = false
	b.ShortChanged = false
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
		Entry: b.Self, Life: b.Life, Sequence: c.sequence, PlanVersion: b.Plan.Version, Leaving: b.Stopping,
		Work: ownWork(b), Left: b.Pool.Left(b.Now), Crashes: map[uint64]int{},
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
	names := slices.Sorted(maps.Keys(b.Peers))
	for range min(knownLimit, len(names)) {
		peer := b.Peers[names[b.Random.IntN(len(names))]]
		if b.Now-peer.LastHeard <= SilentSpan {
			news.Known = append(news.Known, peer.News.Address)
		}
	}
	return news
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
