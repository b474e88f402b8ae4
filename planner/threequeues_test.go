package planner_test

import (
	"fmt"
	"slices"
	"time"

	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/planner"
	"corianderroad/specifier"
)

// loadKind is a kind of job of a load with three queues.
type loadKind struct {
	name     string
	queue    identifier.Queue
	priority int
	// slack is that of the queue's objective.
	slack time.Duration
	tasks int
	gang  bool
	// accelerators are those of a task, one of them for each job.
	accelerators []int
	milliCPU     int
	runTime      time.Duration
	// jobsPerMinion is the number of jobs per minion and second that use all its capacity together
	// with those of the other kinds.
	jobsPerMinion float64
}

var loadKinds = []loadKind{
	{"large", "large", 1, 1500 * time.Millisecond, 13, true, []int{1, 2, 4, 8}, 13000, 6800 * time.Millisecond, 0.006},
	{"small", "small", 0, 600 * time.Millisecond, 5, false, []int{1}, 3700, 2500 * time.Millisecond, 0.06},
	{"wide", "wide", 2, 3 * time.Second, 39, false, []int{1}, 2800, 9500 * time.Millisecond, 0.012},
}

// loadStretch is the stretch of the queues' objectives.
const loadStretch = 2

// loadRun is the load with what has become of its jobs.
type loadRun struct {
	*simulation
	jobs []*loadJob
	// firstStarts are the times at which tasks first started.
	firstStarts map[specifier.Task]time.Time
	// refuses reports whether a job is refused, nil if none is.
	refuses func(job *specifier.Job, kind *loadKind) bool
	// failing are the minions whose runs may fail.
	failing map[*fakeMinion]bool
}

type loadJob struct {
	kind        *loadKind
	spec        specifier.Job
	submittedAt time.Time
	doneAt      time.Time
}

// loadPolicy has the queues of the kinds.
func loadPolicy() *specifier.Policy {
	policy := &specifier.Policy{Version: 2}
	for _, kind := range loadKinds {
		policy.Queues = append(policy.Queues, specifier.Queue{
			Name: kind.queue, Service: poolService, Priority: kind.priority, Attempts: attempts, Stretch: loadStretch, Slack: kind.slack,
		})
	}
	return policy
}

// newLoadRun returns a load of the three kinds, which uses the minions' capacity by a factor.
func newLoadRun(seed uint64, minions int, load float64, span time.Duration, reserves bool) *loadRun {
	return newLoadRunWith(seed, minions, load, span, planner.Features{GangReservations: reserves})
}

func newLoadRunWith(seed uint64, minions int, load float64, span time.Duration, features planner.Features) *loadRun {
	run := &loadRun{simulation: newSimulation(seed, 0, minions), firstStarts: make(map[specifier.Task]time.Time)}
	run.features = features
	run.workTime = run.noteStart
	run.addNode("n0")
	run.makeHolder(run.nodes[0])
	for index := range loadKinds {
		kind := &loadKinds[index]
		interval := time.Duration(float64(time.Second) / (kind.jobsPerMinion * float64(minions) * load))
		for at, number := time.Duration(0), 0; at < span; number++ {
			run.schedule(at, func() { run.submitKind(kind, number) })
			at += time.Duration(run.random.ExpFloat64() * float64(interval))
		}
	}
	return run
}

func (loadRun *loadRun) addNode(name string) *node {
	node := loadRun.newNode(name)
	loadRun.nodes = append(loadRun.nodes, node)
	loadRun.step(node, messenger.PolicyRead{Policy: loadPolicy(), SentAt: loadRun.now})
	return node
}

// noteStart notes when a task has first started. It returns how long a run works.
func (loadRun *loadRun) noteStart(run *fakeRun) time.Duration {
	if _, isKnown := loadRun.firstStarts[run.task]; !isKnown {
		loadRun.firstStarts[run.task] = run.started
	}
	return run.spec.EstimatedRunTime * time.Duration(80+run.number%41) / 100
}

func (loadRun *loadRun) submitKind(kind *loadKind, number int) {
	accelerators := kind.accelerators[loadRun.random.IntN(len(kind.accelerators))]
	job := specifier.Job{
		ID: identifier.Job(fmt.Sprintf("%s%04d", kind.name, number)), Queue: kind.queue,
		Workspace: identifier.Workspace(fmt.Sprint("w", number%2)),
		Steps: []specifier.Step{{
			Tasks: kind.tasks, Request: specifier.Resources{MilliCPU: kind.milliCPU, MemoryMB: 6000, Accelerators: accelerators},
			EstimatedRunTime: kind.runTime, Gang: kind.gang, Checkpoints: kind.priority == 2 && number%2 == 0,
		}},
	}
	if loadRun.refuses != nil && loadRun.refuses(&job, kind) {
		return
	}
	loadRun.submit(job)
	loadRun.jobs = append(loadRun.jobs, &loadJob{kind: kind, spec: job, submittedAt: loadRun.now})
}

// play advances the simulation, and notes the ends of the jobs.
func (loadRun *loadRun) play(span time.Duration) {
	const step = 100 * time.Millisecond
	for range int(span / step) {
		loadRun.advance(step)
		for _, job := range loadRun.jobs {
			if job.doneAt.IsZero() && loadRun.isDone(job) {
				job.doneAt = loadRun.now
			}
		}
	}
}

func (loadRun *loadRun) isDone(job *loadJob) bool {
	for index := range job.kind.tasks {
		if state := loadRun.tasks[specifier.Task{Job: job.spec.ID, Index: index}]; state == nil || !state.done {
			return false
		}
	}
	return true
}

// waitingTime returns the time from a job's submission until all its tasks had started, or
// until now if some have not.
func (loadRun *loadRun) waitingTime(job *loadJob) time.Duration {
	last := job.submittedAt
	for index := range job.kind.tasks {
		started, hasStarted := loadRun.firstStarts[specifier.Task{Job: job.spec.ID, Index: index}]
		if !hasStarted {
			started = loadRun.now
		}
		if started.After(last) {
			last = started
		}
	}
	return last.Sub(job.submittedAt)
}

func (job *loadJob) objective() time.Duration {
	return time.Duration(loadStretch*float64(job.kind.runTime)) + job.kind.slack
}

// loadResult is what callers of one kind got.
type loadResult struct {
	meanWait, wait95 time.Duration
	// onTime is the share of jobs that were on time, of those whose objective has passed.
	onTime float64
	jobs   int
}

func (loadRun *loadRun) result(kind string) loadResult {
	var waits []time.Duration
	result, sum, onTime := loadResult{}, time.Duration(0), 0
	for _, job := range loadRun.jobs {
		if job.kind.name != kind || loadRun.now.Sub(job.submittedAt) < job.objective() {
			continue
		}
		wait := loadRun.waitingTime(job)
		waits, sum = append(waits, wait), sum+wait
		if !job.doneAt.IsZero() && job.doneAt.Sub(job.submittedAt) <= job.objective() {
			onTime++
		}
	}
	slices.Sort(waits)
	if result.jobs = len(waits); result.jobs > 0 {
		result.meanWait, result.wait95 = sum/time.Duration(len(waits)), waits[len(waits)*95/100]
		result.onTime = float64(onTime) / float64(len(waits))
	}
	return result
}
