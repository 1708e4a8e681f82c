package peers

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

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

type (
	// member is an entry of a failure domain.
	member struct {
		name     ident.Entry
		address  string
		capacity int
		isSelf   bool
		peer     *board.Peer
	}
)

// membersOf returns the entries of the failure domain for which the condition
// holds. The first one is its hub: the one with the most capacity.
func membersOf(b *board.Board, domain ident.Domain, holds func(*board.Peer) bool) []member {
	var members []member
	if domain == b.Domain && !b.Stopping {
		members = append(members, member{b.Self, b.Address, b.Capacity, true, nil})
	}
	for name, peer := range b.Peers {
		if peer.News.Domain == domain && holds(peer) {
			members = append(members, member{name, peer.News.Address, peer.News.Capacity, false, peer})
		}
	}
	slices.SortFunc(members, func(a, b member) int {
		return cmp.Or(
			cmp.Compare(b.capacity, a.capacity),
			cmp.Compare(xxhash.Sum64String(string(a.name)), xxhash.Sum64String(string(b.name))),
		)
	})
	return members
}

// candidates returns the entries of the failure domain that can pass news on.
func candidates(b *board.Board, domain ident.Domain) []member {
	return membersOf(b, domain, func(peer *board.Peer) bool {
		return isLive(b, peer) && !peer.News.Leaving && b.Now >= peer.MutedUntil
	})
}

// chooseHub returns the entry that passes news on within the own failure domain.
// One that is silent is left out for MuteSpan, and the next one is taken.
func (c *teller) chooseHub(b *board.Board) (member, bool) {
	for _, hub := range candidates(b, b.Domain) {
		if hub.isSelf {
			c.hub = hub.name
			return hub, true
		}
		if hub.name != c.hub {
			c.hub = hub.name
			c.hubSince = b.Now
		}
		if b.Now-max(hub.peer.DirectAt, c.hubSince) <= HubSilence {
			return hub, true
		}
		hub.peer.MutedUntil = b.Now + MuteSpan
		b.Note("Entry does not pass news on.", "entry", hub.name)
	}
	return member{}, false
}

// foreignHubs returns who is told in the other failure domains: the hub of each,
// or a few entries of one that is silent.
func foreignHubs(b *board.Board) []member {
	domains := map[ident.Domain]bool{}
	for _, peer := range b.Peers {
		domains[peer.News.Domain] = true
	}
	delete(domains, b.Domain)
	var found []member
	for domain := range domains {
		members := candidates(b, domain)
		if len(members) > 0 && b.Now-members[0].peer.LastHeard <= ForeignSilence {
			found = append(found, members[0])
			continue
		}
		known := membersOf(b, domain, func(*board.Peer) bool { return true })
		found = append(found, known[:min(fallbackHubs, len(known))]...)
	}
	return found
}
