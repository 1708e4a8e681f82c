package place

import (
	"cmp"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/board"
)

const (
	// TurnSpan is how long a prompt with room waits for others whose turn is
	// earlier; their entries may see the engines otherwise, or be gone.
	TurnSpan = 300 * clock.Millis(1)
	// freshNews is how old news of another entry's waiting prompts may be.
	freshNews = 700 * clock.Millis(1)
)

type (
	// turn orders the long prompts that wait at all entries.
	turn struct {
		// late prompts go behind those whose first event can be on time.
		late   bool
		dueAt  clock.Millis
		entry  ident.Entry
		number uint64
	}
)

func turnOf(b *board.Board, request *board.Request) turn {
	due := request.DueAt()
	return turn{due < b.Now, due, b.Self, request.Request.Number}
}

func compareTurns(a, b turn) int {
	if a.late != b.late {
		if a.late {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(a.dueAt, b.dueAt), cmp.Compare(a.entry, b.entry), cmp.Compare(a.number, b.number))
}

// isFirst reports whether no other waiting prompt of the service has an earlier
// turn.
func isFirst(b *board.Board, request *board.Request) bool {
	own := turnOf(b, request)
	for _, other := range b.Requests {
		isRival := other != request && other.Queued && other.Service == request.Service
		if isRival && compareTurns(turnOf(b, other), own) < 0 {
			return false
		}
	}
	for name, peer := range b.Peers {
		if b.Now-peer.LastHeard > freshNews {
			continue
		}
		for _, waiting := range peer.News.Waiting {
			theirs := turn{waiting.DueAt < b.Now, waiting.DueAt, name, waiting.Number}
			if waiting.Service == request.Service && compareTurns(theirs, own) < 0 {
				return false
			}
		}
	}
	return true
}
