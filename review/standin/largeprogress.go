package main

import "time"

// Sizes of the case large-progress. One record of the job's progress is larger than the
// store takes (recordBytes) once most of its tasks are done.
const (
	largeSteps    = 5
	tasksPerStep  = 1800
	smallJobs     = 50
	smallJobEvery = time.Second
)

// playLargeProgress lets a client send one job of many short tasks beside other clients'
// small jobs.
func playLargeProgress(root string, record *Record, trouble bool) error {
	rebuilds := &Route{Name: "ladder-rebuild", Prefix: "/ladders/", Priority: 2, Attempts: 2}
	swaps := &Route{Name: "slot-swap", Prefix: "/swaps/", Attempts: 2}
	scene, err := NewScene(root, record, trouble, 6, rebuilds, swaps)
	defer scene.Close(false)
	if err != nil {
		return err
	}
	if trouble {
		var steps []*Step
		for range largeSteps {
			steps = append(steps, &Step{Count: tasksPerStep, CPU: 100, MemMB: 10, Work: 2200 * time.Millisecond, Checkpointing: true})
		}
		scene.Submit(rebuilds, steps...)
		record.Sayf("a job of %d steps of %d tasks is accepted", largeSteps, tasksPerStep)
	}
	for range smallJobs {
		go scene.Submit(swaps, &Step{Count: 3, CPU: 1000, MemMB: 100, Work: 500 * time.Millisecond})
		time.Sleep(smallJobEvery)
	}
	scene.CheckLost()
	scene.sayEnds()
	for reason, count := range scene.store.Refusals() {
		record.Sayf("the store refused %d appends: %s", count, reason)
	}
	return nil
}
