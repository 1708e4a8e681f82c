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
	// QueueTimeout is how long a prompt waits for the prompts ahead of it while there is
	// capacity. Their entries may see other loads at the engines, or have stopped.
	QueueTimeout = 300 * clock.Millis(1)
	// queueNewsTTL is how long another entry's queued prompts are considered after its
	// last message.
	queueNewsTTL = 1000 * clock.Millis(1)
	// prefillTimeShare is the fraction of its time that an engine of the long size class
	// spends on prefill; the remainder is spent on decoding.
	prefillTimeShare = 0.8
)

type (
	// queue holds the long prompts that wait for the engines of a service at all
	// entries, in the order in which they start. Entries with the same news agree on it.
	queue []queuedPrompt

	// queuedPrompt is a long prompt in the queue.
	queuedPrompt struct {
		input.QueuedPrompt
		entry ident.Entry
		// prefill is how long the engines need for the prefill of the prompt.
		prefill clock.Millis
		// isOnTime reports whether the prefill is scheduled to end before the prompt is due.
		isOnTime bool
		startAt  clock.Millis
	}

	// position is the position of one prompt in the queue.
	position struct {
		isFirst  bool
		isOnTime bool
		startAt  clock.Millis
	}
)

// buildQueue returns the queue for the service of the request, which it includes. It
// maximises the number of prompts that are on time with the Moore-Hodgson algorithm:
// prompts are scheduled in the order of their due times, and whenever one would be late,
// the longest of those scheduled so far is moved to the end.
func buildQueue(b *board.Board, engine *plan.Engine, request *board.Request, engines int) queue {
	var all queue
	add := func(entry ident.Entry, prompt input.QueuedPrompt) {
		if prompt.Service != request.Service {
			return
		}
		prefill := cost.PrefillMillis(engine, prompt.PromptTokens, engines) / prefillTimeShare
		all = append(all, queuedPrompt{QueuedPrompt: prompt, entry: entry, prefill: clock.Millis(prefill)})
	}
	for _, other := range b.Requests {
		if other == request || other.Queued {
			add(b.Self, other.QueuedPrompt())
		}
	}
	for name, peer := range b.PeersWithQueue {
		if b.Now-peer.LastSeenAt > queueNewsTTL {
			continue
		}
		for _, prompt := range peer.News.QueuedPrompts {
			add(name, prompt)
		}
	}
	slices.SortFunc(all, func(a, b queuedPrompt) int {
		return cmp.Or(cmp.Compare(a.DueAt, b.DueAt), cmp.Compare(a.entry, b.entry), cmp.Compare(a.Number, b.Number))
	})
	return all.schedule(b.Now)
}

// schedule orders prompts that are sorted by due time and sets their start times.
func (q queue) schedule(now clock.Millis) queue {
	var onTime, late queue
	end := now
	for _, next := range q {
		onTime = append(onTime, next)
		end += next.prefill
		if end <= next.DueAt {
			continue
		}
		longest := 0
		for i, other := range onTime {
			if other.prefill >= onTime[longest].prefill {
				longest = i
			}
		}
		end -= onTime[longest].prefill
		late = append(late, onTime[longest])
		onTime = slices.Delete(onTime, longest, longest+1)
	}
	for i := range onTime {
		onTime[i].isOnTime = true
	}
	// Late prompts are ordered by age, with an advantage for short ones.
	slices.SortStableFunc(late, func(a, b queuedPrompt) int { return cmp.Compare(a.DueAt+a.prefill, b.DueAt+b.prefill) })
	scheduled := append(onTime, late...)
	start := now
	for i := range scheduled {
		scheduled[i].startAt = start
		start += scheduled[i].prefill
	}
	return scheduled
}

// positionOf returns the position of a request of this entry, or the zero position if it
// is not in the queue.
func (q queue) positionOf(b *board.Board, request *board.Request) position {
	for i, prompt := range q {
		if prompt.entry == b.Self && prompt.Number == request.Request.Number {
			return position{i == 0, prompt.isOnTime, prompt.startAt}
		}
	}
	return position{}
}
