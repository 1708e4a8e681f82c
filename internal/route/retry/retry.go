// Package retry keeps the budget of retries: a share of the requests that
// succeed, so that retries can't multiply the load of a failing fleet.
package retry

import (
	"mustardhook/internal/core/board"
)

const (
	// PerSuccess is how much of a retry one success earns.
	PerSuccess = 0.1
	// Reserve is the budget of an entry that has no successes yet.
	Reserve = 5.0
	// MaxBudget bounds the budget.
	MaxBudget = 50.0
)

// Start gives a new entry its reserve.
func Start(b *board.Board) { b.RetryBudget = Reserve }

// Earn credits one success.
func Earn(b *board.Board) { b.RetryBudget = min(MaxBudget, b.RetryBudget+PerSuccess) }

// Spend takes one retry from the budget and reports whether there was one.
func Spend(b *board.Board) bool {
	if b.RetryBudget < 1 {
		return false
	}
	b.RetryBudget--
	return true
}
