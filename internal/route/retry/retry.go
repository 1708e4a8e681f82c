// Package retry manages the retry budget. Retries are limited to a fraction of the
// successful requests, so that they can't multiply the load on a failing fleet.
package retry

import (
	"mustardhook/internal/core/board"
)

const (
	// BudgetPerSuccess is the number of retries that one successful request adds to the
	// budget.
	BudgetPerSuccess = 0.1
	// InitialBudget is the budget of an entry that has started and has no successes
	// yet.
	InitialBudget = 5.0
	// MaxBudget is the upper limit of the budget.
	MaxBudget = 50.0
)

// Init sets the budget of a new entry to InitialBudget.
func Init(b *board.Board) { b.RetryBudget = InitialBudget }

// Earn adds BudgetPerSuccess to the budget, up to MaxBudget.
func Earn(b *board.Board) { b.RetryBudget = min(MaxBudget, b.RetryBudget+BudgetPerSuccess) }

// Spend takes one retry from the budget. It returns false if less than one retry is
// left.
func Spend(b *board.Board) bool {
	if b.RetryBudget < 1 {
		return false
	}
	b.RetryBudget--
	return true
}
