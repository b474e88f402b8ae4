package leaser

import (
	"time"

	"corianderroad/messenger"
)

// Advance moves the gang on to the given time and returns the calls that are
// due. The caller fills in sequence, term and address. It must be called after
// every change and at Next.
func (gang *Gang) Advance(now time.Time) []messenger.CallWorker {
	gang.settle(now)
	if gang.phase == Running || gang.phase == Finished || gang.phase == Ended {
		return nil
	}
	var asks []messenger.CallWorker
	for i := range gang.members {
		member := &gang.members[i]
		kind := gang.neededCall(member)
		if kind == 0 || member.open != 0 || now.Before(member.askAt) {
			continue
		}
		member.open = kind
		asks = append(asks, gang.ask(member, kind))
	}
	return asks
}

// settle makes the transitions that are due.
func (gang *Gang) settle(now time.Time) {
	switch gang.phase {
	case Reserving:
		if gang.all(func(member *member) bool { return member.reserved }) {
			// No start was sent yet, so that tasks run until now plus lease at most.
			gang.phase, gang.began, gang.expiry = Starting, now, now.Add(gang.timing.Lease)
		} else if now.Sub(gang.began) >= gang.timing.AnswerTimeout {
			gang.blameUnless(func(member *member) bool { return member.reserved })
			gang.Stop(now, Lost)
		}
	case Starting:
		if gang.all(func(member *member) bool { return member.started }) {
			gang.phase = Running
		} else if now.Sub(gang.began) >= gang.timing.AnswerTimeout {
			gang.blameUnless(func(member *member) bool { return member.started })
			gang.Stop(now, Lost)
		}
	case Running:
		if !now.Before(gang.expiry) {
			gang.blameLeastRecent()
			gang.Stop(now, Lost)
		}
	case Checkpointing:
		saved := gang.all(func(member *member) bool { return member.saved })
		if saved || now.Sub(gang.began) >= gang.timing.Grace || !now.Before(gang.expiry) {
			gang.Stop(now, Stopped)
		}
	case Releasing:
		released := gang.all(func(member *member) bool { return member.released })
		if released || !now.Before(gang.expiry) {
			gang.phase = Ended
		}
	}
}

// Stop ends the gang with the given result: every member is released.
func (gang *Gang) Stop(now time.Time, result Result) {
	if gang.phase >= Releasing {
		return
	}
	if gang.phase == Reserving || gang.phase == Finished {
		// A reservation drops by itself one lease after its receipt, and the
		// release of an ended task is repeated that long.
		gang.expiry = now.Add(gang.timing.Lease)
	}
	if gang.phase != Finished {
		gang.result = result
	}
	gang.phase, gang.began = Releasing, now
	for i := range gang.members {
		gang.members[i].askAt = now
	}
}

// Checkpoint ends a running gang after its members wrote checkpoints, or after
// the grace period. A gang that does not run yet is stopped at once.
func (gang *Gang) Checkpoint(now time.Time) {
	if gang.phase < Running {
		gang.Stop(now, Stopped)
	}
	if gang.phase != Running {
		return
	}
	gang.phase, gang.began = Checkpointing, now
	for i := range gang.members {
		gang.members[i].askAt = now
	}
}

// Next returns when Advance is to be called next, the zero time for never.
func (gang *Gang) Next() time.Time {
	var next time.Time
	earlier := func(at time.Time) {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	switch gang.phase {
	case Finished, Ended:
		return next
	case Reserving, Starting:
		earlier(gang.began.Add(gang.timing.AnswerTimeout))
	case Checkpointing:
		earlier(gang.began.Add(gang.timing.Grace))
		earlier(gang.expiry)
	default:
		earlier(gang.expiry)
	}
	if gang.phase == Running {
		return next
	}
	for i := range gang.members {
		if member := &gang.members[i]; member.open == 0 && gang.neededCall(member) != 0 {
			earlier(member.askAt)
		}
	}
	return next
}

// neededCall returns the call that a member needs in this phase, zero for none.
func (gang *Gang) neededCall(member *member) messenger.WorkerCallKind {
	switch {
	case gang.phase == Reserving && !member.reserved:
		return messenger.ReserveTask
	case gang.phase == Starting && !member.started:
		return messenger.StartTask
	case gang.phase == Checkpointing && !member.saved:
		return messenger.CheckpointTask
	case gang.phase == Releasing && !member.released:
		return messenger.ReleaseTask
	}
	return 0
}

func (gang *Gang) ask(member *member, kind messenger.WorkerCallKind) messenger.CallWorker {
	ask := messenger.CallWorker{Worker: member.worker, Kind: kind, Gang: gang.order.Gang}
	switch kind {
	case messenger.ReserveTask:
		ask.Accelerators, ask.Members, ask.Lease = gang.order.Accelerators, gang.order.Workers, gang.timing.Lease
	case messenger.StartTask:
		ask.WorkerClock, ask.Lease = member.newest.Mark, gang.expiry.Sub(member.newest.AnsweredAt)
		ask.RunTime, ask.Progress = gang.order.RunTime, gang.order.Progress
	case messenger.CheckpointTask:
		ask.Grace = gang.timing.Grace
	}
	return ask
}

func (gang *Gang) all(condition func(*member) bool) bool {
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

// blameLeastRecent blames the members whose newest observation is the oldest.
func (gang *Gang) blameLeastRecent() {
	oldest := gang.evidence()
	gang.blameUnless(func(member *member) bool { return member.newest.AskedAt.After(oldest) })
}
