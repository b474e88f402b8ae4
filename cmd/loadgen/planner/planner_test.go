package planner

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/commander"
)

// TestPlannerDrawsPeaksAndValidKeys guards against a load without peaks, and
// against idempotency keys that a node must refuse.
func TestPlannerDrawsPeaksAndValidKeys(t *testing.T) {
	c := quicktest.New(t)
	start := time.Now()
	planner := New(Kind{Rate: 20, UnkeyedFraction: 0.1}, LoadSwing{Period: 8 * time.Second, Factor: 10}, []Workspace{{Name: "county"}}, start, 1)
	var low, high, unkeyed int
	for call := planner.Next(); call.Due.Before(start.Add(80 * time.Second)); call = planner.Next() {
		if call.Due.Sub(start)%(8*time.Second) < 4*time.Second {
			low++
		} else {
			high++
		}
		if call.Key == "" {
			unkeyed++
			continue
		}
		_, err := commander.IssuedAt(call.Key)
		c.Assert(err, quicktest.IsNil)
	}
	// The expected counts are 800 and 8,000, with 10% of all calls without a key. The
	// bounds hold with this seed.
	c.Check(low > 700 && low < 900, quicktest.IsTrue, quicktest.Commentf("%d calls outside of peaks", low))
	c.Check(high > 7600 && high < 8400, quicktest.IsTrue, quicktest.Commentf("%d calls in peaks", high))
	c.Check(unkeyed > 700 && unkeyed < 1050, quicktest.IsTrue, quicktest.Commentf("%d calls without a key", unkeyed))
}
