package peers

import (
	"cmp"
	"slices"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/output"
)

const (
	// FetchLimit bounds a call for newer published state; one is made at a time, since
	// documents of a megabyte fill the links of small instances.
	FetchLimit = 1500 * clock.Millis(1)
	// MinFetchInterval is the least time between two calls that brought nothing new.
	MinFetchInterval = 100 * clock.Millis(1)
	// FetchDelay is how long a reader of published state waits for what others have
	// already read; changes must be in force within 2 s.
	FetchDelay = 300 * clock.Millis(1)
)

// fetchNewer asks an entry that has newer published state for it. Readers usually get
// it from where it is published first.
func fetchNewer(b *board.Board) {
	newer := newerPeers(b)
	if len(newer) == 0 {
		b.BehindAt = 0
		return
	}
	if b.BehindAt == 0 {
		b.BehindAt = b.Now
	}
	if RoleOf(b) != RoleNone && b.Now-b.BehindAt < FetchDelay && !b.Plan.IsZero() {
		return
	}
	if b.Now < b.FetchUntil {
		return
	}
	b.FetchUntil = b.Now + FetchLimit
	// A random one of those that have it: each entry that got a document gives it to
	// others in its turn, so that no link carries it to all.
	from := newer[b.Random.IntN(len(newer))]
	b.Emit(output.FetchPublished{
		Address: from.News.Address, PlanVersion: b.Plan.Version, ListRevision: b.ListRevision,
	})
}

// newerPeers returns the live entries that have newer published state, those of the
// own failure domain if there are any.
func newerPeers(b *board.Board) []*board.Peer {
	var near, far []*board.Peer
	for _, peer := range b.Peers {
		isNewer := peer.News.PlanVersion > b.Plan.Version || peer.News.ListRevision > b.ListRevision
		switch {
		case !isNewer || !isLive(b, peer):
		case peer.News.Domain == b.Domain:
			near = append(near, peer)
		default:
			far = append(far, peer)
		}
	}
	if len(near) == 0 {
		near = far
	}
	slices.SortFunc(near, func(a, b *board.Peer) int { return cmp.Compare(a.News.Entry, b.News.Entry) })
	return near
}
