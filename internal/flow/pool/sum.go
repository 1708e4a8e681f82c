package pool

import "mustardhook/internal/core/clock"

// Sum adds up work at one endpoint. Entries tell one another sums in place of single
// requests, so that what is told grows with the endpoints and not with the requests.
type Sum struct {
	// Leads counts the requests that hold a slot, Shorts the short prompts of them that
	// were sent lately.
	Leads  int
	Shorts int
	// Writers counts requests whose answers have begun, Readers those that wait to be
	// read.
	Writers int
	Readers int
	// ContextTokens is the memory of the writers, MemoryTokens all memory that is taken
	// up at the end of the work.
	ContextTokens int
	MemoryTokens  int
	// UnreadTokens are the tokens of prompts that the readers wait for, and ReadMillis
	// the time to read them.
	UnreadTokens int
	ReadMillis   int
	// ReadBy is when the last of the readers is expected to be read.
	ReadBy clock.Millis
	// LeastGap is the shortest pause between events that callers of writers expect;
	// zero when there is none.
	LeastGap clock.Millis
}

// Plus returns both sums together.
func (s Sum) Plus(other Sum) Sum {
	gap := s.LeastGap
	if gap == 0 || other.LeastGap != 0 && other.LeastGap < gap {
		gap = other.LeastGap
	}
	return Sum{
		Leads:         s.Leads + other.Leads,
		Shorts:        s.Shorts + other.Shorts,
		Writers:       s.Writers + other.Writers,
		Readers:       s.Readers + other.Readers,
		ContextTokens: s.ContextTokens + other.ContextTokens,
		MemoryTokens:  s.MemoryTokens + other.MemoryTokens,
		UnreadTokens:  s.UnreadTokens + other.UnreadTokens,
		ReadMillis:    s.ReadMillis + other.ReadMillis,
		ReadBy:        max(s.ReadBy, other.ReadBy),
		LeastGap:      gap,
	}
}

// Minus takes out what was added before. Instants stay as they are, and no count
// gets below zero: both sums may be of different instants.
func (s Sum) Minus(other Sum) Sum {
	left := Sum{
		Leads:         max(s.Leads-other.Leads, 0),
		Shorts:        max(s.Shorts-other.Shorts, 0),
		Writers:       max(s.Writers-other.Writers, 0),
		Readers:       max(s.Readers-other.Readers, 0),
		ContextTokens: max(s.ContextTokens-other.ContextTokens, 0),
		MemoryTokens:  max(s.MemoryTokens-other.MemoryTokens, 0),
		UnreadTokens:  max(s.UnreadTokens-other.UnreadTokens, 0),
		ReadMillis:    max(s.ReadMillis-other.ReadMillis, 0),
	}
	if left.Writers > 0 {
		left.LeastGap = s.LeastGap
	}
	if left.Readers > 0 {
		left.ReadBy = s.ReadBy
	} else {
		left.UnreadTokens = 0
		left.ReadMillis = 0
	}
	return left
}
