package pool

import "mustardhook/internal/core/clock"

// Load adds up work at one endpoint. Entries tell one another sums in place of single
// requests, so that what is told grows with the endpoints and not with the requests.
type Load struct {
	// Leads counts the requests that hold a slot, Shorts the short prompts of them that
	// were sent lately.
	Leads        int
	ShortPrompts int
	// Decoding counts requests whose answers have begun, Readers those that wait to be
	// read.
	Decoding   int
	Prefilling int
	// ContextTokens is the memory of the writers, MemoryTokens all memory that is taken
	// up at the end of the work.
	ContextTokens int
	MemoryTokens  int
	// PendingTokens are the tokens of prompts that the readers wait for, and ReadMillis
	// the time to read them.
	PendingTokens int
	PrefillMillis int
	// PrefillDoneAt is when the last of the readers is expected to be read.
	PrefillDoneAt clock.Millis
	// MinGap is the shortest pause between events that callers of writers expect;
	// zero when there is none.
	MinGap clock.Millis
}

// Add returns both sums together.
func (s Load) Add(other Load) Load {
	gap := s.MinGap
	if gap == 0 || other.MinGap != 0 && other.MinGap < gap {
		gap = other.MinGap
	}
	return Load{
		Leads:         s.Leads + other.Leads,
		ShortPrompts:  s.ShortPrompts + other.ShortPrompts,
		Decoding:      s.Decoding + other.Decoding,
		Prefilling:    s.Prefilling + other.Prefilling,
		ContextTokens: s.ContextTokens + other.ContextTokens,
		MemoryTokens:  s.MemoryTokens + other.MemoryTokens,
		PendingTokens: s.PendingTokens + other.PendingTokens,
		PrefillMillis: s.PrefillMillis + other.PrefillMillis,
		PrefillDoneAt: max(s.PrefillDoneAt, other.PrefillDoneAt),
		MinGap:        gap,
	}
}

// Minus takes out what was added before. Instants stay as they are, and no count
// gets below zero: both sums may be of different instants.
func (s Load) Minus(other Load) Load {
	left := Load{
		Leads:         max(s.Leads-other.Leads, 0),
		ShortPrompts:  max(s.ShortPrompts-other.ShortPrompts, 0),
		Decoding:      max(s.Decoding-other.Decoding, 0),
		Prefilling:    max(s.Prefilling-other.Prefilling, 0),
		ContextTokens: max(s.ContextTokens-other.ContextTokens, 0),
		MemoryTokens:  max(s.MemoryTokens-other.MemoryTokens, 0),
		PendingTokens: max(s.PendingTokens-other.PendingTokens, 0),
		PrefillMillis: max(s.PrefillMillis-other.PrefillMillis, 0),
	}
	if left.Decoding > 0 {
		left.MinGap = s.MinGap
	}
	if left.Prefilling > 0 {
		left.PrefillDoneAt = s.PrefillDoneAt
	} else {
		left.PendingTokens = 0
		left.PrefillMillis = 0
	}
	return left
}
