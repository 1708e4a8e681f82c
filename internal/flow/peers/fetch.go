package peers

import (
	"cmp"
	"slices"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/output"
)

const (
	// FetchTimeout bounds a call that fetches newer published state. An entry makes one
	// call at a time, since documents of a megabyte saturate the links of small
	// instances.
	FetchTimeout = 1500 * clock.Millis(1)
	// MinFetchInterval is the minimum time between the end of one call and the next.
	MinFetchInterval = 100 * clock.Millis(1)
	// FetchDelay is how long an entry that reads published state itself waits before it
	// fetches what peers have already read. Changes must be in force within 2 s.
	FetchDelay = 300 * clock.Millis(1)
)

// fetchNewer fetches newer published state from a peer. Entries that read published state
// themselves usually get it from its source first.
func fetchNewer(b *board.Board) {
	candidates := newerPeers(b)
	if len(candidates) == 0 {
		b.OutdatedSince = 0
		return
	}
	if b.OutdatedSince == 0 {
		b.OutdatedSince = b.Now
	}
	if RoleOf(b) != RoleNone && b.Now-b.OutdatedSince < FetchDelay && !b.Plan.IsZero() {
		return
	}
	if b.Now < b.FetchBlockedUntil {
		return
	}
	b.FetchBlockedUntil = b.Now + FetchTimeout
	// The peer is chosen at random. Each entry that has fetched a document serves it to
	// others in turn, so that no single link carries it to all.
	source := candidates[b.Random.IntN(len(candidates))]
	b.Emit(output.FetchPublished{
		Address: source.News.Address, PlanVersion: b.Plan.Version, ListAt: b.ListAt,
	})
}

// newerPeers returns the live peers with newer published state, sorted by name. Peers in
// the same failure domain are preferred: others are returned only if there are none.
func newerPeers(b *board.Board) []*board.Peer {
	var local, remote []*board.Peer
	for _, peer := range b.Peers {
		isNewer := peer.News.PlanVersion > b.Plan.Version || peer.News.ListAt.IsAfter(b.ListAt)
		switch {
		case !isNewer || !isLive(b, peer):
		case peer.News.Domain == b.Domain:
			local = append(local, peer)
		default:
			remote = append(remote, peer)
		}
	}
	if len(local) == 0 {
		local = remote
	}
	slices.SortFunc(local, func(a, b *board.Peer) int { return cmp.Compare(a.News.Entry, b.News.Entry) })
	return local
}
