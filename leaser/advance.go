package leaser

import (
	"time"

	"corianderroad/messenger"
)

// Advance makes the transitions that are due at the given time and returns the
// calls to send. The caller fills in sequence, term and address. Advance must
// be called after every change and at the time that Next returns.
func (gang *Gang) Advance(now time.Time) []messenger.CallWorker {
	gang.transition(now)
	if gang.phase == Running || gang.phase == Finished || gang.phase == Ended {
		return nil
	}
	var calls []messenger.CallWorker
	for i := range gang.members {
		member := &gang.members[i]
		kind := gang.neededCall(member)
		if kind == 0 || member.pending != 0 || now.Before(member.callAt) {
			continue
		}
		member.pending = kind
		calls = append(calls, gang.newCall(member, kind))
	}
	return calls
}

// transition makes the phase transitions that are due.
func (gang *Gang) transition(now time.Time) {
	switch gang.phase {
	case Reserving:
		if gang.allMembers(func(member *member) bool { return member.reserved }) {
			// No start has been sent yet, so tasks run at most until now plus one lease.
			gang.phase, gang.phaseStart, gang.expiry = Starting, now, now.Add(gang.timing.Lease)
		} else if now.Sub(gang.phaseStart) >= gang.timing.AnswerTimeout {
			gang.blameUnless(func(member *member) bool { return member.reserved })
			gang.Stop(now, Lost)
		}
	case Starting:
		if gang.allMembers(func(member *member) bool { return member.started }) {
			gang.phase = Running
		} else if now.Sub(gang.phaseStart) >= gang.timing.AnswerTimeout {
			gang.blameUnless(func(member *member) bool { return member.started })
			gang.Stop(now, Lost)
		}
	case Running:
		if !now.Before(gang.expiry) {
			gang.blameLeastRecentlyObserved()
			gang.Stop(now, Lost)
		}
	case Checkpointing:
		checkpointed := gang.allMembers(func(member *member) bool { return member.checkpointed })
		if checkpointed || now.Sub(gang.phaseStart) >= gang.timing.Grace || !now.Before(gang.expiry) {
			gang.Stop(now, Stopped)
		}
	case Releasing:
		released := gang.allMembers(func(member *member) bool { return member.released })
		if released || !now.Before(gang.expiry) {
			gang.phase = Ended
		}
	}
}

// Stop ends the gang with the given result and begins to release every member.
func (gang *Gang) Stop(now time.Time, result Result) {
	if gang.phase >= Releasing {
		return
	}
	if gang.phase == Reserving || gang.phase == Finished {
		// A worker drops a reservation one lease after it received it. The
		// release of a finished task is repeated for the same time.
		gang.expiry = now.Add(gang.timing.Lease)
	}
	if gang.phase != Finished {
		gang.result = result
	}
	gang.phase, gang.phaseStart = Releasing, now
	for i := range gang.members {
		gang.members[i].callAt = now
	}
}

// Checkpoint stops a running gang once its members have written checkpoints or
// the grace period is over. A gang that does not run yet is stopped at once.
func (gang *Gang) Checkpoint(now time.Time) {
	if gang.phase < Running {
		gang.Stop(now, Stopped)
	}
	if gang.phase != Running {
		return
	}
	gang.phase, gang.phaseStart = Checkpointing, now
	for i := range gang.members {
		gang.members[i].callAt = now
	}
}

// Next returns when Advance must be called next, or the zero time for never.
func (gang *Gang) Next() time.Time {
	var next time.Time
	setIfEarlier := func(at time.Time) {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	switch gang.phase {
	case Finished, Ended:
		return next
	case Reserving, Starting:
		setIfEarlier(gang.phaseStart.Add(gang.timing.AnswerTimeout))
	case Checkpointing:
		setIfEarlier(gang.phaseStart.Add(gang.timing.Grace))
		setIfEarlier(gang.expiry)
	default:
		setIfEarlier(gang.expiry)
	}
	if gang.phase == Running {
		return next
	}
	for i := range gang.members {
		if member := &gang.members[i]; member.pending == 0 && gang.neededCall(member) != 0 {
			setIfEarlier(member.callAt)
		}
	}
	return next
}

// neededCall returns the call that a member still needs in this phase, zero for none.
func (gang *Gang) neededCall(member *member) messenger.WorkerCallKind {
	switch {
	case gang.phase == Reserving && !member.reserved:
		return messenger.ReserveTask
	case gang.phase == Starting && !member.started:
		return messenger.StartTask
	case gang.phase == Checkpointing && !member.checkpointed:
		return messenger.CheckpointTask
	case gang.phase == Releasing && !member.released:
		return messenger.ReleaseTask
	}
	return 0
}

func (gang *Gang) newCall(member *member, kind messenger.WorkerCallKind) messenger.CallWorker {
	call := messenger.CallWorker{Worker: member.worker, Kind: kind, Gang: gang.order.Gang}
	switch kind {
	case messenger.ReserveTask:
		call.Accelerators, call.Members, call.Lease = gang.order.Accelerators, gang.order.Workers, gang.timing.Lease
	case messenger.StartTask:
		call.WorkerClock, call.Lease = member.newest.WorkerClock, gang.expiry.Sub(member.newest.ReceivedAt)
		call.RunTime, call.Progress = gang.order.RunTime, gang.order.Progress
	case messenger.CheckpointTask:
		call.Grace = gang.timing.Grace
	}
	return call
}

func (gang *Gang) allMembers(condition func(*member) bool) bool {
	for i := range gang.members {
		if !condition(&gang.members[i]) {
			return false
		}
	}
	return true
}

func (gang *Gang) blameUnless(condition func(*member) bool) {
	for i := range gang.members {
		if !condition(&gang.members[i]) {
			gang.blamed = append(gang.blamed, gang.members[i].worker)
		}
	}
}

// blameLeastRecentlyObserved blames the members whose newest observation is the
// oldest of all members.
func (gang *Gang) blameLeastRecentlyObserved() {
	oldest := gang.observedSince()
	gang.blameUnless(func(member *member) bool { return member.newest.SentAt.After(oldest) })
}
