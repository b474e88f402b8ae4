package specifier

import (
	"net/netip"
	"time"

	"corianderroad/identifier"
)

// State is the state of a job.
type State uint8

// States of a job.
const (
	Queued State = iota
	Running
	Completed
	Failed
	Cancelled
)

// String returns the state in kebab case.
func (state State) String() string {
	switch state {
	case Running:
		return "running"
	case Completed:
		return "completed"
	case Failed:
		return "failed"
	case Cancelled:
		return "cancelled"
	default:
		return "queued"
	}
}

// IsFinal reports whether the job has ended.
func (state State) IsFinal() bool { return state >= Completed }

// TasksPerPart is the number of tasks in one part of a job's progress. The parts of a
// large job are recorded one by one, so that each fits into a record of the store.
const TasksPerPart = 256

// ProgressParts returns the number of parts in which the progress of the job is recorded.
func (job *Job) ProgressParts() int {
	tasks := job.TasksPerOccurrence() * job.Occurrences()
	return max(1, (tasks+TasksPerPart-1)/TasksPerPart)
}

// CrashPart returns the number of the part of the progress that lists crashes. It follows
// the parts with tasks, which versions without crashes replace as a whole.
func (job *Job) CrashPart() int { return job.ProgressParts() }

// Progress is the durable state of the execution of a job.
type Progress struct {
	State State
	// EndedAt is zero until the state is final.
	EndedAt time.Time
	// Reason is why the job has failed, for its caller, and empty otherwise.
	Reason string
	// Tasks lists the tasks that are done, have failed or have a checkpoint.
	Tasks []TaskProgress
	// Restarts lists the tasks that are not done and may have been started again.
	Restarts []TaskRestart
	// Crashes lists the crashes of minions under tasks that are not done, and Placements
	// where the newest runs of such tasks were started.
	Crashes    []TaskCrash
	Placements []TaskPlacement
}

// HasTasks reports whether the progress says anything about tasks. It is false for nil.
func (progress *Progress) HasTasks() bool {
	return progress != nil && len(progress.Tasks)+len(progress.Restarts)+len(progress.Crashes)+len(progress.Placements) > 0
}

// MaxReasonBytes limits the reason in the progress of a job.
const MaxReasonBytes = 512

// MaxRecordedCrashes limits the crashes and the placements in the progress of a job.
const MaxRecordedCrashes = 512

// TaskCrash is a crash of a minion that had a run of a task. It is recorded before the
// next run of the task starts.
type TaskCrash struct {
	Occurrence int
	Step       int
	Index      int
	Run        uint64
	Minion     identifier.Minion
	// Incarnation is the one that has ended.
	Incarnation identifier.Incarnation
	// Address is the minion's, invalid if it is not known.
	Address netip.AddrPort
	// Age is for how long the run had worked, at most.
	Age time.Duration
	// OnTrial means that the run was on trial, see planner, and had certainly started.
	OnTrial bool
	// Cleared means that the crash does not make the task suspect any more.
	Cleared  bool
	Evidence CrashEvidence
	// SilentPeers is the number of other minions that fell silent at the same moment.
	SilentPeers int
	// NextIncarnation is the one that has shown that the minion had ended, zero if none has.
	NextIncarnation identifier.Incarnation
}

// CrashEvidence tells what shows that a minion has ended while it had a run of a task.
type CrashEvidence uint8

// Evidence of a crash. Answers of an incarnation that arrive after its end are not read, so
// that a proof stays one.
const (
	// Unproven means that the minion may be alive, or may have ended after the run.
	Unproven CrashEvidence = iota
	// Restarted means that the minion has begun anew since the run was ordered. The run may
	// have ended before, or may never have begun.
	Restarted
	// Proven means that the minion has begun anew before the lease of the run, which it had
	// reported, could end.
	Proven
)

// String returns the evidence in kebab case.
func (evidence CrashEvidence) String() string {
	switch evidence {
	case Restarted:
		return "restarted"
	case Proven:
		return "proven"
	default:
		return "unproven"
	}
}

// TaskPlacement names the minion that was to start the newest run of a task.
type TaskPlacement struct {
	Occurrence  int
	Step        int
	Index       int
	Run         uint64
	Minion      identifier.Minion
	Incarnation identifier.Incarnation
	// Address is the minion's, invalid if it is not known.
	Address netip.AddrPort
	// PlacedAt is when the run was placed, zero if it is not known.
	PlacedAt time.Time
}

// TaskRestart names the newest run of a task that may have been started. It is recorded
// before that run starts. For another holder, the end of an earlier run is not the last
// one of the task.
type TaskRestart struct {
	Occurrence int
	Step       int
	Index      int
	LatestRun  uint64
}

// TaskProgress is the durable state of the execution of one task.
type TaskProgress struct {
	Occurrence int
	Step       int
	Index      int
	Done       bool
	// DoneRun is the run whose end made the task done.
	DoneRun uint64
	// FailedRuns lists the numbers of the runs that failed. They prevent a failure
	// that a minion reports again to another holder from being counted twice.
	FailedRuns []uint64
	// Checkpoint is where the next run resumes, empty for the beginning.
	Checkpoint string
}
