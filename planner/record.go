package planner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// recording collects the state of the holder that must become durable. One
// record is in flight at a time; later changes go into the next.
type recording struct {
	dirty map[identifier.Job]dirtyJob
	// lastRank is the rank of the job that became dirty last.
	lastRank uint64
	// minionsWithEnds are the minions with ends that no record covers yet.
	minionsWithEnds map[identifier.Minion]*minion
	// awaitedEnds are recorded once all jobs up to awaitedRank are.
	awaitedEnds map[*minion]uint64
	awaitedRank uint64
	// current is the record in flight or to be repeated, nil if there is none.
	current *messenger.RecordProgress
	// recordedEnds holds the ends that are recorded once current is durable.
	recordedEnds map[*minion]uint64
	inFlight     bool
	retryAt      time.Time
	serial       uint64
}

// dirtyJob is a job with progress that is not recorded.
type dirtyJob struct {
	*job
	// rank is the job's rank in the order in which jobs became dirty.
	rank uint64
}

func newRecording() recording {
	return recording{
		dirty: make(map[identifier.Job]dirtyJob), minionsWithEnds: make(map[identifier.Minion]*minion),
		awaitedEnds: make(map[*minion]uint64), recordedEnds: make(map[*minion]uint64),
	}
}

// markDirty notes that a job has progress that is not recorded. A job whose
// deletion was sent has none, because its record would remain in the store for
// good.
func (recording *recording) markDirty(job *job) {
	if _, isDirty := recording.dirty[job.spec.ID]; job.deletionSent || isDirty {
		return
	}
	recording.lastRank++
	recording.dirty[job.spec.ID] = dirtyJob{job, recording.lastRank}
}

// markTaskDirty notes that the progress of a task is not recorded.
func (recording *recording) markTaskDirty(step *step, index int) {
	step.occurrence.job.addUnrecordedPart(step.part(index))
	recording.markDirty(step.occurrence.job)
}

// addMinion notes that a minion has listed ends that are not recorded.
func (recording *recording) addMinion(minion *minion) {
	recording.minionsWithEnds[minion.report.Minion] = minion
}

// sendRecord sends the next record, or repeats the last one.
func (planner *Planner) sendRecord(now time.Time) {
	recording := &planner.recording
	if recording.inFlight || now.Before(recording.retryAt) {
		return
	}
	if recording.current == nil {
		recording.current = planner.nextRecord(now)
	}
	if recording.current != nil {
		recording.inFlight = true
		planner.emit(*recording.current)
	}
}

// nextRecord collects the jobs with unrecorded progress, the ended jobs first, then
// those that have waited longest.
func (planner *Planner) nextRecord(now time.Time) *messenger.RecordProgress {
	recording := &planner.recording
	tombstones := planner.expiredTombstones(now)
	deletions, expired := planner.expiredJobs(now)
	if len(recording.dirty)+len(recording.minionsWithEnds)+len(recording.awaitedEnds)+len(deletions)+len(expired)+len(tombstones) == 0 {
		return nil
	}
	recording.awaitEnds()
	jobs := slices.SortedFunc(maps.Values(recording.dirty), func(one, other dirtyJob) int {
		return cmp.Or(-compareBool(one.state.IsFinal(), other.state.IsFinal()), cmp.Compare(one.rank, other.rank))
	})
	jobs = jobs[:min(len(jobs), maxJobsPerRecord)]
	recording.serial++
	next := &messenger.RecordProgress{Token: planner.holder.token, Serial: recording.serial, Deletions: deletions, Expired: expired, Tombstones: tombstones}
	for _, job := range jobs {
		delete(recording.dirty, job.spec.ID)
		next.Updates = append(next.Updates, job.takeUnrecordedParts()...)
		if job.state != job.journalState {
			next.States = append(next.States, job.stateRecord())
			if job.state.IsFinal() && len(job.spec.Payload) > maxShortPayloadBytes {
				next.Ended = append(next.Ended, job.spec)
			}
		}
	}
	recording.coverEnds()
	if len(next.Updates)+len(next.States)+len(deletions)+len(expired)+len(tombstones) == 0 {
		planner.applyRecordedEnds(now)
		return nil
	}
	return next
}

// awaitEnds collects the ends that are recorded once all jobs that are dirty now are.
func (recording *recording) awaitEnds() {
	if len(recording.awaitedEnds) > 0 {
		return
	}
	recording.awaitedRank = recording.lastRank
	for _, minion := range recording.minionsWithEnds {
		recording.awaitedEnds[minion] = minion.recordableEnd()
	}
	clear(recording.minionsWithEnds)
}

// coverEnds lets the next record cover the awaited ends if no later record is needed.
func (recording *recording) coverEnds() {
	clear(recording.recordedEnds)
	for _, dirty := range recording.dirty {
		if dirty.rank <= recording.awaitedRank {
			return
		}
	}
	recording.recordedEnds, recording.awaitedEnds = recording.awaitedEnds, recording.recordedEnds
}

// maxShortPayloadBytes is the length up to which the payload of an ended job is
// not worth a record of its own.
const maxShortPayloadBytes = 64

const (
	// expiryCheckInterval is the time between two checks of the ended jobs.
	expiryCheckInterval = time.Second
	// maxDeletionsPerRecord limits the jobs that one record deletes.
	maxDeletionsPerRecord = 256
	// progressRetention is how long the progress of an ended job is kept. Minions list the
	// last ends of a job again to a new holder, which must know the numbers of its runs.
	// It then reads little more than the progress of the open jobs.
	progressRetention = 10 * time.Second
)

// expiredJobs returns the jobs whose state need not be readable any more, and the parts
// of the progress of ended jobs that are not needed any more.
func (planner *Planner) expiredJobs(now time.Time) (deletions []identifier.Job, expired []messenger.ProgressPart) {
	if now.Before(planner.nextExpiryCheckAt) {
		return nil, nil
	}
	planner.nextExpiryCheckAt = now.Add(expiryCheckInterval)
	for id, job := range planner.jobs {
		if len(deletions) >= maxDeletionsPerRecord || len(expired) >= maxDeletionsPerRecord {
			break
		}
		if !job.state.IsFinal() || job.deletionSent {
			continue
		}
		_, isDirty := planner.recording.dirty[id]
		// The clock of the holder that ended the job may have been behind this one.
		since := job.endedAt
		if since.Before(planner.holder.claimedAt) {
			since = planner.holder.claimedAt
		}
		isDeleted := now.Sub(since) > planner.bounds.StatusRetention
		if isDeleted {
			job.deletionSent = true
			delete(planner.recording.dirty, id)
			deletions = append(deletions, id)
		}
		if job.hasProgress && (isDeleted || (!isDirty && now.Sub(since) > progressRetention)) {
			job.hasProgress = false
			expired = append(expired, job.progressParts()...)
		}
	}
	slices.Sort(deletions)
	slices.SortFunc(expired, func(one, other messenger.ProgressPart) int {
		return cmp.Or(cmp.Compare(one.Job, other.Job), cmp.Compare(one.Part, other.Part))
	})
	return deletions, expired
}

func (planner *Planner) handleProgressRecorded(now time.Time, event messenger.ProgressRecorded) {
	recording := &planner.recording
	if event.Token != planner.holder.token || recording.current == nil || event.Serial != recording.current.Serial {
		return
	}
	recording.inFlight = false
	if event.Err == nil {
		for _, update := range recording.current.Updates {
			if job, ok := planner.jobs[update.Job]; ok {
				job.mayHaveStarted = update.Progress.State >= specifier.Running
				job.noteRecordedRuns(update.Progress.Restarts)
			}
		}
		for _, update := range recording.current.States {
			if job, ok := planner.jobs[update.Job]; ok {
				job.journalState = update.Progress.State
			}
		}
		planner.passNeeded = true
		recording.current = nil
		planner.applyRecordedEnds(now)
		return
	}
	if event.Err.Code == classifier.StaleTerm {
		planner.emit(messenger.HolderFenced{Token: planner.holder.token})
		planner.stepDown()
		return
	}
	recording.retryAt = now.Add(recordRetryDelay)
	if event.Unrecordable != "" {
		planner.leaveOut(now, event.Unrecordable)
		return
	}
	planner.emitDecision(string(planner.node), "record-retried", event.Err.Code.Name(), event.Err.Message, 0)
	planner.emit(messenger.Count{Counter: messenger.Retries, Reason: "record-" + event.Err.Code.Name()})
}

// leaveOut takes a job whose progress the store will never take out of the current
// record, and ends it. Otherwise no other job could be recorded either.
func (planner *Planner) leaveOut(now time.Time, id identifier.Job) {
	recording := &planner.recording
	recording.serial++
	remaining := *recording.current
	remaining.Serial = recording.serial
	remaining.Updates = slices.DeleteFunc(slices.Clone(remaining.Updates), func(update messenger.Progressed) bool { return update.Job == id })
	remaining.States = slices.DeleteFunc(slices.Clone(remaining.States), func(update messenger.Progressed) bool { return update.Job == id })
	recording.current = &remaining
	for minion := range recording.recordedEnds { // they may be ends of the job
		recording.addMinion(minion)
	}
	clear(recording.recordedEnds)
	job, ok := planner.jobs[id]
	if !ok {
		return
	}
	job.isUnrecordable = true
	job.addUnrecordedPart(0)
	if !job.state.IsFinal() {
		planner.endJob(now, job, specifier.Failed, "its progress does not fit into the store")
	}
	recording.markDirty(job)
}

// applyRecordedEnds lets minions discard the ends that are now recorded.
func (planner *Planner) applyRecordedEnds(now time.Time) {
	for minion, recordedEnd := range planner.recording.recordedEnds {
		minion.recordedEnd = max(minion.recordedEnd, recordedEnd)
		if !minion.polling {
			minion.schedulePoll(now)
		}
	}
	clear(planner.recording.recordedEnds)
}
