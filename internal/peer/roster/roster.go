// Package roster implements the controller that maintains the list of peers, the other
// entries. The platform's instance list lags, so it only adds peers. Whether a peer is
// live depends on messages from it, received by this entry or reported by another.
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
	// UnresponsiveTimeout is how long a peer counts as reachable after its last message.
	UnresponsiveTimeout = 6 * clock.Second
	// PeerTTL is how long an unresponsive peer that the platform does not list is kept.
	PeerTTL = 2 * clock.Minute
)

type (
	controller struct{}
)

// NewController returns a controller for the list of peers.
func NewController() loop.Controller { return controller{} }

// IsLive reports whether the peer is reachable and not leaving.
func IsLive(b *board.Board, peer *board.Peer) bool {
	return !peer.Member.Leaving && IsReachable(b, peer)
}

// IsReachable reports whether the last message from the peer, received by this entry or
// reported by another, is at most UnresponsiveTimeout old.
func IsReachable(b *board.Board, peer *board.Peer) bool {
	return peer.LastSeenAt > 0 && b.Now-peer.LastSeenAt <= UnresponsiveTimeout
}

// Live returns the live peers, sorted by name.
func Live(b *board.Board) []*board.Peer {
	var live []*board.Peer
	for _, name := range board.Sorted(b.Peers) {
		if IsLive(b, b.Peers[name]) {
			live = append(live, b.Peers[name])
		}
	}
	return live
}

// LiveIn returns the live peers of a failure domain, sorted by name.
func LiveIn(b *board.Board, domain ident.Domain) []*board.Peer {
	var live []*board.Peer
	for _, peer := range Live(b) {
		if peer.Member.Domain == domain {
			live = append(live, peer)
		}
	}
	return live
}

// Step handles one event.
func (controller) Step(b *board.Board, input event.Event) {
	switch input := input.(type) {
	case event.InstancesRead:
		b.List.Read(input, b.Now)
		applyInstances(b, b.List.Instances())
	case event.MessageCame:
		b.LastContactAt = b.Now
		admitLowerEpoch(b, input.From)
		updatePeer(b, input.From, 0)
		if gossip, ok := input.Message.(msgs.Gossip); ok {
			applyGossip(b, gossip)
			applyAges(b, input.From, gossip.Ages)
		}
	case event.Ticked:
		if b.List.Expire(b.Now) {
			applyInstances(b, b.List.Instances())
		}
		removeExpired(b)
	}
}

func applyInstances(b *board.Board, instances []event.Instance) {
	for _, peer := range b.Peers {
		peer.Listed = false
	}
	for _, status := range b.Endpoints {
		status.ListedLeaving = false
	}
	b.ListRead = true
	b.Listed = false
	for _, instance := range instances {
		if !instance.IsEntry {
			applyEndpoint(b, instance)
			continue
		}
		applyEntry(b, instance)
	}
}

func applyEndpoint(b *board.Board, instance event.Instance) {
	if instance.Leaving {
		b.EndpointStatus(ident.Endpoint(instance.Name)).ListedLeaving = true
	}
}

func applyEntry(b *board.Board, instance event.Instance) {
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

// Find returns the peer with the incarnation and reports whether it is reachable. The
// peer is nil if its entry is unknown or has another incarnation.
func Find(b *board.Board, incarnation ident.Incarnation) (*board.Peer, bool) {
	peer := b.Peers[incarnation.Entry]
	if peer == nil || peer.Member.Incarnation != incarnation {
		return nil, false
	}
	return peer, IsReachable(b, peer)
}

func applyGossip(b *board.Board, gossip msgs.Gossip) {
	for _, member := range gossip.Members {
		peer := b.Peers[member.Incarnation.Entry]
		isFormer := peer != nil && member.Incarnation.Epoch == peer.FormerEpoch && peer.FormerEpoch > peer.Member.Incarnation.Epoch
		if isFormer {
			continue
		}
		updatePeer(b, member, member.Heard)
	}
	for _, endpoint := range gossip.Leaving {
		b.EndpointStatus(endpoint).GossipedLeaving = true
	}
}

// applyAges updates the peers of this failure domain with the time since the sender
// received a message from each of them.
func applyAges(b *board.Board, from msgs.Member, ages []msgs.Age) {
	if from.Domain != b.Domain || len(ages) == 0 {
		return
	}
	byHash := make(map[uint32]*board.Peer, len(b.Peers))
	for _, peer := range b.Peers {
		byHash[peer.Member.Incarnation.EntryHash(msgs.MaxEntryHash)] = peer
	}
	for _, age := range ages {
		peer := byHash[age.EntryHash]
		if peer == nil || peer.Member.Domain != b.Domain || peer.LastSeenAt == 0 {
			continue
		}
		at := b.Now - clock.Millis(age.Units)*msgs.AgeUnit
		peer.LastSeenAt = max(peer.LastSeenAt, at)
		if age.InView && from.View == b.Membership.Number() && at > peer.ViewSeenAt {
			peer.Member.View = from.View
			peer.ViewSeenAt = at
		}
	}
}

// admitLowerEpoch makes way for a peer that sends under a lower epoch than the known one:
// its clock was set back before it started. The known incarnation must have been silent while
// this entry could have received its messages, since an old message may be late.
func admitLowerEpoch(b *board.Board, from msgs.Member) {
	peer := b.Peers[from.Incarnation.Entry]
	if peer == nil || from.Incarnation.Epoch >= peer.Member.Incarnation.Epoch {
		return
	}
	silentSince := max(peer.LastSeenAt, b.StartedAt, b.ResumedAt)
	if b.Now-silentSince > UnresponsiveTimeout {
		peer.FormerEpoch = peer.Member.Incarnation.Epoch
		peer.Member.Incarnation.Epoch = 0
	}
}

// updatePeer records that this or another entry received a message from the member, of
// the given age. It ignores members of an earlier incarnation. A peer that is leaving
// stays so until it restarts.
func updatePeer(b *board.Board, member msgs.Member, age clock.Millis) {
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
	leaving := member.Leaving || (peer.Member.Leaving && !isNew)
	if isNew {
		b.Audit(action.AuditEntry, member.Incarnation.String(), "Entry joined.")
	}
	if leaving && !peer.Member.Leaving {
		b.Audit(action.AuditEntry, member.Incarnation.String(), "Entry is leaving.")
	}
	view := peer.Member.View
	isNewer := isNew || b.Now-age >= peer.ViewSeenAt
	peer.Member = member
	peer.Member.Leaving = leaving
	peer.Member.Heard = 0
	if isNewer {
		peer.ViewSeenAt = b.Now - age
	} else {
		peer.Member.View = view
	}
	peer.LastSeenAt = max(peer.LastSeenAt, b.Now-age)
}

func removeExpired(b *board.Board) {
	for _, name := range board.Sorted(b.Peers) {
		peer := b.Peers[name]
		if !peer.Listed && peer.LastSeenAt > 0 && b.Now-peer.LastSeenAt > PeerTTL {
			delete(b.Peers, name)
			b.Audit(action.AuditEntry, peer.Member.Incarnation.String(), "Entry forgotten.")
		}
	}
}
