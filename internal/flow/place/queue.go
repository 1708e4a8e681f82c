package place

import (
	"cmp"
	"slices"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/cost"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/plan"
)

const (
	// TurnSpan is how long a prompt with room waits for others whose turn is
	// earlier; their entries may see the engines otherwise, or be gone.
	TurnSpan = 300 * clock.Millis(1)
	// freshNews is how old news of another entry's waiting prompts may be.
	freshNews = 1000 * clock.Millis(1)
	// readShare is the part of its time that an engine of the long lane reads; in
	// the rest it writes.
	readShare = 0.8
)

type (
	// queue is all long prompts that wait for the engines of a service, at all
	// entries, in the order of their turns. Entries with equal news agree on it.
	queue []waiter

	// waiter is a long prompt that waits.
	waiter struct {
		input.QueuedPrompt
		entry ident.Entry
		// span is how long the lane reads the prompt.
		span     clock.Millis
		isOnTime bool
		startAt  clock.Millis
	}

	// place is the turn of one prompt.
	place struct {
		isFirst  bool
		isOnTime bool
		startAt  clock.Millis
	}
)

// queueOf lines up the waiting prompts. It keeps as many on time as the lane can
// serve: in the order of their due times, and when one would be late the longest
// of those before it and itself is put behind (Moore's algorithm).
func queueOf(b *board.Board, engine *plan.Engine, request *board.Request, engines int) queue {
	var all queue
	add := func(entry ident.Entry, waiting input.QueuedPrompt) {
		if waiting.Service != request.Service {
			return
		}
		read := cost.ReadMillis(engine, waiting.PromptTokens, engines) / readShare
		all = append(all, waiter{QueuedPrompt: waiting, entry: entry, span: clock.Millis(read)})
	}
	for _, other := range b.Requests {
		if other == request || other.Queued {
			add(b.Self, other.QueuedPrompt())
		}
	}
	for name, peer := range b.PeersWithQueue {
		if b.Now-peer.LastSeenAt > freshNews {
			continue
		}
		for _, waiting := range peer.News.QueuedPrompts {
			add(name, waiting)
		}
	}
	slices.SortFunc(all, func(a, b waiter) int {
		return cmp.Or(cmp.Compare(a.DueAt, b.DueAt), cmp.Compare(a.entry, b.entry), cmp.Compare(a.Number, b.Number))
	})
	return all.lineUp(b.Now)
}

func (q queue) lineUp(now clock.Millis) queue {
	var onTime, late queue
	end := now
	for _, next := range q {
		onTime = append(onTime, next)
		end += next.span
		if end <= next.DueAt {
			continue
		}
		longest := 0
		for i, other := range onTime {
			if other.span >= onTime[longest].span {
				longest = i
			}
		}
		end -= onTime[longest].span
		late = append(late, onTime[longest])
		onTime = slices.Delete(onTime, longest, longest+1)
	}
	for i := range onTime {
		onTime[i].isOnTime = true
	}
	// Late prompts go by age, short ones first.
	slices.SortStableFunc(late, func(a, b waiter) int { return cmp.Compare(a.DueAt+a.span, b.DueAt+b.span) })
	lined := append(onTime, late...)
	start := now
	for i := range lined {
		lined[i].startAt = start
		start += lined[i].span
	}
	return lined
}

// placeOf returns the turn of an own request.
func (q queue) placeOf(b *board.Board, request *board.Request) place {
	for i, waiting := range q {
		if waiting.entry == b.Self && waiting.Number == request.Request.Number {
			return place{i == 0, waiting.isOnTime, waiting.startAt}
		}
	}
	return place{}
}
