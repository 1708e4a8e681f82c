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
	// TellBurst is how far what is told may be ahead of the rate, in the time that the
	// rate takes for it. Work must be known while it is new, above all in a surge of
	// callers, which lasts ten seconds and trebles what there is to tell.
	TellBurst = 20 * clock.Second
	// WholePartsSpan is the least time between two tellings of all work, which mend what
	// datagrams lost on their way.
	WholePartsSpan = 2 * clock.Second

	// shareParts is the part of the rate of a hub at which an entry tells its own work.
	shareParts = 4
	// wholePartsParts is how many times longer it is when there is much work, so that
	// it takes a third of the rate.
	wholePartsParts = 3
	// partSums bounds the sums of one datagram, which is a few packets long.
	partSums = 150
	// The usual lengths of the head of a datagram, of brief news, of a datagram with a
	// share, of the head of a part, of a sum and of the word that is in.
	headBytes  = 60
	newsBytes  = 50
	shareBytes = 80
	partBytes  = 20
	sumBytes   = 18
	heardBytes = 8
)

// tellHub tells the hub of the own work and news.
func (c *teller) tellHub(b *board.Board, hub board.Member, own []input.News, isRound bool) {
	batch := input.Batch{Sender: b.Self, Forward: true, News: own}
	if c.shares.isSpent(b.Now) {
		c.send(b, []string{c.newsAddress(hub.Address)}, batch)
		return
	}
	if share, isNew := b.Tally.Tell(hub.Name, ownWork(b), isRound); isNew {
		batch.Contribution = &share
		c.shares.charge(shareBytes+sumBytes*len(share.Loads), b.Now)
	}
	c.send(b, []string{c.newsAddress(hub.Address)}, batch)
}

// addParts adds the work of the own failure domain, and what other hubs told of
// theirs. When more is told than the rate allows, work is told less often, and meanwhile
// rounds say only that the hub lives. News of other kinds is never held back.
func (c *teller) addParts(b *board.Board, inside, outside *input.Batch, isRound bool) {
	scope := tally.ScopeChanged
	switch {
	case c.told.isSpent(b.Now):
		c.isHeld = true
		if !isRound {
			return
		}
		scope = tally.ScopeNone
	case isRound && b.Now >= c.wholePartsAt:
		scope = tally.ScopeWhole
	}
	if own, isNew := b.Tally.OwnPart(scope); isNew {
		outside.Aggregates = []tally.Aggregate{own}
		inside.Aggregates = []tally.Aggregate{own}
	}
	inside.Aggregates = append(inside.Aggregates, b.Tally.PassOn(scope)...)
	if c.isHeld {
		addHeld(inside.Aggregates, b.Now-c.partsAt)
		addHeld(outside.Aggregates, b.Now-c.partsAt)
	}
	if scope != tally.ScopeNone {
		c.partsAt = b.Now
		c.isHeld = false
	}
	size := sizeOf(inside.Aggregates)
	c.told.charge(size, b.Now)
	if scope == tally.ScopeWhole {
		c.wholePartsAt = b.Now + max(WholePartsSpan, wholePartsParts*c.told.spanOf(size))
	}
}

// addHeld says for how much longer the parts were held back.
func addHeld(parts []tally.Aggregate, span clock.Millis) {
	for i := range parts {
		parts[i].Held += span
	}
}

// sizeOf estimates the bytes of the parts in a datagram.
func sizeOf(parts []tally.Aggregate) int {
	size := 0
	for _, part := range parts {
		size += partBytes + sumBytes*len(part.Loads) + heardBytes*len(part.Heard)
	}
	return size
}

// ownWork sums up the work of the entry itself.
func ownWork(b *board.Board) tally.Loads {
	own := tally.Loads{}
	add := func(engine *plan.Engine, name ident.Endpoint, number uint64) {
		endpoint := b.Pool.Find(name)
		if endpoint == nil {
			return
		}
		if work, found := endpoint.Work[number]; found {
			own[endpoint.Hash()] = own[endpoint.Hash()].Add(cost.LoadOfWork(engine, work, b.Now))
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
