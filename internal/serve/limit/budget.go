package limit

import (
	"strconv"
	"sync/atomic"
)

// A share of more than 1/smallShares of its budget can't take bytes of the reserve, which is
// 1/reserveShares of the budget. Many large readers thus leave memory for small ones.
const (
	smallShares   = 256
	reserveShares = 2
)

type (
	// ExhaustedError reports that a Share could not take Bytes more bytes of its Budget.
	ExhaustedError struct{ Bytes int64 }

	// Budget bounds the bytes that many readers hold in memory together.
	Budget struct {
		total int64
		free  atomic.Int64
		// whole is the budget that this one is a part of; may be nil.
		whole *Budget
	}

	// Share is the part of a Budget that one reader holds. It is not safe for concurrent
	// use, but shares of one budget may be used concurrently.
	Share struct {
		budget *Budget
		held   int64
	}
)

// Error returns a message with the number of bytes.
func (e *ExhaustedError) Error() string {
	return "no memory for " + strconv.FormatInt(e.Bytes, 10) + " more bytes"
}

// NewBudget returns a budget of the given number of bytes.
func NewBudget(bytes int64) *Budget {
	b := &Budget{total: bytes}
	b.free.Store(bytes)
	return b
}

// NewPart returns a budget of the given number of bytes, whose shares take from b too. The parts of
// b may have more bytes together than b.
func (b *Budget) NewPart(bytes int64) *Budget {
	part := NewBudget(bytes)
	part.whole = b
	return part
}

// Free returns the number of bytes that no share holds.
func (b *Budget) Free() int64 { return b.free.Load() }

// NewShare returns an empty share. Its owner must call Release at the end.
func (b *Budget) NewShare() *Share { return &Share{budget: b} }

// Take adds bytes to the share. It returns an *ExhaustedError if the budget has too few
// left, or only those of the reserve and the share is large.
func (s *Share) Take(bytes int64) error {
	var reserve int64
	if s.held+bytes > s.budget.total/smallShares {
		reserve = s.budget.total / reserveShares
	}
	if !s.budget.take(bytes, reserve) {
		return &ExhaustedError{bytes}
	}
	s.held += bytes
	return nil
}

// take takes bytes, also from the budgets that b is a part of, if the reserve of b is left then.
func (b *Budget) take(bytes, reserve int64) bool {
	for {
		free := b.free.Load()
		if free-bytes < reserve {
			return false
		}
		if b.free.CompareAndSwap(free, free-bytes) {
			break
		}
	}
	if b.whole != nil && !b.whole.take(bytes, 0) {
		b.free.Add(bytes)
		return false
	}
	return true
}

// Give returns bytes of the share to the budget.
func (s *Share) Give(bytes int64) {
	s.held -= bytes
	for b := s.budget; b != nil; b = b.whole {
		b.free.Add(bytes)
	}
}

// Release returns all bytes of the share to the budget.
func (s *Share) Release() { s.Give(s.held) }
