package forecaster_test

import (
	"fmt"
	"testing"
	"time"

	"corianderroad/forecaster"
)

// A gang of two tasks waits for both minions.
func Example() {
	now := time.Unix(1_000_000, 0)
	forecast := forecaster.New(now)
	for seconds := range 2 {
		minion := forecast.AddMinion(forecaster.Minion{Rack: "rack-1", Capacity: cores(32)})
		run := forecaster.Run{StartedAt: now, RunTime: time.Duration(5+seconds) * time.Second, ProgressAt: now}
		forecast.AddRun(minion, run, cores(32))
	}
	at, ok := forecast.RoomAt(&forecaster.Demand{Tasks: 2, Request: cores(20), MaxPerMinion: 2})
	fmt.Println(at.Sub(now), ok)
	// Output: 6s true
}

// BenchmarkForecast measures a table of 350 minions with ten runs each, and the room of three
// demands.
func BenchmarkForecast(b *testing.B) {
	for b.Loop() {
		forecast := forecaster.New(at(1))
		for index := range 350 {
			minion := forecast.AddMinion(forecaster.Minion{Rack: "a", Capacity: cores(32)})
			for run := range 10 {
				forecast.AddRun(minion, endingAt(2+(index*31+run*17)%60), cores(3))
			}
		}
		for _, tasks := range []int{5, 13, 39} {
			forecast.RoomAt(&forecaster.Demand{Tasks: tasks, Request: cores(13), MaxPerMinion: tasks})
		}
	}
}
