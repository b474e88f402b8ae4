package auditor

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"corianderroad/identifier"
)

// TestAuditFindsIncompleteGangs guards against a gang task that runs alone and is
// not reported, and against false reports. The expected result comes from a
// second-by-second simulation.
func TestAuditFindsIncompleteGangs(t *testing.T) {
	epoch := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	rapid.Check(t, func(t *rapid.T) {
		const lease, end = 15, 100
		members := []identifier.Worker{"w-1", "w-2"}
		type interval struct {
			from, to int
			ran      bool
		}
		var intervals [2]interval
		var runs []Run
		for index, member := range members {
			drawn := interval{from: rapid.IntRange(0, end-1).Draw(t, "from"), ran: rapid.Bool().Draw(t, "ran")}
			drawn.to = rapid.IntRange(drawn.from+1, end).Draw(t, "to")
			intervals[index] = drawn
			if drawn.ran {
				run := Run{
					Worker: member, Gang: Gang{Job: "draw", Placement: 1}, Members: members,
					Started: epoch.Add(time.Duration(drawn.from) * time.Second),
				}
				if drawn.to < end {
					run.Ended = epoch.Add(time.Duration(drawn.to) * time.Second)
				}
				runs = append(runs, run)
			}
		}
		want := 0
		for index, own := range intervals {
			other := intervals[1-index]
			alone, longest := 0, 0
			for second := own.from; own.ran && second < own.to; second++ {
				if alone++; other.ran && second >= other.from && second < other.to {
					alone = 0
				}
				longest = max(longest, alone)
			}
			if longest > lease {
				want++
			}
		}
		violations := Audit(epoch.Add(end*time.Second), lease*time.Second, runs)
		if len(violations) != want {
			t.Fatalf("found %v, want %d violations in %+v", violations, want, runs)
		}
	})
}
