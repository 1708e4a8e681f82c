package peers

import (
	"maps"
	"slices"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/output"
)

const (
	// FetchSpan is the time between two calls for newer published state to one entry.
	FetchSpan = 300 * clock.Millis(1)
	// BehindSpan is how long a reader of published state waits for what others have
	// already read; changes must be in force within 2 s.
	BehindSpan = 300 * clock.Millis(1)
)

// fetch asks an entry that has newer published state for it. Readers usually get
// it from where it is published first.
func fetch(b *board.Board) {
	newer := sources(b)
	if len(newer) == 0 {
		b.BehindAt = 0
		return
	}
	if b.BehindAt == 0 {
		b.BehindAt = b.Now
	}
	if RoleOf(b) != RoleNone && b.Now-b.BehindAt < BehindSpan && !b.Plan.IsZero() {
		return
	}
	for _, peer := range newer {
		if b.Now-peer.FetchedAt >= FetchSpan {
			peer.FetchedAt = b.Now
			b.Emit(output.FetchPublished{
				Address: peer.News.Address, PlanVersion: b.Plan.Version, ListRevision: b.ListRevision,
			})
			return
		}
	}
}

// sources returns the live entries that have newer published state, the one that
// was heard directly last first: the own hub, usually.
func sources(b *board.Board) []*board.Peer {
	var newer []*board.Peer
	for _, name := range slices.Sorted(maps.Keys(b.Peers)) {
		peer := b.Peers[name]
		isNewer := peer.News.PlanVersion > b.Plan.Version || peer.News.ListRevision > b.ListRevision
		if isNewer && isLive(b, peer) {
			newer = append(newer, peer)
		}
	}
	slices.SortStableFunc(newer, func(x, y *board.Peer) int {
		if x.News.Domain != y.News.Domain {
			if x.News.Domain == b.Domain {
				return -1
			}
			if y.News.Domain == b.Domain {
				return 1
			}
		}
		return int(y.DirectAt - x.DirectAt)
	})
	return newer
}
