package estimator_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"corianderroad/estimator"
	"corianderroad/identifier"
)

// TestEstimate guards against an estimate outside the range of the recent run
// times, and against one that does not follow a change of the work.
func TestEstimate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		estimates := estimator.New()
		subject := estimator.Subject{Workspace: "w", Service: "s", Method: "m"}
		declared := time.Duration(rapid.IntRange(0, 1000).Draw(t, "declared")) * time.Millisecond
		times := rapid.SliceOfN(rapid.IntRange(1, 100_000), 1, 600).Draw(t, "times")
		for count, milliseconds := range times {
			estimates.Observe(subject, time.Duration(milliseconds)*time.Millisecond)
			estimate := estimates.Estimate(subject, declared)
			if count < 7 {
				if estimate.Typical != declared {
					t.Fatalf("after %d run times the estimate is %v", count+1, estimate)
				}
				continue
			}
			recent := times[max(0, count-255) : count+1]
			low := time.Duration(slices.Min(recent)) * time.Millisecond
			high := time.Duration(slices.Max(recent)) * time.Millisecond
			// One significant figure is off by a tenth at most.
			if estimate.Typical < low-low/10 || estimate.High > high+high/10+time.Millisecond || estimate.High < estimate.Typical {
				t.Fatalf("estimate %v is outside of %v to %v", estimate, low, high)
			}
		}
	})
}

// TestSubjectsAreBounded guards against memory use that grows with the number of
// methods, against the eviction of subjects in use, and against an estimate that
// does not follow a change of the work.
func TestSubjectsAreBounded(t *testing.T) {
	c := quicktest.New(t)
	estimates := estimator.New()
	used := estimator.Subject{Method: "used"}
	for number := range 10_000 {
		for range 8 {
			estimates.Observe(estimator.Subject{Method: identifier.Method(fmt.Sprint(number))}, time.Second)
		}
		estimates.Observe(used, time.Minute)
	}
	for second := range 500 {
		estimates.Observe(estimator.Subject{Method: "changed"}, time.Duration(1+second/300*9)*time.Second)
	}
	c.Assert(estimates.Estimate(estimator.Subject{Method: "changed"}, 0).Typical > 8*time.Second, quicktest.IsTrue)
	c.Assert(estimates.Len(), quicktest.Equals, 4096)
	c.Assert(estimates.Estimate(used, 0).Typical > 50*time.Second, quicktest.IsTrue)
	c.Assert(estimates.Estimate(estimator.Subject{Method: "0"}, 0).Typical, quicktest.Equals, time.Duration(0))
}
