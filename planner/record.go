package planner

import (
	"cmp"
	"slices"
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// recording makes durable what the holder learns. One record is under way at a
// time; what changes meanwhile goes into the next.
type recording struct {
	dirty map[identifier.Job]*job
	// noted are the minions with ends that the next record contains.
	noted map[identifier.Minion]*minion
	// sent is the record under way or to be repeated, nil if there is none.
	sent *messenger.RecordProgress
	// covers holds the ends that are recorded once sent is durable.
	covers   map[*minion]uint64
	underWay bool
	notUntil time.Time
	serial   uint64
}

func newRecording() recording {
	return recording{
		dirty: make(map[identifier.Job]*job), noted: make(map[identifier.Minion]*minion), covers: make(map[*minion]uint64),
	}
}

// mark says that a job's progress is not recorded.
func (recording *recording) mark(known *job) { recording.dirty[known.spec.ID] = known }

// note says that a minion has listed ends that are not recorded.
func (recording *recording) note(minion *minion) { recording.noted[minion.report.Minion] = minion }

// record sends the next record, or the last one again.
func (planner *Planner) record(now time.Time) {
	recording := &planner.recording
	if recording.underWay || now.Before(recording.notUntil) {
		return
	}
	if recording.sent == nil {
		recording.sent = planner.nextRecord(now)
	}
	if recording.sent != nil {
		recording.underWay = true
		planner.emit(*recording.sent)
	}
}

// nextRecord collects what is not recorded, the jobs that ended first. The ends
// of a minion are covered only if all changes are in the record.
func (planner *Planner) nextRecord(now time.Time) *messenger.RecordProgress {
	recording := &planner.recording
	drops := planner.expired(now)
	if len(recording.dirty) == 0 && len(recording.noted) == 0 && len(drops) == 0 {
		return nil
	}
	jobs := make([]*job, 0, len(recording.dirty))
	for _, known := range recording.dirty {
		jobs = append(jobs, known)
	}
	slices.SortFunc(jobs, func(one, other *job) int {
		return cmp.Or(-cmp.Compare(one.state, other.state), cmp.Compare(one.spec.ID, other.spec.ID))
	})
	whole := len(jobs) <= recordLimit
	if !whole {
		jobs = jobs[:recordLimit]
	}
	recording.serial++
	next := &messenger.RecordProgress{Token: planner.hold.token, Serial: recording.serial, Deletions: drops}
	for _, known := range jobs {
		delete(recording.dirty, known.spec.ID)
		next.Updates = append(next.Updates, known.record())
		if known.state.IsFinal() && len(known.spec.Payload) > shortPayload {
			next.Ended = append(next.Ended, known.spec)
		}
	}
	clear(recording.covers)
	if whole {
		for name, minion := range recording.noted {
			recording.covers[minion] = minion.notable()
			delete(recording.noted, name)
		}
	}
	if len(next.Updates) == 0 && len(drops) == 0 {
		planner.cover(now)
		return nil
	}
	return next
}

// shortPayload is the length in bytes up to which the payload of an ended job is
// not worth a record of its own.
const shortPayload = 64

// expireEvery is the time between two looks through the ended jobs.
const expireEvery = time.Second

// expired returns jobs whose state need not be readable any more.
func (planner *Planner) expired(now time.Time) []identifier.Job {
	if now.Before(planner.expireAt) {
		return nil
	}
	planner.expireAt = now.Add(expireEvery)
	var drops []identifier.Job
	for id, known := range planner.jobs {
		if len(drops) == recordLimit {
			break
		}
		if !known.dropping && known.state.IsFinal() && now.Sub(known.endedAt) > planner.bounds.StatusKept {
			known.dropping = true
			drops = append(drops, id)
		}
	}
	slices.Sort(drops)
	return drops
}

func (planner *Planner) recorded(now time.Time, event messenger.ProgressRecorded) {
	recording := &planner.recording
	if event.Token != planner.hold.token || recording.sent == nil || event.Serial != recording.sent.Serial {
		return
	}
	recording.underWay = false
	if event.Err == nil {
		for _, update := range recording.sent.Updates {
			planner.jobs[update.Job].begun = update.Progress.State >= specifier.Running
		}
		planner.changed = true
		recording.sent = nil
		planner.cover(now)
		return
	}
	if event.Err.Code == classifier.StaleTerm {
		planner.emit(messenger.HolderFenced{Token: planner.hold.token})
		planner.resign()
		return
	}
	recording.notUntil = now.Add(recordRetry)
	planner.decide(string(planner.node), "record-retried", event.Err.Code.Name(), event.Err.Message, 0)
	planner.emit(messenger.Count{Counter: messenger.Retries, Reason: "record-" + event.Err.Code.Name()})
}

// cover lets minions forget the ends that are recorded now.
func (planner *Planner) cover(now time.Time) {
	for minion, seen := range planner.recording.covers {
		minion.seen = max(minion.seen, seen)
		if !minion.looking {
			minion.lookAt = now
		}
	}
	clear(planner.recording.covers)
}
