package pool

import "mustardhook/internal/core/clock"

// Load is the total of the work at an endpoint. Entries exchange loads instead of single
// requests, so that the traffic grows with the number of endpoints and not with the
// number of requests.
type Sum struct {
	// Leads is the number of requests that hold a slot. ShortPrompts is how many of them
	// have a short prompt and were sent recently.
	Leads  int
	Shorts int
	// Decoding is the number of requests whose answers have begun, Prefilling the number
	// of those whose prompts are not prefilled yet.
	Writers int
	Readers int
	// ContextTokens is the memory of the decoding requests, MemoryTokens the memory that
	// all work occupies when it ends, both in tokens.
	ContextTokens int
	MemoryTokens  int
	// PendingTokens are the prompt tokens that the prefilling requests wait for.
	// PrefillMillis is the time to prefill them, in milliseconds.
	UnreadTokens int
	ReadMillis   int
	// PrefillDoneAt is when the last prefill is expected to end.
	ReadBy clock.Millis
	// MinGap is the shortest pause between events that the callers of decoding requests
	// expect; zero if there is none.
	LeastGap clock.Millis
}

// Add returns the total of both loads.
func (l Sum) Plus(other Sum) Sum {
	gap := l.LeastGap
	if gap == 0 || other.LeastGap != 0 && other.LeastGap < gap {
		gap = other.LeastGap
	}
	return Sum{
		Leads:         l.Leads + other.Leads,
		Shorts:        l.Shorts + other.Shorts,
		Writers:       l.Writers + other.Writers,
		Readers:       l.Readers + other.Readers,
		ContextTokens: l.ContextTokens + other.ContextTokens,
		MemoryTokens:  l.MemoryTokens + other.MemoryTokens,
		UnreadTokens:  l.UnreadTokens + other.UnreadTokens,
		ReadMillis:    l.ReadMillis + other.ReadMillis,
		ReadBy:        max(l.ReadBy, other.ReadBy),
		LeastGap:      gap,
	}
}

// Sub returns the load without one that was added before. Instants stay as they are. No
// count drops below zero, since the two loads may have been measured at different times.
func (l Sum) Sub(other Sum) Sum {
	rest := Sum{
		Leads:         max(l.Leads-other.Leads, 0),
		Shorts:        max(l.Shorts-other.Shorts, 0),
		Writers:       max(l.Writers-other.Writers, 0),
		Readers:       max(l.Readers-other.Readers, 0),
		ContextTokens: max(l.ContextTokens-other.ContextTokens, 0),
		MemoryTokens:  max(l.MemoryTokens-other.MemoryTokens, 0),
		UnreadTokens:  max(l.UnreadTokens-other.UnreadTokens, 0),
		ReadMillis:    max(l.ReadMillis-other.ReadMillis, 0),
	}
	if rest.Writers > 0 {
		rest.LeastGap = l.LeastGap
	}
	if rest.Readers > 0 {
		rest.ReadBy = l.ReadBy
	} else {
		rest.UnreadTokens = 0
		rest.ReadMillis = 0
	}
	return rest
}
