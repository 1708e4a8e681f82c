package peers

import (
	"iter"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/board"
)

const (
	// HubSilence is how long the hub of the own failure domain may send nothing before
	// another one is chosen; it speaks each RoundSpan.
	HubSilence = 700 * clock.Millis(1)
	// MuteSpan is how long an entry that did not pass news on is left out.
	MuteSpan = 3 * clock.Second
	// ForeignSilence is how long nothing may be heard of the hub of another failure
	// domain before others there are told beside it; its word comes over two hubs.
	ForeignSilence = 1 * clock.Second
	// fallbackHubs is how many entries of a silent failure domain are told.
	fallbackHubs = 3
)

// candidates yields the entries of the failure domain that can pass news on, the one
// with the most capacity first: it is the hub.
func candidates(b *board.Board, domain ident.Domain) iter.Seq[board.Member] {
	return func(yield func(board.Member) bool) {
		for _, found := range b.Roster(domain) {
			canPass := !b.Stopping
			if peer := found.Peer; peer != nil {
				canPass = isLive(b, peer) && !peer.News.Leaving && b.Now >= peer.ForwardBackoffUntil
			}
			if canPass && !yield(found) {
				return
			}
		}
	}
}

// chooseHub returns the entry that passes news on within the own failure domain.
// One that is silent is left out for MuteSpan, and the next one is taken.
func (c *teller) chooseHub(b *board.Board) (board.Member, bool) {
	for hub := range candidates(b, b.Domain) {
		if hub.Peer == nil {
			c.hub = hub.Name
			return hub, true
		}
		if hub.Name != c.hub {
			c.hub = hub.Name
			c.hubSince = b.Now
		}
		if b.Now-max(hub.Peer.DirectlySeenAt, c.hubSince) <= HubSilence {
			return hub, true
		}
		hub.Peer.ForwardBackoffUntil = b.Now + MuteSpan
		b.Log("Entry does not pass news on.", "entry", hub.Name)
	}
	return board.Member{}, false
}

// foreignHubs returns who is told in the other failure domains: the hub of each,
// or a few entries of one that is silent.
func foreignHubs(b *board.Board) []board.Member {
	var found []board.Member
	for _, domain := range b.Domains() {
		if domain == b.Domain {
			continue
		}
		if hub, isThere := firstOf(candidates(b, domain)); isThere && b.Now-hub.Peer.LastSeenAt <= ForeignSilence {
			found = append(found, hub)
			continue
		}
		known := b.Roster(domain)
		found = append(found, known[:min(fallbackHubs, len(known))]...)
	}
	return found
}

func firstOf(members iter.Seq[board.Member]) (board.Member, bool) {
	for found := range members {
		return found, true
	}
	return board.Member{}, false
}
