package peers

import (
	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/board"
)

const (
	// FirstReader is how long published state may be unconfirmed before an entry that
	// is no hub reads it: longer than a hub's watch and the way of its word.
	FirstReader = 1400 * clock.Millis(1)
	// ReaderSpan is how much later each entry behind it in line follows.
	ReaderSpan = 100 * clock.Millis(1)
	// LastReader is when all of them read.
	LastReader = 2 * clock.Second
)

// Whether an entry reads published state.
const (
	// RoleNone leaves the reading of published state to others.
	RoleNone Role = iota
	// RoleSpare reads since nobody else has confirmed published state for a while.
	RoleSpare
	// RoleHub reads for its failure domain.
	RoleHub
)

type (
	// Role says whether an entry reads published state.
	Role int
)

// RoleOf returns the role of the entry. The hub of each failure domain reads, and
// others when nobody else has confirmed the state for a while, one after another.
func RoleOf(b *board.Board) Role {
	if b.Plan.IsZero() || !b.HasList {
		return RoleHub
	}
	confirmed := clock.Millis(0)
	for _, peer := range b.Peers {
		if isLive(b, peer) {
			confirmed = max(confirmed, peer.News.ConfirmedAt)
		}
	}
	patience := LastReader
	before := clock.Millis(0)
	for found := range candidates(b, b.Domain) {
		if found.Peer != nil {
			before++
			continue
		}
		if before == 0 {
			return RoleHub
		}
		patience = min(FirstReader+(before-1)*ReaderSpan, LastReader)
	}
	if b.Now-confirmed >= patience {
		return RoleSpare
	}
	return RoleNone
}
