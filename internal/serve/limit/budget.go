package limit

import (
	"io"
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
	}

	// Share is the part of a Budget that one reader holds. It is not safe for concurrent
	// use, but shares of one budget may be used concurrently.
	Share struct {
		budget *Budget
		held   int64
	}

	// shareReader takes what it reads from a share.
	shareReader struct {
		source io.Reader
		share  *Share
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
	for {
		free := s.budget.free.Load()
		if free-bytes < reserve {
			return &ExhaustedError{bytes}
		}
		if s.budget.free.CompareAndSwap(free, free-bytes) {
			s.held += bytes
			return nil
		}
	}
}

// Give returns bytes of the share to the budget.
func (s *Share) Give(bytes int64) {
	s.held -= bytes
	s.budget.free.Add(bytes)
}

// Release returns all bytes of the share to the budget.
func (s *Share) Release() { s.Give(s.held) }

// NewReader returns a reader that takes what it reads from the share and fails with an
// *ExhaustedError if that is not possible.
func (s *Share) NewReader(source io.Reader) io.Reader { return &shareReader{source, s} }

// Read implements io.Reader.
func (r *shareReader) Read(buffer []byte) (int, error) {
	count, err := r.source.Read(buffer)
	if takeErr := r.share.Take(int64(count)); takeErr != nil {
		return 0, takeErr
	}
	return count, err
}
