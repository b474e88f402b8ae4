package provisioner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"corianderroad/provisioner"
)

const leadTime = 1500 * time.Millisecond

var start = time.Unix(1_000_000, 0)

// minionsOf returns minions of weight 100 with free capacity.
func minionsOf(free ...int) []provisioner.Minion {
	minions := make([]provisioner.Minion, 0, len(free))
	for _, amount := range free {
		minions = append(minions, provisioner.Minion{Weight: 100, Free: amount})
	}
	return minions
}

func ExampleProvisioner() {
	headroom := provisioner.New(1500 * time.Millisecond)
	now := time.Unix(1_000_000, 0)
	minions := make([]provisioner.Minion, 40)
	for index := range minions {
		minions[index] = provisioner.Minion{Weight: 100, Free: index}
	}
	fmt.Println(headroom.Choose(now, minions))
	headroom.AddArrival(now, 400)
	fmt.Println(headroom.Choose(now, minions))
	// Output:
	// []
	// [39 38 37]
}

// arrive adds arrivals of a weight in each interval and returns the end of the last one.
func arrive(headroom *provisioner.Provisioner, now time.Time, weight int, interval, span time.Duration) time.Time {
	for end := now.Add(span); now.Before(end); now = now.Add(interval) {
		headroom.AddArrival(now, weight)
	}
	return now
}

// TestTargetFollowsTheRate guards against headroom that is not what arrives while capacity is
// freed, that misses the beginning of a burst, or that stays after the last urgent job.
func TestTargetFollowsTheRate(t *testing.T) {
	c := quicktest.New(t)
	headroom := provisioner.New(leadTime)
	now := arrive(headroom, start, 20, 100*time.Millisecond, 20*time.Second) // 200 in a second
	steady := headroom.Target(now)
	c.Assert(steady > 200*leadTime.Seconds() && steady < 3*200*leadTime.Seconds(), quicktest.IsTrue, quicktest.Commentf("%f", steady))
	now = arrive(headroom, now, 100, 100*time.Millisecond, time.Second)
	c.Assert(headroom.Target(now) > 1.5*steady, quicktest.IsTrue)
	c.Assert(headroom.Target(now.Add(20*time.Second)) < steady/20, quicktest.IsTrue)
	c.Assert(headroom.Choose(now.Add(time.Minute), minionsOf(100, 100, 100, 100)), quicktest.HasLen, 0)
}

// TestMostFreeMinionsAreKept guards against headroom in pieces that hold no urgent task, and
// against capacity that is taken from a step with a reservation.
func TestMostFreeMinionsAreKept(t *testing.T) {
	c := quicktest.New(t)
	headroom := provisioner.New(leadTime)
	headroom.AddArrival(start, 250)
	minions := minionsOf(10, 90, 30, 90, 0, 100, 20, 40, 60, 50, 0, 0)
	minions[5].IsReserved = true
	c.Assert(headroom.Choose(start, minions), quicktest.DeepEquals, []int{1, 3})
}

// TestHeadroomIsBounded guards against a flood of urgent jobs that leaves nothing to others,
// and against an index that is no minion's.
func TestHeadroomIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		headroom, now := provisioner.New(leadTime), start
		minions := minionsOf(rapid.SliceOfN(rapid.IntRange(-50, 100), 0, 60).Draw(t, "free")...)
		for range rapid.IntRange(0, 30).Draw(t, "arrivals") {
			now = now.Add(time.Duration(rapid.IntRange(-100, 2000).Draw(t, "pause")) * time.Millisecond)
			headroom.AddArrival(now, rapid.IntRange(0, 10_000).Draw(t, "weight"))
		}
		chosen := headroom.Choose(now, minions)
		seen := make(map[int]bool)
		for _, index := range chosen {
			if index < 0 || index >= len(minions) || seen[index] {
				t.Fatalf("chosen: %v of %d", chosen, len(minions))
			}
			seen[index] = true
		}
		if 4*len(chosen) > len(minions) {
			t.Fatalf("%d of %d minions are kept", len(chosen), len(minions))
		}
	})
}
