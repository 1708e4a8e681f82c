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
		// engines is the number of engines that prefill the prompt together.
		engines int
		// prefill is how long these engines need for the prefill of the prompt.
		prefill clock.Millis
		// shareMillis is how long all engines of the service need for it, which is by how much the
		// prompt delays those behind it.
		shareMillis float64
		// wasSent reports whether the prompt was sent before, so that it can't be refused any more.
		wasSent bool
		// exceedsShare reports whether the prompts of its group ahead of it already use its share.
		exceedsShare bool
		// isOnTime reports whether the prefill is scheduled to end before the prompt is due.
		isOnTime bool
		startAt  clock.Millis
	}

	// position is the position of one prompt in the queue.
	position struct {
		// enginesAhead is the number of engines that the prompts ahead of it use together.
		enginesAhead int
		prefill      clock.Millis
		exceedsShare bool
		isOnTime     bool
		startAt      clock.Millis
	}
)

// buildQueue returns the queue for the service of the request, which it includes. It
// maximises the number of prompts that are on time with the Moore-Hodgson algorithm:
// prompts are scheduled in the order of their due times, and whenever one would be late,
// the longest of those scheduled so far is moved to the end. A prompt uses at most
// maxHelpers+1 engines, so that in a large service many are prefilled at the same time. Prompts of
// this entry that were sent before come first.
func buildQueue(b *board.Board, engine *plan.Engine, request *board.Request, engines int) queue {
	all := collectQueue(b, engine, request, engines)
	scheduled := all.schedule(b.Now)
	if b.Plan.HasShares && scheduled.isContended(b.Now) && all.markShares(b, scheduled, float64(engines)) {
		return all.schedule(b.Now)
	}
	return scheduled
}

// collectQueue returns the request and the long prompts of its service that wait for engines, sorted by due
// time.
func collectQueue(b *board.Board, engine *plan.Engine, request *board.Request, engines int) queue {
	var all queue
	add := func(entry ident.Entry, prompt input.QueuedPrompt, wasSent bool) {
		if prompt.Service != request.Service {
			return
		}
		work := cost.PrefillMillis(engine, prompt.PromptTokens, 1) / prefillTimeShare
		gang := min(shardsOf(engine, prompt.PromptTokens), engines)
		all = append(all, queuedPrompt{
			QueuedPrompt: prompt, entry: entry, engines: gang,
			prefill: clock.Millis(work / float64(gang)), shareMillis: work / float64(engines),
			wasSent: wasSent,
		})
	}
	for _, other := range b.Requests {
		if other == request || other.Queued {
			add(b.Self, other.QueuedPrompt(), other.Runs > 0)
		}
	}
	for name, peer := range b.PeersWithQueue {
		if b.Now-peer.LastSeenAt > queueNewsTTL {
			continue
		}
		for _, prompt := range peer.News.QueuedPrompts {
			add(name, prompt, false)
		}
	}
	slices.SortFunc(all, func(a, b queuedPrompt) int {
		return cmp.Or(cmp.Compare(a.DueAt, b.DueAt), cmp.Compare(a.entry, b.entry), cmp.Compare(a.Number, b.Number))
	})
	return all
}

// schedule orders prompts that are sorted by due time and sets their start times. Prompts that
// exceed the share of their group follow the others, by rank.
func (q queue) schedule(now clock.Millis) queue {
	var sent, within, beyond queue
	delay := 0.0
	for _, next := range q {
		switch {
		case next.wasSent:
			sent = append(sent, next)
			delay += next.shareMillis
		case next.exceedsShare:
			beyond = append(beyond, next)
		default:
			within = append(within, next)
		}
	}
	slices.SortStableFunc(beyond, func(a, b queuedPrompt) int { return cmp.Compare(a.Rank, b.Rank) })
	onTime, late, delay := within.selectOnTime(now, delay)
	onTimeBeyond, lateBeyond, _ := beyond.selectOnTime(now, delay)
	scheduled := slices.Concat(sent, onTime, onTimeBeyond, late, lateBeyond)
	delay = 0
	for i := range scheduled {
		scheduled[i].startAt = now + clock.Millis(delay)
		delay += scheduled[i].shareMillis
	}
	return scheduled
}

// selectOnTime returns the prompts that are on time if they start in their order after the delay, the
// others, and the delay after the former.
func (q queue) selectOnTime(now clock.Millis, before float64) (onTime, late queue, delay float64) {
	delay = before
	for _, next := range q {
		if now+next.prefill > next.DueAt {
			late = append(late, next)
			continue
		}
		onTime = append(onTime, next)
		if now+clock.Millis(delay)+next.prefill <= next.DueAt {
			delay += next.shareMillis
			continue
		}
		longest := 0
		for i, other := range onTime {
			if other.shareMillis >= onTime[longest].shareMillis {
				longest = i
			}
		}
		delay += next.shareMillis - onTime[longest].shareMillis
		late = append(late, onTime[longest])
		onTime = slices.Delete(onTime, longest, longest+1)
	}
	for i := range onTime {
		onTime[i].isOnTime = true
	}
	// Late prompts are ordered by age, with an advantage for short ones.
	slices.SortStableFunc(late, func(a, b queuedPrompt) int { return cmp.Compare(a.DueAt+a.prefill, b.DueAt+b.prefill) })
	return onTime, late, delay
}

// positionOf returns the position of a request of this entry, or the zero position if it
// is not in the queue.
func (q queue) positionOf(b *board.Board, request *board.Request) position {
	engines := 0
	for _, prompt := range q {
		if prompt.isRequest(b, request) {
			return position{engines, prompt.prefill, prompt.exceedsShare, prompt.isOnTime, prompt.startAt}
		}
		engines += prompt.engines
	}
	return position{}
}

// isRequest reports whether the prompt is that of a request of this entry.
func (p queuedPrompt) isRequest(b *board.Board, request *board.Request) bool {
	return p.entry == b.Self && p.Number == request.Request.Number
}

// mayPrecede reports whether all prompts that are on time stay so if the request starts
// before them.
func (q queue) mayPrecede(b *board.Board, request *board.Request) bool {
	delay := 0.0
	for _, prompt := range q {
		if prompt.isRequest(b, request) {
			delay = prompt.shareMillis
		}
	}
	for _, prompt := range q {
		switch {
		case prompt.isRequest(b, request) || !prompt.isOnTime:
			continue
		case b.Now+clock.Millis(delay)+prompt.prefill > prompt.DueAt:
			return false
		}
		delay += prompt.shareMillis
	}
	return true
}
