package retrier_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"corianderroad/retrier"
)

// TestBudget guards against more retries than a tenth of the requests plus the
// burst.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := retrier.NewBudget()
		requests, retries := 0, 0
		for _, retry := range rapid.SliceOfN(rapid.Bool(), 100, 400).Draw(t, "retries") {
			if !retry {
				requests++
				budget.Deposit()
			} else if budget.TryWithdraw() {
				retries++
			}
		}
		if float64(retries) > 20+0.1*float64(requests)+1e-6 {
			t.Fatalf("%d retries of %d requests", retries, requests)
		}
	})
}

// TestBackoff guards against a wait that is too short, one beyond a second, and
// waits without jitter.
func TestBackoff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		attempt := rapid.IntRange(1, 100).Draw(t, "attempt")
		waits := map[time.Duration]bool{}
		for range 20 {
			wait := retrier.Backoff(random, attempt)
			if wait < 5*time.Millisecond || wait > time.Second {
				t.Fatalf("attempt %d waits %v", attempt, wait)
			}
			waits[wait] = true
		}
		if len(waits) < 10 {
			t.Fatalf("20 waits have %d values", len(waits))
		}
	})
}
