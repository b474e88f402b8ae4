package evictor_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"corianderroad/evictor"
)

// TestSaveIsInTime guards against a run that is stopped although it ends in time, one that is
// stopped when its minion has nearly left, and a less valuable one that is saved first.
func TestSaveIsInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leavers := make([]evictor.Leaver, rapid.IntRange(1, 12).Draw(t, "leavers"))
		for index := range leavers {
			leavers[index] = evictor.Leaver{
				Saves: rapid.Bool().Draw(t, "saves"), Value: float64(rapid.IntRange(0, 100).Draw(t, "value")), Runs: rapid.IntRange(1, 13).Draw(t, "runs"),
				EndsAt:   start.Add(time.Duration(rapid.IntRange(0, 10000).Draw(t, "ends-in")) * time.Millisecond),
				LeavesAt: start.Add(time.Duration(rapid.IntRange(2000, 6500).Draw(t, "leaves-in")) * time.Millisecond),
			}
		}
		limit := rapid.IntRange(1, 40).Draw(t, "limit")
		now, saved := start, make([]bool, len(leavers))
		for {
			var open []evictor.Leaver
			var indexes []int
			for index := range leavers {
				if !saved[index] && now.Before(leavers[index].LeavesAt) && now.Before(leavers[index].EndsAt) {
					open, indexes = append(open, leavers[index]), append(indexes, index)
				}
			}
			due, next := evictor.New(bounds).Save(now, open, limit)
			require(t, slices.IsSortedFunc(due, func(one, other int) int { return int(open[other].Value - open[one].Value) }))
			runs := 0
			for _, index := range due {
				runs += open[index].Runs
				require(t, !open[index].EndsInTime())
				require(t, !open[index].Saves || open[index].LeavesAt.Sub(now) >= bounds.StopTimeout)
				saved[indexes[index]] = true
			}
			require(t, runs <= limit || len(due) == 1)
			if next.IsZero() {
				break
			}
			require(t, next.After(now))
			now = next
		}
		for index := range leavers {
			if leavers[index].Saves {
				require(t, saved[index] == !leavers[index].EndsInTime())
			}
		}
	})
}
