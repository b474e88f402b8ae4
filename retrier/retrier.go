// Package retrier decides how often and when a request is retried.
package retrier

import (
	"math/rand/v2"
	"time"

	"corianderroad/classifier"
)

// Budget is a token bucket that limits retries to a fraction of all requests, so
// that retries can't multiply the load of an overloaded system. The zero value
// is empty. It is not safe for concurrent use.
type Budget struct {
	tokens float64
}

// Bounds of a Budget.
const (
	// retryRatio is the fraction of requests that may be retried.
	retryRatio = 0.1
	// burst is the number of tokens of a full Budget. It covers the retries after
	// the failure of one owner.
	burst = 20
)

// NewBudget returns a full Budget.
func NewBudget() Budget { return Budget{tokens: burst} }

// Deposit adds the tokens for one request.
func (budget *Budget) Deposit() { budget.tokens = min(burst, budget.tokens+retryRatio) }

// TryWithdraw removes the token for one retry and reports whether there was one.
func (budget *Budget) TryWithdraw() bool {
	if budget.tokens < 1 {
		return false
	}
	budget.tokens--
	return true
}

// Bounds of the back-off.
const (
	initialBackoff = 10 * time.Millisecond
	maxBackoff     = time.Second
)

// Backoff returns how long to wait before the retry that follows the attempt,
// counted from 1. The wait is drawn uniformly from the upper half of an interval
// that doubles with each attempt, so that requests that failed at the same time
// are not retried at the same time.
func Backoff(random *rand.Rand, attempt int) time.Duration {
	interval := initialBackoff << min(attempt-1, 10)
	interval = min(interval, maxBackoff)
	return interval/2 + time.Duration(random.Int64N(int64(interval/2)+1))
}

// IsUncharged reports whether the retry of a refused attempt is not charged to
// the budget, because the attempt caused no work: the owner is stopping, has
// changed or could not be reached. The limit of attempts per request still holds.
func IsUncharged(code classifier.Code) bool {
	switch code {
	case classifier.Leaving, classifier.NoMinion, classifier.NodeUnreachable:
		return true
	default:
		return false
	}
}
