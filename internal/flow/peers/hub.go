package peers

import (
	"iter"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/board"
)

const (
	// HubTimeout is how long the hub of this entry's failure domain may send nothing
	// before another one is chosen. It sends every RoundInterval.
	HubTimeout = 700 * clock.Millis(1)
	// ForwardBackoff is how long an entry that failed to forward news is not chosen as a
	// hub.
	ForwardBackoff = 3 * clock.Second
	// RemoteHubTimeout is how long nothing may have been received from the hub of another
	// failure domain before up to fallbackHubs entries of that domain get the news.
	// Messages from there arrive over two hubs.
	RemoteHubTimeout = 1 * clock.Second
	// fallbackHubs is the number of entries that get the news in a failure domain without
	// a responsive hub.
	fallbackHubs = 3
)

// hubCandidates yields the entries of the failure domain that can forward news, by
// descending capacity. The first one is the hub.
func hubCandidates(b *board.Board, domain ident.Domain) iter.Seq[board.Member] {
	return func(yield func(board.Member) bool) {
		for _, member := range b.Roster(domain) {
			canForward := !b.Stopping
			if peer := member.Peer; peer != nil {
				canForward = isLive(b, peer) && !peer.News.Leaving && b.Now >= peer.ForwardBackoffUntil
			}
			if canForward && !yield(member) {
				return
			}
		}
	}
}

// chooseHub returns the entry that forwards news within this entry's failure domain. A
// hub that has sent nothing for HubTimeout is skipped for ForwardBackoff, and the next
// candidate is chosen. The result is false if there is no candidate.
func (p *publisher) chooseHub(b *board.Board) (board.Member, bool) {
	for hub := range hubCandidates(b, b.Domain) {
		if hub.Peer == nil {
			p.hub = hub.Name
			return hub, true
		}
		if hub.Name != p.hub {
			p.hub = hub.Name
			p.hubSince = b.Now
		}
		if b.Now-max(hub.Peer.DirectlySeenAt, p.hubSince) <= HubTimeout {
			return hub, true
		}
		hub.Peer.ForwardBackoffUntil = b.Now + ForwardBackoff
		b.Log("Entry does not pass news on.", "entry", hub.Name)
	}
	return board.Member{}, false
}

// remoteHubs returns the entries that get news in the other failure domains: the hub of
// each domain, or up to fallbackHubs entries of a domain whose hub is unresponsive.
func remoteHubs(b *board.Board) []board.Member {
	var hubs []board.Member
	for _, domain := range b.Domains() {
		if domain == b.Domain {
			continue
		}
		if hub, ok := firstMember(hubCandidates(b, domain)); ok && b.Now-hub.Peer.LastSeenAt <= RemoteHubTimeout {
			hubs = append(hubs, hub)
			continue
		}
		members := b.Roster(domain)
		hubs = append(hubs, members[:min(fallbackHubs, len(members))]...)
	}
	return hubs
}

func firstMember(members iter.Seq[board.Member]) (board.Member, bool) {
	for member := range members {
		return member, true
	}
	return board.Member{}, false
}
