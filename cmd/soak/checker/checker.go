// Package checker compares what callers and minions observe with the properties
// that the system promises.
package checker

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"corianderroad/identifier"
)

// Time limits of the properties.
const (
	// CancelBound is the time after the acknowledgement of a cancellation beyond
	// which no task of the job may start. It includes the longest delay that the
	// proxies add to an order.
	CancelBound = 3*time.Second + 2*time.Second
	// VisibleBound is the time after which an accepted job must be visible on all nodes.
	VisibleBound = 3 * time.Second
	// StaleBound is the greatest age of a job's state that a node shows while it is
	// disconnected from the store. Such a node refuses all calls with keys once its
	// configuration is older than RevokeBound.
	StaleBound = RevokeBound + time.Second
	// RevokeBound is the time after which a revoked key must not be accepted.
	RevokeBound = 5 * time.Second
)

// Checker records observations and violations. It is safe for concurrent use and
// implements imitator.Observer.
type Checker struct {
	mutex     sync.Mutex
	startedAt time.Time
	jobs      map[identifier.Job]*job
	tasks     map[string]*task
	// domains are the failure domains of the minions, and evacuatedAt the times at which the
	// requests for the evacuations that hold were acknowledged.
	domains     map[string]identifier.FailureDomain
	evacuatedAt map[identifier.FailureDomain]time.Time
	violations  []string
	counts      map[string]int
}

type job struct {
	payload string
	// crashes means that the tasks of the job crash their minions.
	crashes        bool
	tasks          int
	firstStepTasks int
	acceptedAt     time.Time
	refused        bool
	cancelSent     bool
	cancelledAt    time.Time
	// completedAt is when a client first observed that the job is completed.
	completedAt time.Time
	// failed means that a client has observed that the job has failed.
	failed bool
}

type task struct {
	running      map[uint64]string // minions by run number
	doneRun      uint64
	acknowledged bool
	// crashes counts the minions that crashed under the task, startsAfterCrashes its starts
	// after crashesBeforeLimit of them.
	crashes, startsAfterCrashes int
}

// A task may start maxStartsAfterCrashes times more once crashesBeforeLimit minions have
// crashed under it. It may be given up after minCrashes.
const (
	minCrashes            = 2
	crashesBeforeLimit    = 3
	maxStartsAfterCrashes = 2
)

// New returns a checker without observations.
func New() *Checker {
	return &Checker{
		startedAt: time.Now(), jobs: make(map[identifier.Job]*job), tasks: make(map[string]*task), counts: make(map[string]int),
		domains: make(map[string]identifier.FailureDomain), evacuatedAt: make(map[identifier.FailureDomain]time.Time),
	}
}

// Violations returns the violations, oldest first.
func (checker *Checker) Violations() []string {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	return append([]string(nil), checker.violations...)
}

// Increment increments a counter of the summary.
func (checker *Checker) Increment(name string) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.counts[name]++
}

// Counter returns the value of a counter of the summary.
func (checker *Checker) Counter(name string) int {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	return checker.counts[name]
}

func (checker *Checker) addViolation(format string, arguments ...any) {
	checker.violations = append(checker.violations, fmt.Sprintf("%.3f s: ", time.Since(checker.startedAt).Seconds())+fmt.Sprintf(format, arguments...))
}

// ReportViolation records a violation that a client observed.
func (checker *Checker) ReportViolation(format string, arguments ...any) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.addViolation(format, arguments...)
}

// Submitted records a job before its first attempt. Each step depends on the one
// before it; the first step has the given number of tasks.
func (checker *Checker) Submitted(id identifier.Job, payload string, tasks, firstStepTasks int, crashes bool) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.jobs[id] = &job{payload: payload, tasks: tasks, firstStepTasks: firstStepTasks, crashes: crashes}
	checker.counts["submitted"]++
}

// Accepted records that a job was acknowledged.
func (checker *Checker) Accepted(id identifier.Job) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	if job := checker.jobs[id]; job.acceptedAt.IsZero() {
		job.acceptedAt = time.Now()
		checker.counts["accepted"]++
	}
}

// Refused records that every attempt to submit a job was refused as not accepted.
func (checker *Checker) Refused(id identifier.Job) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.jobs[id].refused = true
	checker.counts["refused"]++
	for name := range checker.tasks {
		if strings.HasPrefix(name, string(id)+".") {
			checker.addViolation("%s was started, but its job was refused as not accepted", name)
		}
	}
}

// CancelSent records that a cancellation was sent and may have arrived.
func (checker *Checker) CancelSent(id identifier.Job) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.jobs[id].cancelSent = true
}

// Cancelled records the acknowledgement of a cancellation.
func (checker *Checker) Cancelled(id identifier.Job) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.jobs[id].cancelledAt = time.Now()
	checker.counts["cancelled"]++
}

// CheckState checks the answer to a client's query for the state of a job. gone is
// true if the job was not found.
func (checker *Checker) CheckState(id identifier.Job, requestedAt time.Time, gone bool, state string) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	job := checker.jobs[id]
	switch {
	case gone && !job.acceptedAt.IsZero() && requestedAt.Sub(job.acceptedAt) > VisibleBound:
		checker.addViolation("job %s is not found %s after it was accepted", id, requestedAt.Sub(job.acceptedAt))
	case gone:
	case state == "completed":
		if job.completedAt.IsZero() {
			job.completedAt = time.Now()
		}
		checker.checkCompleted(id, job)
	case !job.completedAt.IsZero() && requestedAt.Sub(job.completedAt) > StaleBound:
		checker.addViolation("job %s is %s %s after it was completed", id, state, requestedAt.Sub(job.completedAt))
	case state == "failed" && checker.hasCrashes(id, job):
		if !job.failed {
			job.failed = true
			checker.counts["given up"]++
		}
	case state == "failed":
		checker.addViolation("job %s is failed, but none of its runs has failed, or crashed its minions", id)
	case state == "cancelled" && !job.cancelSent:
		checker.addViolation("job %s is cancelled, but no cancellation was sent", id)
	}
}

// hasCrashes reports whether a task of a job may be given up for the crashes of its minions.
func (checker *Checker) hasCrashes(id identifier.Job, job *job) bool {
	if !job.crashes {
		return false
	}
	for name, task := range checker.tasks {
		if strings.HasPrefix(name, string(id)+".") && task.crashes >= minCrashes {
			return true
		}
	}
	return false
}

func (checker *Checker) checkCompleted(id identifier.Job, job *job) {
	done := 0
	for name, task := range checker.tasks {
		if strings.HasPrefix(name, string(id)+".") && task.doneRun > 0 {
			done++
		}
	}
	if done < job.tasks {
		checker.addViolation("job %s is completed with %d of %d tasks done", id, done, job.tasks)
	}
}

// Unfinished returns the accepted jobs for which no cancellation was sent and whose
// completion was not observed. A job whose tasks crash their minions may wait for its
// trials, and need not end in time.
func (checker *Checker) Unfinished() []identifier.Job {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	var unfinished []identifier.Job
	for id, job := range checker.jobs {
		if job.isUnfinished() {
			unfinished = append(unfinished, id)
		}
	}
	return unfinished
}

// IsUnfinished reports whether Unfinished has the job.
func (checker *Checker) IsUnfinished(id identifier.Job) bool {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	return checker.jobs[id].isUnfinished()
}

func (job *job) isUnfinished() bool {
	return !job.acceptedAt.IsZero() && !job.cancelSent && job.completedAt.IsZero() && !job.crashes
}

func (checker *Checker) task(name string) *task {
	existing, ok := checker.tasks[name]
	if !ok {
		existing = &task{running: make(map[uint64]string)}
		checker.tasks[name] = existing
	}
	return existing
}

// Started implements imitator.Observer.
func (checker *Checker) Started(minion, name string, run uint64, payload string) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.counts["starts"]++
	checker.checkEvacuation(minion, name, run)
	id, step := parseTaskName(name)
	job, task := checker.jobs[id], checker.task(name)
	switch {
	case job == nil:
		checker.addViolation("%s was started on %s, but its job was not submitted", name, minion)
		return
	case job.payload != payload:
		checker.addViolation("%s was started with a different payload", name)
	case job.refused:
		checker.addViolation("%s was started, but its job was refused as not accepted", name)
	case !job.cancelledAt.IsZero() && time.Since(job.cancelledAt) > CancelBound:
		checker.addViolation("%s was started %s after its cancellation was acknowledged", name, time.Since(job.cancelledAt))
	}
	for otherRun, otherMinion := range task.running {
		checker.addViolation("%s: run %d starts on %s while run %d is on %s", name, run, minion, otherRun, otherMinion)
	}
	if task.acknowledged {
		checker.addViolation("%s: run %d starts after the end of run %d was acknowledged", name, run, task.doneRun)
	}
	if step > 0 && !checker.firstStepDone(id, job) {
		checker.addViolation("%s was started before the first step was done", name)
	}
	if task.crashes >= crashesBeforeLimit {
		task.startsAfterCrashes++
		if task.startsAfterCrashes > maxStartsAfterCrashes {
			checker.addViolation("%s: run %d is start %d after %d minions have crashed under it", name, run, task.startsAfterCrashes, crashesBeforeLimit)
		}
	}
	task.running[run] = minion
}

// CrashedBy implements imitator.Observer.
func (checker *Checker) CrashedBy(minion, _ string) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.counts["crashes"]++
	for name, task := range checker.tasks {
		id, _ := parseTaskName(name)
		for _, runsOn := range task.running {
			if runsOn == minion && checker.jobs[id].crashes {
				task.crashes++
			}
		}
	}
}

// Overloaded implements imitator.Observer.
func (checker *Checker) Overloaded(minion, name string, used, accelerators int) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.addViolation("%s was started on %s, which then has %d of %d accelerators in use", name, minion, used, accelerators)
}

func (checker *Checker) firstStepDone(id identifier.Job, job *job) bool {
	for index := range job.firstStepTasks {
		if task := checker.tasks[fmt.Sprintf("%s.0.0.%d", id, index)]; task == nil || task.doneRun == 0 {
			return false
		}
	}
	return true
}

// Ended implements imitator.Observer.
func (checker *Checker) Ended(_, name string, run uint64, outcome string) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	task := checker.task(name)
	delete(task.running, run)
	if outcome == "done" {
		task.doneRun = run
	}
	checker.counts["ended "+outcome]++
}

// Acknowledged implements imitator.Observer.
func (checker *Checker) Acknowledged(name string, run uint64) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	if task := checker.task(name); task.doneRun == run {
		task.acknowledged = true
	}
}

// parseTaskName returns the job and the step from a task's name.
func parseTaskName(name string) (identifier.Job, int) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return "", 0
	}
	step, _ := strconv.Atoi(parts[2])
	return identifier.Job(parts[0]), step
}
