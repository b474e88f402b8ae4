package forecaster_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"corianderroad/forecaster"
	"corianderroad/identifier"
	"corianderroad/specifier"
)

// drawnRun is a run on a minion with its declared end.
type drawnRun struct {
	minion, seconds int
	frees           specifier.Resources
}

// drawnPool is a pool as of 1 s, for the forecaster and for the reference.
type drawnPool struct {
	minions []forecaster.Minion
	runs    []drawnRun
}

func drawAmount(t *rapid.T, label string, limit int) specifier.Resources {
	return specifier.Resources{
		MilliCPU: rapid.IntRange(0, limit).Draw(t, label+" cores"), Accelerators: rapid.IntRange(0, limit).Draw(t, label+" accelerators"),
	}
}

func drawPool(t *rapid.T) drawnPool {
	var pool drawnPool
	for minion := range rapid.IntRange(0, 6).Draw(t, "minions") {
		free := drawAmount(t, "free", 4).Sub(specifier.Resources{MilliCPU: 1, Accelerators: 1})
		rack := identifier.Rack(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "rack"))
		pool.minions = append(pool.minions, forecaster.Minion{Rack: rack, Free: free})
		for range rapid.IntRange(0, 4).Draw(t, "runs") {
			pool.runs = append(pool.runs, drawnRun{minion, rapid.IntRange(1, 9).Draw(t, "seconds"), drawAmount(t, "frees", 3)})
		}
	}
	return pool
}

// hasRoom reports whether a demand has room at a time: it counts anew what is free then.
func (pool drawnPool) hasRoom(demand *forecaster.Demand, seconds int) bool {
	tasks := make(map[identifier.Rack]int)
	for index, minion := range pool.minions {
		free := minion.Free
		for _, run := range pool.runs {
			if run.minion == index && run.seconds <= seconds {
				free = free.Add(run.frees)
			}
		}
		rack := minion.Rack
		if !demand.IsOnOneRack {
			rack = ""
		}
		if demand.CanRunOn(index) && free.Holds(specifier.Resources{}) && (!demand.IsOnOneRack || demand.Rack == "" || demand.Rack == rack) {
			tasks[rack] += free.Fit(demand.Request, demand.MaxPerMinion)
		}
	}
	for _, count := range tasks {
		if count >= demand.Tasks {
			return true
		}
	}
	return false
}

// earliestRoom returns the first second at which a demand has room, false if there is none.
func (pool drawnPool) earliestRoom(demand *forecaster.Demand) (time.Time, bool) {
	for seconds := 1; seconds <= 9; seconds++ {
		if pool.hasRoom(demand, seconds) {
			return at(float64(seconds)), true
		}
	}
	return time.Time{}, false
}

// TestRoomIsTheEarliest guards against any time of room that differs from a count of what is free
// at each second.
func TestRoomIsTheEarliest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool := drawPool(t)
		forecast := forecaster.New(at(1))
		for _, minion := range pool.minions {
			forecast.AddMinion(minion)
		}
		for _, run := range pool.runs {
			forecast.AddRun(run.minion, endingAt(run.seconds), run.frees)
		}
		excluded := rapid.IntRange(-1, 5).Draw(t, "excluded")
		for range 3 {
			demand := forecaster.Demand{
				Tasks: rapid.IntRange(1, 8).Draw(t, "tasks"), Request: drawAmount(t, "request", 3), MaxPerMinion: rapid.IntRange(1, 4).Draw(t, "limit"),
				IsOnOneRack: rapid.Bool().Draw(t, "on one rack"), Rack: identifier.Rack(rapid.SampledFrom([]string{"", "a", "c"}).Draw(t, "named")),
				CanRunOn: func(minion int) bool { return minion != excluded },
			}
			expected, fits := pool.earliestRoom(&demand)
			when, ok := forecast.RoomAt(&demand)
			if ok != fits || !when.Equal(expected) {
				t.Fatalf("room at %v (%t), expected %v (%t)", when, ok, expected, fits)
			}
		}
	})
}
