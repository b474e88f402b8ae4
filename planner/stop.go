package planner

import "time"

// stopRule is the rule by which a run is stopped.
type stopRule uint8

const (
	stopForDrain stopRule = iota // its minion is leaving
	stopForMaintenance
	stopForPreemption
	stopForLeaseExpiry
	stopForRestart // its minion has restarted
	stopForJobEnd
	stopForTaskEnd
	stopForLaterRun
	stopForIncompleteGang
	stopForBrokenGang
	stopForAbandonedStart
	stopForEvacuation // its failure domain is evacuated
	stopForStall      // it makes no progress
	stopRules         // the number of rules
)

// String returns the name of the rule in log lines and metrics.
func (rule stopRule) String() string {
	return [...]string{
		"drain", "maintenance", "preemption", "lease-expiry", "minion-restart", "job-end", "task-end", "later-run",
		"incomplete-gang", "broken-gang", "abandoned-start", "evacuation", "stall",
	}[rule]
}

// interrupts reports whether the task of a stopped run must run again. The start of an
// abandoned run may never have arrived, so that it has interrupted nothing.
func (rule stopRule) interrupts() bool {
	switch rule {
	case stopForJobEnd, stopForTaskEnd, stopForLaterRun, stopForAbandonedStart:
		return false
	}
	return true
}

// awaitsStop reports whether a stop of the run that has failed must be repeated.
func (run *run) awaitsStop() bool {
	return run.minion.runs[runKey{run.id, run.number}] == run
}

// stopRetry is a stop that is sent again at a time, unless it was sent meanwhile.
type stopRetry struct {
	run *run
	at  time.Time
}

// scheduleStop repeats a failed stop after a delay.
func (planner *Planner) scheduleStop(now time.Time, run *run) {
	run.nextStopAt = now.Add(stopRetryDelay)
	planner.stopRetries = append(planner.stopRetries, stopRetry{run, run.nextStopAt})
}

// repeatStops sends the stops that are due again. All wait for the same time, so
// that they are in the order of their times.
func (planner *Planner) repeatStops(now time.Time) {
	for len(planner.stopRetries) > 0 && !now.Before(planner.stopRetries[0].at) {
		retry := planner.stopRetries[0]
		planner.stopRetries = planner.stopRetries[1:]
		run := retry.run
		if run.nextStopAt.Equal(retry.at) && run.awaitsStop() {
			planner.sendStop(now, run)
		}
	}
}
