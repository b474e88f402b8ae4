package planner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/querier"
)

const (
	// maxTrackedJobs bounds the jobs whose start is awaited.
	maxTrackedJobs = 4096
	// usualJobs is the number of jobs of a queue of which the usual one is the median.
	usualJobs = 33
	// minComparedWait is the shortest wait that is compared with the actual one. Shorter ones
	// consist of delays that are not waits for capacity.
	minComparedWait = 2 * time.Second
	// comparedFactor bounds the expected waits that are compared, in multiples of the job's objective.
	// Jobs that start count at once, and the others only after the expected wait: with longer ones
	// those that start early would decide alone.
	comparedFactor = 3
	// correctionWeight is the weight of one comparison. About ten that agree change the
	// correction to what they say.
	correctionWeight = 0.2
	// minCorrection bounds the correction, so that some starts out of order do not hide a long wait.
	minCorrection = 0.1
)

// startTracker compares the expected waits of jobs with the times at which they start, and corrects waits
// that are too high.
type startTracker struct {
	queues map[identifier.Queue]*queueStarts
	jobs   map[identifier.Job]*awaitedStart
}

// queueStarts is what the tracker knows of the jobs of one queue.
type queueStarts struct {
	// tasks and runTimes are those of the newest jobs, each of which replaces the oldest one.
	tasks    []int
	runTimes []time.Duration
	next     int
	// timely and behind are the corrections of the wait behind timely steps and of that behind all
	// steps: the mean share of the expected wait that jobs have waited, 1 at most.
	timely, behind float64
}

// awaitedStart is an open job whose start is awaited.
type awaitedStart struct {
	seenAt time.Time
	// expected is the expected wait without correction, zero if it is not compared any more.
	expected time.Duration
	// isTimely means that the job was expected to wait behind timely steps only.
	isTimely bool
	// isNew means that the job had not started when this holder read it, and hasStarted that it
	// has started since.
	isNew, hasStarted bool
}

func newStartTracker() startTracker {
	return startTracker{queues: make(map[identifier.Queue]*queueStarts), jobs: make(map[identifier.Job]*awaitedStart)}
}

// usualJob returns the usual number of tasks and critical path of a job of a queue, zero if the
// queue has had none.
func (tracker *startTracker) usualJob(queue identifier.Queue) (int, time.Duration) {
	starts := tracker.queues[queue]
	if starts == nil {
		return 0, 0
	}
	return median(starts.tasks), median(starts.runTimes)
}

func median[T int | time.Duration](values []T) T {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// correct returns a wait with the correction of its queue.
func (tracker *startTracker) correct(wait messenger.QueueWait) messenger.QueueWait {
	if starts := tracker.queues[wait.Queue]; starts != nil {
		wait.TimelyWait = time.Duration(starts.timely * float64(wait.TimelyWait))
		wait.Wait = time.Duration(starts.behind * float64(wait.Wait))
	}
	return wait
}

// observe notes new jobs with their expected waits, and compares those of jobs that have started or
// have waited for longer.
func (tracker *startTracker) observe(now time.Time, planner *Planner, waits []messenger.QueueWait) {
	maps.DeleteFunc(tracker.jobs, func(id identifier.Job, _ *awaitedStart) bool { return planner.openJobs[id] == nil })
	var changed []*job
	for _, job := range planner.openJobs {
		if tracker.isChanged(now, job) {
			changed = append(changed, job)
		}
	}
	slices.SortFunc(changed, func(one, other *job) int { return cmp.Compare(one.arrival, other.arrival) })
	for _, job := range changed {
		if awaited := tracker.jobs[job.spec.ID]; awaited != nil {
			tracker.noteStart(now, planner, job, awaited)
			tracker.compare(now, job, awaited)
		} else if len(tracker.jobs) < maxTrackedJobs {
			tracker.track(now, planner, job, waits)
		}
	}
}

// isChanged reports whether an open job is new, or has started or waited for as long as expected.
func (tracker *startTracker) isChanged(now time.Time, job *job) bool {
	if job.spec.Schedule != nil || job.spec.IsLongRunning() || len(job.occurrences) == 0 {
		return false
	}
	awaited := tracker.jobs[job.spec.ID]
	if awaited == nil {
		return true
	}
	hasWaited := awaited.expected > 0 && now.Sub(awaited.seenAt) >= awaited.expected
	return hasWaited || (!awaited.hasStarted && job.occurrences[0].steps[0].hasStarted(now))
}

// noteStart notes the work of a job that has started.
func (tracker *startTracker) noteStart(now time.Time, planner *Planner, job *job, awaited *awaitedStart) {
	queue := planner.queue(job)
	if awaited.hasStarted || queue == nil || !job.occurrences[0].steps[0].hasStarted(now) {
		return
	}
	awaited.hasStarted = true
	if awaited.isNew {
		planner.queueWaits.started.add(now, classOf(queue), &job.spec)
	}
}

// track begins to await the start of a job. One that a former holder has accepted is not compared.
func (tracker *startTracker) track(now time.Time, planner *Planner, job *job, waits []messenger.QueueWait) {
	starts := tracker.queues[job.spec.Queue]
	if starts == nil {
		starts = &queueStarts{timely: 1, behind: 1}
		tracker.queues[job.spec.Queue] = starts
	}
	criticalPath := job.occurrences[0].criticalPath
	starts.add(job.spec.Steps[0].Tasks, criticalPath)
	awaited := &awaitedStart{seenAt: now}
	tracker.jobs[job.spec.ID] = awaited
	queue := planner.queue(job)
	if queue == nil || job.mayHaveStarted {
		return
	}
	planner.queueWaits.submitted.add(now, classOf(queue), &job.spec)
	awaited.isNew = true
	for _, wait := range waits {
		if wait.Queue != queue.Name {
			continue
		}
		awaited.expected, awaited.isTimely = wait.TimelyWait, wait.TimelyWait <= queue.Objective(criticalPath)-criticalPath
		if !awaited.isTimely {
			awaited.expected = min(wait.Wait, comparedFactor*queue.Objective(criticalPath))
		}
	}
	if awaited.expected < minComparedWait {
		awaited.expected = 0
	}
}

// add adds a new job to those of which the usual one is the median.
func (starts *queueStarts) add(tasks int, runTime time.Duration) {
	if len(starts.tasks) < usualJobs {
		starts.tasks, starts.runTimes = append(starts.tasks, tasks), append(starts.runTimes, runTime)
		return
	}
	starts.tasks[starts.next], starts.runTimes[starts.next] = tasks, runTime
	starts.next = (starts.next + 1) % usualJobs
}

// compare compares the expected wait of a job with the actual one, which is at least as long if the job
// has not started.
func (tracker *startTracker) compare(now time.Time, job *job, awaited *awaitedStart) {
	if awaited.expected == 0 {
		return
	}
	starts := tracker.queues[job.spec.Queue]
	correction := &starts.behind
	if awaited.isTimely {
		correction = &starts.timely
	}
	share := min(float64(now.Sub(awaited.seenAt))/float64(awaited.expected), 1)
	*correction = max(*correction+correctionWeight*(share-*correction), minCorrection)
	awaited.expected = 0
}

// hasStarted reports whether all tasks of the step have had a run.
func (step *step) hasStarted(now time.Time) bool {
	return (step.done > 0 || step.hasRuns()) && step.countStartableTasks(now) == 0
}

// gauges returns the corrections by queue.
func (tracker *startTracker) gauges() []querier.Gauge {
	var gauges []querier.Gauge
	for _, name := range slices.Sorted(maps.Keys(tracker.queues)) {
		starts := tracker.queues[name]
		gauges = append(gauges,
			querier.Gauge{Name: "timely-wait-correction", Label: string(name), Value: starts.timely},
			querier.Gauge{Name: "wait-correction", Label: string(name), Value: starts.behind})
	}
	return gauges
}
