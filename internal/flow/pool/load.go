package pool

import "mustardhook/internal/core/clock"

// Load is the total of the work at an endpoint. Entries exchange loads instead of single
// requests, so that the traffic grows with the number of endpoints and not with the
// number of requests.
type Load struct {
	// Leads is the number of requests that hold a slot. ShortPrompts is how many of them
	// have a short prompt and were sent recently.
	Leads        int
	ShortPrompts int
	// Decoding is the number of requests whose answers have begun, Prefilling the number
	// of those whose prompts are not prefilled yet.
	Decoding   int
	Prefilling int
	// ContextTokens is the memory of the decoding requests, MemoryTokens the memory that
	// all work occupies when it ends, both in tokens.
	ContextTokens int
	MemoryTokens  int
	// PendingTokens are the prompt tokens that the prefilling requests wait for.
	// PrefillMillis is the time to prefill them, in milliseconds.
	PendingTokens int
	PrefillMillis int
	// LastPrefillEndsAt is when the last prefill is expected to end.
	LastPrefillEndsAt clock.Millis
	// MinGap is the shortest pause between events that the callers of decoding requests
	// expect; zero if there is none.
	MinGap clock.Millis
}

// Add returns the total of both loads.
func (l Load) Add(other Load) Load {
	gap := l.MinGap
	if gap == 0 || other.MinGap != 0 && other.MinGap < gap {
		gap = other.MinGap
	}
	return Load{
		Leads:             l.Leads + other.Leads,
		ShortPrompts:      l.ShortPrompts + other.ShortPrompts,
		Decoding:          l.Decoding + other.Decoding,
		Prefilling:        l.Prefilling + other.Prefilling,
		ContextTokens:     l.ContextTokens + other.ContextTokens,
		MemoryTokens:      l.MemoryTokens + other.MemoryTokens,
		PendingTokens:     l.PendingTokens + other.PendingTokens,
		PrefillMillis:     l.PrefillMillis + other.PrefillMillis,
		LastPrefillEndsAt: max(l.LastPrefillEndsAt, other.LastPrefillEndsAt),
		MinGap:            gap,
	}
}

// Sub returns the load without one that was added before. Instants stay as they are. No
// count drops below zero, since the two loads may have been measured at different times.
func (l Load) Sub(other Load) Load {
	remaining := Load{
		Leads:         max(l.Leads-other.Leads, 0),
		ShortPrompts:  max(l.ShortPrompts-other.ShortPrompts, 0),
		Decoding:      max(l.Decoding-other.Decoding, 0),
		Prefilling:    max(l.Prefilling-other.Prefilling, 0),
		ContextTokens: max(l.ContextTokens-other.ContextTokens, 0),
		MemoryTokens:  max(l.MemoryTokens-other.MemoryTokens, 0),
		PendingTokens: max(l.PendingTokens-other.PendingTokens, 0),
		PrefillMillis: max(l.PrefillMillis-other.PrefillMillis, 0),
	}
	if remaining.Decoding > 0 {
		remaining.MinGap = l.MinGap
	}
	if remaining.Prefilling > 0 {
		remaining.LastPrefillEndsAt = l.LastPrefillEndsAt
	} else {
		remaining.PendingTokens = 0
		remaining.PrefillMillis = 0
	}
	return remaining
}
