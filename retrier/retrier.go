// Package retrier decides how often and when a request is tried again.
package retrier

import (
	"math/rand/v2"
	"time"

	"corianderroad/classifier"
)

// Budget is a token bucket that keeps retries to a part of all requests, so
// that retries can't multiply the load of an overloaded system. The zero value
// is empty. It is not safe for concurrent use.
type Budget struct {
	tokens float64
}

// Bounds of a Budget.
const (
	// share is the part of requests that may be retried.
	share = 0.1
	// burst allows for the retries of one failed owner.
	burst = 20
)

// NewBudget returns a full Budget.
func NewBudget() Budget { return Budget{tokens: burst} }

// Earn adds the share of one request.
func (budget *Budget) Earn() { budget.tokens = min(burst, budget.tokens+share) }

// Spend takes one retry and says whether there was one left.
func (budget *Budget) Spend() bool {
	if budget.tokens < 1 {
		return false
	}
	budget.tokens--
	return true
}

// Bounds of the back-off.
const (
	firstBackoff = 10 * time.Millisecond
	lastBackoff  = time.Second
)

// Backoff returns how long to wait before the retry that follows the attempt,
// counted from 1. It is drawn evenly from the upper half of a doubling
// interval, so that requests that failed together do not return together.
func Backoff(random *rand.Rand, attempt int) time.Duration {
	interval := firstBackoff << min(attempt-1, 10)
	interval = min(interval, lastBackoff)
	return interval/2 + time.Duration(random.Int64N(int64(interval/2)+1))
}

// IsUncharged says whether the retry of a refused attempt is not charged to the
// budget: the attempt took nobody's time, because the owner stops, has changed or
// could not be reached. The bound of attempts per request still holds.
func IsUncharged(code classifier.Code) bool {
	switch code {
	case classifier.Leaving, classifier.NoMinion, classifier.NodeUnreachable:
		return true
	default:
		return false
	}
}
