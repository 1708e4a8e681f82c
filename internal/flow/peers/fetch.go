package peers

import (
	"cmp"
	"slices"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/output"
)

const (
	// FetchTimeout bounds a call for newer published state; one is made at a time, since
	// documents of a megabyte fill the links of small instances.
	FetchTimeout = 1500 * clock.Millis(1)
	// FetchSpan is the least time between two calls that brought nothing new.
	FetchSpan = 100 * clock.Millis(1)
	// BehindSpan is how long a reader of published state waits for what others have
	// already read; changes must be in force within 2 s.
	BehindSpan = 300 * clock.Millis(1)
)

// fetch asks an entry that has newer published state for it. Readers usually get
// it from where it is published first.
func fetch(b *board.Board) {
	newer := sources(b)
	if len(newer) == 0 {
		b.OutdatedSince = 0
		return
	}
	if b.OutdatedSince == 0 {
		b.OutdatedSince = b.Now
	}
	if RoleOf(b) != RoleNone && b.Now-b.OutdatedSince < BehindSpan && !b.Plan.IsZero() {
		return
	}
	if b.Now < b.FetchBlockedUntil {
		return
	}
	b.FetchBlockedUntil = b.Now + FetchTimeout
	// A random one of those that have it: each entry that got a document gives it to
	// others in its turn, so that no link carries it to all.
	from := newer[b.Random.IntN(len(newer))]
	b.Emit(output.FetchPublished{
		Address: from.News.Address, PlanVersion: b.Plan.Version, ListRevision: b.ListRevision,
	})
}

// sources returns the live entries that have newer published state, those of the
// own failure domain if there are any.
func sources(b *board.Board) []*board.Peer {
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
