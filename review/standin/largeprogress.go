package main

import "time"

// Sizes of the case large-progress. One record of the recurring job's progress is larger
// than the store takes (recordBytes) once about 8,700 of its tasks are done.
const (
	occurrences     = 120
	occurrenceEvery = 400 * time.Millisecond
	// occurrenceTasks is the largest number of tasks of a step of ladder-rebuild.
	occurrenceTasks = 94
	smallJobs       = 60
	smallJobEvery   = time.Second
)

// playLargeProgress lets a client send a recurring job whose tasks checkpoint, beside other
// clients' small jobs.
func playLargeProgress(root string, record *Record, trouble bool) error {
	rebuilds := &Route{Name: "ladder-rebuild", Prefix: "/ladders/", Priority: 2, Attempts: 2}
	swaps := &Route{Name: "slot-swap", Prefix: "/swaps/", Attempts: 2}
	scene, err := NewScene(root, record, trouble, 6, rebuilds, swaps)
	defer scene.Close()
	if err != nil {
		return err
	}
	if trouble {
		job := scene.NewJob(rebuilds, &Step{Count: occurrenceTasks, CPU: 100, MemMB: 10, Work: 2200 * time.Millisecond, Checkpointing: true})
		job.Repeats, job.Interval = occurrences, occurrenceEvery
		scene.Send(job)
		record.Sayf("a job of %d tasks is accepted, which recurs %d times, once each %s", occurrenceTasks, occurrences, occurrenceEvery)
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
