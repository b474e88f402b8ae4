package registrar

import (
	"fmt"
	"time"

	"corianderroad/admitter"
	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/querier"
	"corianderroad/specifier"
)

// EarlyRefusalDecider decides which submissions are refused by the expected wait of their queue.
type EarlyRefusalDecider interface {
	SetFigures(now time.Time, figures admitter.Figures)
	Decide(now time.Time, submission admitter.Submission) admitter.Verdict
	Changes(now time.Time) []admitter.Change
	Waits(now time.Time) []admitter.Wait
}

// Times of a refusal by the expected wait.
const (
	// maxRefusalDelay is how long a submission that is to be refused waits for a read of the
	// journal that shows whether the journal has the job. The journal is read every 0.6 s. Without
	// a read the store is slow, and the job is accepted.
	maxRefusalDelay = 900 * time.Millisecond
	// minAppendTime is the time before the caller's deadline that is left for the append.
	minAppendTime = 250 * time.Millisecond
)

// earlyRefusals is the state of the refusals by the expected wait. A nil one refuses nothing.
type earlyRefusals struct {
	decider EarlyRefusalDecider
	policy  *specifier.Policy
	// demand is the number of accelerators that the open jobs of each workspace need, a job
	// with those of its first step.
	demand map[identifier.Workspace]int
}

func newEarlyRefusals(decider EarlyRefusalDecider) *earlyRefusals {
	return &earlyRefusals{decider: decider, demand: make(map[identifier.Workspace]int)}
}

func (early *earlyRefusals) setPolicy(policy *specifier.Policy) {
	if early != nil && policy != nil {
		early.policy = policy
	}
}

func (early *earlyRefusals) setWaits(now time.Time, read messenger.WaitsRead) []messenger.Action {
	if early == nil {
		return nil
	}
	figures := admitter.Figures{ReadAt: read.ReadAt}
	if read.Waits != nil {
		figures.ComputedAt = read.Waits.ComputedAt
		for _, wait := range read.Waits.Queues {
			figures.Waits = append(figures.Waits, admitter.Wait{
				Queue: wait.Queue, Timely: wait.TimelyWait, Behind: wait.Wait,
				RunTime: wait.RunTime, Tasks: wait.Tasks, LargestMinion: wait.LargestMinion,
			})
		}
	}
	early.decider.SetFigures(now, figures)
	return early.logChanges(now)
}

// logChanges logs which queues have begun or ceased to refuse submissions.
func (early *earlyRefusals) logChanges(now time.Time) []messenger.Action {
	var actions []messenger.Action
	for _, change := range early.decider.Changes(now) {
		decision := messenger.Decision{
			Subject: string(change.Queue), Outcome: "early-refusals-ended", Reason: "the expected wait is short or not known",
			Detail: fmt.Sprintf("refused=%d", change.Refused), Age: change.Lasted,
		}
		if change.Began {
			decision.Outcome, decision.Reason = "early-refusals-began", "jobs would be done too late"
			decision.Detail = fmt.Sprintf("expected-wait=%s", change.Wait.Round(time.Millisecond))
		}
		actions = append(actions, decision)
	}
	return actions
}

// countDemand changes the demand of the job's workspace by that of the job if the job is open.
func (early *earlyRefusals) countDemand(job *job, sign int) {
	if early == nil || job.accelerators == 0 || !job.submitted || job.withdrawn || job.state.IsFinal() {
		return
	}
	early.demand[job.workspace] += sign * int(job.accelerators)
	if early.demand[job.workspace] == 0 {
		delete(early.demand, job.workspace)
	}
}

// firstAccelerators returns the accelerators that the first step of a job needs.
func firstAccelerators(job *specifier.Job) int32 {
	if len(job.Steps) == 0 {
		return 0
	}
	first := &job.Steps[0]
	return int32(min(int64(first.Tasks)*int64(first.Request.Accelerators), maxCountedAccelerators))
}

// maxCountedAccelerators bounds the accelerators of one job in the sum of its workspace.
const maxCountedAccelerators = 1 << 24

// isWithinGuarantee reports whether the open jobs of the workspace and this one need no more
// accelerators than the workspace is guaranteed.
func (early *earlyRefusals) isWithinGuarantee(job *specifier.Job) bool {
	for index := range early.policy.Workspaces {
		workspace := &early.policy.Workspaces[index]
		if workspace.Name == job.Workspace && workspace.Guaranteed > 0 {
			return early.demand[job.Workspace]+int(firstAccelerators(job)) <= workspace.Guaranteed
		}
	}
	return false
}

// decide returns the refusal of a job by the expected wait, nil if it is accepted.
func (early *earlyRefusals) decide(now time.Time, job *specifier.Job) *classifier.Error {
	if early == nil || early.policy == nil {
		return nil
	}
	queue, ok := early.policy.Queue(job.Queue)
	if !ok {
		return nil
	}
	verdict := early.decider.Decide(now, admitter.Submission{Job: job, Queue: &queue, WithinGuarantee: early.isWithinGuarantee(job)})
	if !verdict.Refused {
		return nil
	}
	return classifier.New(classifier.BacklogTooLong, "the expected wait is %s", verdict.Wait.Round(time.Second)).WithRetryAfter(verdict.RetryAfter)
}

// beginSubmission appends a submission. One that is refused by the expected wait waits for a read
// of the journal first: another node may have accepted the job, and a refusal must be final.
func (registrar *Registrar) beginSubmission(now time.Time, command *command, job *specifier.Job) []messenger.Action {
	refusal := registrar.early.decide(now, job)
	if refusal == nil {
		return registrar.admit(now, registrar.register(command), command)
	}
	actions := registrar.early.logChanges(now)
	command.refusal = refusal
	command.retryAt = now.Add(maxRefusalDelay)
	if last := command.deadline.Add(-minAppendTime); last.Before(command.retryAt) {
		command.retryAt = last
	}
	registrar.register(command)
	return actions
}

// mayBecomeDurable reports whether this node has sent an append of the submission's job that may
// be in the journal or may still arrive there.
func (registrar *Registrar) mayBecomeDurable(submission *command) bool {
	if _, isUncertain := registrar.uncertain[submission.job]; isUncertain {
		return true
	}
	for _, command := range registrar.commands {
		if _, isSubmission := command.entry.(messenger.Submitted); isSubmission && command.job == submission.job && command.attempts > 0 {
			return true
		}
	}
	return false
}

// refuseUnread refuses a submission whose job the journal does not have, and will not get by an append
// of this node.
func (registrar *Registrar) refuseUnread(now time.Time, id uint64, command *command) []messenger.Action {
	if registrar.mayBecomeDurable(command) {
		return registrar.admit(now, id, command)
	}
	delete(registrar.commands, id)
	return []messenger.Action{
		messenger.CommandAnswered{Request: command.request, Err: command.refusal},
		messenger.Count{Counter: messenger.Refusals, Reason: command.refusal.Code.Name()},
		messenger.Count{Counter: messenger.EarlyRefusals, Reason: string(command.entry.(messenger.Submitted).Job.Queue)},
	}
}

// acceptUnread appends a submission that was to be refused, because the journal was not read in time.
func (registrar *Registrar) acceptUnread(now time.Time, id uint64, command *command) []messenger.Action {
	if refusal := registrar.refuseIfStoreUnavailable(now, command.request, command.job); refusal != nil {
		delete(registrar.commands, id)
		return refusal
	}
	return registrar.admit(now, id, command)
}

// gauges returns the waits that the holder has published.
func (early *earlyRefusals) gauges(now time.Time) []querier.Gauge {
	if early == nil {
		return nil
	}
	var gauges []querier.Gauge
	for _, wait := range early.decider.Waits(now) {
		gauges = append(gauges,
			querier.Gauge{Name: "published-wait-seconds", Label: string(wait.Queue), Value: wait.Behind.Seconds()},
			querier.Gauge{Name: "published-timely-wait-seconds", Label: string(wait.Queue), Value: wait.Timely.Seconds()})
	}
	return gauges
}
