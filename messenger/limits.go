package messenger

import (
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/specifier"
)

// Limits of the records of the journal and of the claims, in addition to those of
// package specifier. They are checked when a job is accepted and when a record is
// read, so that every node can read each job that one of them accepted.
const (
	// MaxJobIDBytes is the length of the longest ID of a job.
	MaxJobIDBytes = 64
	// MaxNodeBytes is the length of the longest name of a node in a claim.
	MaxNodeBytes = 255
	// MaxRecordUnixSeconds bounds all times in records, in seconds since 1970. It is
	// in the year 2128. specifier.MaxScheduleSpan later is within the range of a Unix
	// time in nanoseconds.
	MaxRecordUnixSeconds = 5_000_000_000
)

// Limits of the answers of workers.
const (
	// MaxTerm is the highest term that a worker can have seen. A term is an offset of
	// the log.
	MaxTerm identifier.Term = 1 << 53
	// MaxWorkerAccelerators bounds the accelerators of one worker.
	MaxWorkerAccelerators = 4096
	// MaxWorkerClock bounds the clock of a worker, which begins at the start of its
	// process, so that the end of a lease does not overflow.
	MaxWorkerClock = 100 * 366 * 24 * time.Hour
)

// MaxListedEnds is the number of ends that a minion lists at most in one answer.
const MaxListedEnds = 500

// Limits of the entries of the log.
const (
	// MaxEntryNameBytes bounds the ID of an entry and each name in its record. Nodes
	// store them for each writer, decision and recent entry.
	MaxEntryNameBytes = 1 << 10
	// MaxReasonBytes bounds the reason of an outcome, which may list the workers of a
	// gang.
	MaxReasonBytes = 64 << 10
)

// MaxReportedLoad bounds the queued requests and the free slots that a node reports,
// so that their sums do not overflow.
const MaxReportedLoad = 1 << 30

// CheckJobID returns an error with code BadRequest unless the ID consists of letters,
// digits, hyphens and underscores. Other characters separate the parts of a task's
// name and of a record's key.
func CheckJobID(id identifier.Job) error {
	if len(id) == 0 || len(id) > MaxJobIDBytes {
		return classifier.New(classifier.BadRequest, "the ID of the job has %d bytes, 1 to %d are allowed", len(id), MaxJobIDBytes)
	}
	for _, character := range []byte(id) {
		switch {
		case 'a' <= character && character <= 'z', 'A' <= character && character <= 'Z', '0' <= character && character <= '9':
		case character == '-', character == '_':
		default:
			return classifier.New(classifier.BadRequest, "the ID of the job contains %q", character)
		}
	}
	return nil
}

// CheckLimits returns an error with code BadRequest if the job exceeds a limit of
// its record. It does not repeat the checks of specifier.Job.Check.
func (submitted Submitted) CheckLimits() error {
	job := &submitted.Job
	tasks := 0
	for index := range job.Steps {
		if err := checkStepLimits(index, &job.Steps[index]); err != nil {
			return err
		}
		tasks += job.Steps[index].Tasks
	}
	if occurrences := job.Occurrences(); occurrences > 0 && tasks > specifier.MaxJobTasks/occurrences {
		return classifier.New(classifier.BadRequest, "the job has %d tasks in each of %d occurrences, at most %d in total are allowed",
			tasks, occurrences, specifier.MaxJobTasks)
	}
	if err := CheckJobID(job.ID); err != nil {
		return err
	}
	if !isRecordTime(job.AcceptedAt) {
		return classifier.New(classifier.BadRequest, "the job was accepted at %s, which is out of range", job.AcceptedAt)
	}
	return checkScheduleLimits(job.Schedule)
}

// MaxAppendDelay is how long after it was sent the store may still carry out an append that
// got no answer.
const MaxAppendDelay = 30 * time.Second

// MaxTombstoneWorkspaceBytes is the length of the longest name of a workspace in a tombstone,
// whose key holds it.
const MaxTombstoneWorkspaceBytes = 180

// Check returns an error with code BadRequest if the tombstone can't be recorded.
func (tombstone Tombstone) Check() error {
	if err := CheckJobID(tombstone.Job); err != nil {
		return err
	}
	if len(tombstone.Workspace) > MaxTombstoneWorkspaceBytes {
		return classifier.New(classifier.BadRequest, "the name of the workspace has %d bytes, at most %d are allowed for a cancellation before the submission",
			len(tombstone.Workspace), MaxTombstoneWorkspaceBytes)
	}
	return specifier.CheckOptionalName("workspace", string(tombstone.Workspace))
}

func checkStepLimits(index int, step *specifier.Step) error {
	if err := step.Request.Check(); err != nil {
		return classifier.New(classifier.BadRequest, "step %d: %v", index, err)
	}
	if max(step.EstimatedRunTime, step.LatencyTarget) > specifier.MaxDuration {
		return classifier.New(classifier.BadRequest, "step %d has a duration above %s", index, specifier.MaxDuration)
	}
	if len(step.DependsOn) > specifier.MaxSteps {
		return classifier.New(classifier.BadRequest, "step %d has %d dependencies, at most %d are allowed",
			index, len(step.DependsOn), specifier.MaxSteps)
	}
	return nil
}

func checkScheduleLimits(schedule *specifier.Schedule) error {
	if schedule == nil {
		return nil
	}
	if !isRecordTime(schedule.First) {
		return classifier.New(classifier.BadRequest, "the first occurrence is at %s, which is out of range", schedule.First)
	}
	intervals := time.Duration(max(schedule.Occurrences-1, 1))
	if schedule.Interval < 0 || schedule.Interval > specifier.MaxScheduleSpan/intervals {
		return classifier.New(classifier.BadRequest, "%d occurrences have an interval of %s, which is out of range",
			schedule.Occurrences, schedule.Interval)
	}
	return nil
}

// Check returns an error with code BadRequest if the progress can't be that of any
// job.
func (progressed Progressed) Check() error {
	progress := &progressed.Progress
	if progressed.Part < 0 || progressed.Part > specifier.MaxJobTasks/specifier.TasksPerPart { // the last one is Job.CrashPart
		return classifier.New(classifier.BadRequest, "the part %d is out of range", progressed.Part)
	}
	if progress.State > specifier.Cancelled {
		return classifier.New(classifier.BadRequest, "the state %d is unknown", progress.State)
	}
	if !isRecordTime(progress.EndedAt) || (progress.State.IsFinal() && progress.EndedAt.IsZero()) {
		return classifier.New(classifier.BadRequest, "the job ended at %s, which is out of range", progress.EndedAt)
	}
	if max(len(progress.Tasks), len(progress.Restarts)) > specifier.MaxJobTasks {
		return classifier.New(classifier.BadRequest, "the progress lists %d tasks and %d restarts, at most %d are allowed",
			len(progress.Tasks), len(progress.Restarts), specifier.MaxJobTasks)
	}
	if len(progress.Reason) > specifier.MaxReasonBytes {
		return classifier.New(classifier.BadRequest, "the reason has %d bytes, at most %d are allowed", len(progress.Reason), specifier.MaxReasonBytes)
	}
	if err := checkCrashes(progress); err != nil {
		return err
	}
	for _, task := range progress.Tasks {
		if err := checkTaskNumbers(task.Occurrence, task.Step, task.Index); err != nil {
			return err
		}
	}
	for _, restart := range progress.Restarts {
		if err := checkTaskNumbers(restart.Occurrence, restart.Step, restart.Index); err != nil {
			return err
		}
	}
	return nil
}

func checkCrashes(progress *specifier.Progress) error {
	if max(len(progress.Crashes), len(progress.Placements)) > specifier.MaxRecordedCrashes {
		return classifier.New(classifier.BadRequest, "the progress lists %d crashes and %d placements, at most %d are allowed",
			len(progress.Crashes), len(progress.Placements), specifier.MaxRecordedCrashes)
	}
	for _, crash := range progress.Crashes {
		if crash.Age < 0 {
			return classifier.New(classifier.BadRequest, "a run was %s old when its minion crashed", crash.Age)
		}
		if crash.Evidence > specifier.Proven || crash.SilentPeers < 0 {
			return classifier.New(classifier.BadRequest, "a crash has evidence %d and %d silent peers", crash.Evidence, crash.SilentPeers)
		}
		if err := checkTaskNumbers(crash.Occurrence, crash.Step, crash.Index); err != nil {
			return err
		}
	}
	for _, placement := range progress.Placements {
		if !isRecordTime(placement.PlacedAt) {
			return classifier.New(classifier.BadRequest, "a run was placed at %s", placement.PlacedAt)
		}
		if err := checkTaskNumbers(placement.Occurrence, placement.Step, placement.Index); err != nil {
			return err
		}
	}
	return nil
}

func checkTaskNumbers(occurrence, step, index int) error {
	if occurrence < 0 || occurrence >= specifier.MaxOccurrences || step < 0 || step >= specifier.MaxSteps || index < 0 || index >= specifier.MaxTasks {
		return classifier.New(classifier.BadRequest, "task %d.%d.%d is out of range", occurrence, step, index)
	}
	return nil
}

// isRecordTime reports whether a time is zero or in the range of times in records.
func isRecordTime(at time.Time) bool {
	return at.IsZero() || (at.Unix() >= 0 && at.Unix() <= MaxRecordUnixSeconds)
}
