package peers

import (
	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/board"
)

const (
	// FirstSpareDelay is how long published state may be unconfirmed before an entry that
	// is no hub reads it. It exceeds the time for which a hub's read waits for changes, plus
	// the time that its news takes to arrive.
	FirstSpareDelay = 1400 * clock.Millis(1)
	// SpareDelayStep is the additional delay of each further entry in the order of hub
	// candidates.
	SpareDelayStep = 100 * clock.Millis(1)
	// MaxSpareDelay is the delay after which all entries read.
	MaxSpareDelay = 2 * clock.Second
)

// The roles of entries that determine who reads published state.
const (
	// RoleNone leaves reading published state to other entries.
	RoleNone Role = iota
	// RoleSpare reads because no other entry has confirmed published state for a while.
	RoleSpare
	// RoleHub reads for its failure domain.
	RoleHub
)

type (
	// Role determines whether an entry reads published state.
	Role int
)

// RoleOf returns the role of the entry. The hub of each failure domain reads. If nobody
// has confirmed published state for a while, the other entries take over one after
// another.
func RoleOf(b *board.Board) Role {
	if b.Plan.IsZero() || !b.HasList {
		return RoleHub
	}
	confirmedAt := clock.Millis(0)
	for _, peer := range b.Peers {
		// What was read in an era that has ended confirms nothing.
		if isLive(b, peer) && peer.News.ListAt.Era >= b.ListAt.Era {
			confirmedAt = max(confirmedAt, peer.News.ConfirmedAt)
		}
	}
	delay := MaxSpareDelay
	preceding := clock.Millis(0)
	for candidate := range hubCandidates(b, b.Domain) {
		if candidate.Peer != nil {
			preceding++
			continue
		}
		if preceding == 0 {
			return RoleHub
		}
		delay = min(FirstSpareDelay+(preceding-1)*SpareDelayStep, MaxSpareDelay)
	}
	if b.Now-confirmedAt >= delay {
		return RoleSpare
	}
	return RoleNone
}
