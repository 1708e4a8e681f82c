// Package roster holds the controller that keeps the list of other entries. The
// platform's lagging list proposes entries; only what is heard decides.
package roster

import (
	"mustardhook/internal/core/action"
	"mustardhook/internal/core/board"
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/event"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/core/loop"
	"mustardhook/internal/core/msgs"
)

const (
	// SilenceLimit is how long an entry stays live without being heard of.
	SilenceLimit = 6 * clock.Second
	// ForgetAfter is how long a silent entry that the platform does not list is kept.
	ForgetAfter = 2 * clock.Minute
)

type (
	controller struct{}
)

// NewController returns the controller of the list of entries.
func NewController() loop.Controller { return controller{} }

// IsLive reports whether the entry was heard of lately and is not leaving.
func IsLive(b *board.Board, peer *board.Peer) bool {
	return !peer.Member.Leaving && IsReachable(b, peer)
}

// IsReachable reports whether the entry was heard of lately.
func IsReachable(b *board.Board, peer *board.Peer) bool {
	return peer.LastSeenAt > 0 && b.Now-peer.LastSeenAt <= SilenceLimit
}

// Live returns the live entries in order of their names, without the own one.
func Live(b *board.Board) []*board.Peer {
	var live []*board.Peer
	for _, name := range board.Sorted(b.Peers) {
		if IsLive(b, b.Peers[name]) {
			live = append(live, b.Peers[name])
		}
	}
	return live
}

// LiveIn returns the live entries of a failure domain, without the own one.
func LiveIn(b *board.Board, domain ident.Domain) []*board.Peer {
	var live []*board.Peer
	for _, peer := range Live(b) {
		if peer.Member.Domain == domain {
			live = append(live, peer)
		}
	}
	return live
}

// Step keeps the list.
func (controller) Step(b *board.Board, happened event.Event) {
	switch happened := happened.(type) {
	case event.InstancesRead:
		readInstances(b, happened.Instances)
	case event.MessageCame:
		b.LastContactAt = b.Now
		hear(b, happened.From, 0)
		if gossip, is := happened.Message.(msgs.Gossip); is {
			hearOthers(b, gossip)
			hearAges(b, happened.From, gossip.Ages)
		}
	case event.Ticked:
		forget(b)
	}
}

func readInstances(b *board.Board, instances []event.Instance) {
	for _, peer := range b.Peers {
		peer.Listed = false
	}
	for _, load := range b.Endpoints {
		load.ListedLeaving = false
	}
	b.ListRead = true
	b.Listed = false
	for _, instance := range instances {
		if !instance.IsEntry {
			readEndpoint(b, instance)
			continue
		}
		readEntry(b, instance)
	}
}

func readEndpoint(b *board.Board, instance event.Instance) {
	if instance.Leaving {
		b.EndpointStatus(ident.Endpoint(instance.Name)).ListedLeaving = true
	}
}

func readEntry(b *board.Board, instance event.Instance) {
	name := ident.Entry(instance.Name)
	if name == b.Self.Entry {
		b.Listed = true
		return
	}
	peer := b.Peers[name]
	if peer == nil {
		member := msgs.Member{
			Incarnation: ident.Incarnation{Entry: name},
			Domain:      instance.Domain,
			Address:     instance.Address,
		}
		peer = &board.Peer{Member: member}
		b.Peers[name] = peer
	}
	peer.Listed = true
}

// Find returns the reachable entry of the incarnation.
func Find(b *board.Board, incarnation ident.Incarnation) (*board.Peer, bool) {
	peer := b.Peers[incarnation.Entry]
	if peer == nil || peer.Member.Incarnation != incarnation {
		return nil, false
	}
	return peer, IsReachable(b, peer)
}

func hearOthers(b *board.Board, gossip msgs.Gossip) {
	for _, member := range gossip.Members {
		hear(b, member, member.Heard)
	}
	for _, endpoint := range gossip.Leaving {
		b.EndpointStatus(endpoint).GossipedLeaving = true
	}
}

// hearAges takes how long ago the sender heard the entries of its failure domain.
func hearAges(b *board.Board, from msgs.Member, ages []msgs.Age) {
	if from.Domain != b.Domain || len(ages) == 0 {
		return
	}
	known := make(map[uint32]*board.Peer, len(b.Peers))
	for _, peer := range b.Peers {
		known[peer.Member.Incarnation.EntryHash(msgs.MaxEntryHash)] = peer
	}
	for _, age := range ages {
		peer := known[age.EntryHash]
		if peer == nil || peer.Member.Domain != b.Domain || peer.LastSeenAt == 0 {
			continue
		}
		at := b.Now - clock.Millis(age.Units)*msgs.AgeUnit
		peer.LastSeenAt = max(peer.LastSeenAt, at)
		if age.InView && from.View == b.Keeper.Number() && at > peer.ViewSeenAt {
			peer.Member.View = from.View
			peer.ViewSeenAt = at
		}
	}
}

func hear(b *board.Board, member msgs.Member, ago clock.Millis) {
	name := member.Incarnation.Entry
	if name == b.Self.Entry || name == "" {
		return
	}
	peer := b.Peers[name]
	if peer == nil {
		peer = &board.Peer{}
		b.Peers[name] = peer
	}
	if member.Incarnation.Epoch < peer.Member.Incarnation.Epoch {
		return
	}
	isNew := member.Incarnation != peer.Member.Incarnation
	left := member.Leaving || (peer.Member.Leaving && !isNew)
	if isNew {
		b.Audit(action.AuditEntry, member.Incarnation.String(), "Entry joined.")
	}
	if left && !peer.Member.Leaving {
		b.Audit(action.AuditEntry, member.Incarnation.String(), "Entry is leaving.")
	}
	view := peer.Member.View
	isNewer := isNew || b.Now-ago >= peer.ViewSeenAt
	peer.Member = member
	peer.Member.Leaving = left
	peer.Member.Heard = 0
	if isNewer {
		peer.ViewSeenAt = b.Now - ago
	} else {
		peer.Member.View = view
	}
	peer.LastSeenAt = max(peer.LastSeenAt, b.Now-ago)
}

func forget(b *board.Board) {
	for _, name := range board.Sorted(b.Peers) {
		peer := b.Peers[name]
		if !peer.Listed && peer.LastSeenAt > 0 && b.Now-peer.LastSeenAt > ForgetAfter {
			delete(b.Peers, name)
			b.Audit(action.AuditEntry, peer.Member.Incarnation.String(), "Entry forgotten.")
		}
	}
}
