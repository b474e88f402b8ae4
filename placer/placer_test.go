package placer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"corianderroad/commander"
	"corianderroad/identifier"
	"corianderroad/placer"
)

// maxFitting returns the largest number of members of a shape that fit together.
func maxFitting(shape commander.Shape, free, racks map[identifier.Worker]int) int {
	byRack, region, most := make(map[int]int), 0, 0
	for worker, accelerators := range free {
		if accelerators >= shape.Accelerators {
			byRack[racks[worker]]++
			region++
			most = max(most, byRack[racks[worker]])
		}
	}
	if shape.Adjacency == commander.AnyRack {
		return region
	}
	return most
}

// TestPlaceIsCorrectAndComplete guards against a placement that exceeds the free
// accelerators, repeats a worker or spans several racks against the shape, and
// against a gang that is refused although a rack, or the region, can hold it.
func TestPlaceIsCorrectAndComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		free := make(map[identifier.Worker]int)
		racks := make(map[identifier.Worker]int)
		var workers []placer.Worker
		for rack := range rapid.IntRange(1, 4).Draw(t, "racks") {
			for i := range rapid.IntRange(1, 4).Draw(t, "per rack") {
				worker := placer.Worker{
					Worker: identifier.Worker(fmt.Sprintf("w%d-%d", rack, i)), Rack: identifier.Rack(fmt.Sprint(rack)),
					Accelerators: rapid.IntRange(0, 8).Draw(t, "accelerators"),
				}
				workers = append(workers, worker)
				free[worker.Worker], racks[worker.Worker] = worker.Accelerators, rack
			}
		}
		fleet := placer.NewFleet(workers)
		for range rapid.IntRange(1, 12).Draw(t, "gangs") {
			shape := commander.Shape{
				Members: rapid.IntRange(1, 5).Draw(t, "members"), Accelerators: rapid.IntRange(0, 8).Draw(t, "each"),
				Adjacency: commander.Adjacency(rapid.IntRange(0, 1).Draw(t, "adjacency")),
			}
			most := maxFitting(shape, free, racks)
			chosen := fleet.Place(placer.Request{Shape: shape})
			if (chosen != nil) != (most >= shape.Members) {
				t.Fatalf("%+v was placed on %v, but %d members fit", shape, chosen, most)
			}
			used := make(map[identifier.Worker]bool)
			for _, worker := range chosen {
				if used[worker] || free[worker] < shape.Accelerators {
					t.Fatalf("%+v was placed on %v with %v free", shape, chosen, free)
				}
				if shape.Adjacency == commander.SameRack && racks[worker] != racks[chosen[0]] {
					t.Fatalf("%+v was placed on %v in several racks", shape, chosen)
				}
				used[worker] = true
				free[worker] -= shape.Accelerators
				fleet.Occupy(worker, shape.Accelerators)
			}
			if chosen != nil && len(chosen) != shape.Members {
				t.Fatalf("%+v was placed with %d members", shape, len(chosen))
			}
		}
	})
}

// designFleet returns a fleet of the given number of workers in the proportions
// of the design size: 4,500 workers with 8,200 accelerators and 17,000 tasks.
func designFleet(workers int) *placer.Fleet {
	random := rand.New(rand.NewPCG(1, 1))
	var fleetWorkers []placer.Worker
	for i := range workers {
		accelerators := 1
		if i%9 == 0 {
			accelerators = 8
		}
		if i%22 == 1 {
			accelerators = 2
		}
		fleetWorkers = append(fleetWorkers, placer.Worker{
			Worker: identifier.Worker(fmt.Sprintf("w%04d", i)), Rack: identifier.Rack(fmt.Sprintf("rack%03d", i/8)), Accelerators: accelerators,
		})
	}
	fleet := placer.NewFleet(fleetWorkers)
	for range workers * 17000 / 4500 {
		worker := fleetWorkers[random.IntN(len(fleetWorkers))].Worker
		if free, _ := fleet.Free(worker); free > 0 && random.IntN(3) == 0 {
			fleet.Occupy(worker, 1)
		} else {
			fleet.Occupy(worker, 0)
		}
	}
	return fleet
}

// BenchmarkPlaceGang places a gang of 128 in regions of three sizes.
func BenchmarkPlaceGang(b *testing.B) {
	for _, workers := range []int{1125, 2250, 4500} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			fleet := designFleet(workers)
			b.ReportAllocs()
			for b.Loop() {
				if fleet.Place(placer.Request{Shape: commander.Shape{Members: 128, Accelerators: 1}}) == nil {
					b.Fatal("the gang does not fit")
				}
			}
		})
	}
}
