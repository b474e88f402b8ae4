package accountant

// Rule is the rule by which a run is stopped.
type Rule uint8

// Rules, one for each reason to stop a run.
const (
	StopForDrain Rule = iota // its minion is leaving
	StopForMaintenance
	StopForPreemption
	StopForLeaseExpiry
	StopForRestart // its minion has restarted
	StopForJobEnd
	StopForTaskEnd
	StopForLaterRun
	StopForIncompleteGang
	StopForBrokenGang
	StopForAbandonedStart
	StopForEvacuation // its failure domain is evacuated
	StopForStall      // it makes no progress
	rules             // the number of rules
)

// String returns the name of the rule in log lines and metrics.
func (rule Rule) String() string {
	return [rules]string{
		"drain", "maintenance", "preemption", "lease-expiry", "minion-restart", "job-end", "task-end", "later-run",
		"incomplete-gang", "broken-gang", "abandoned-start", "evacuation", "stall",
	}[rule]
}

// Interrupts reports whether the task of a stopped run must run again. The start of an
// abandoned run may never have arrived, so that it has interrupted nothing.
func (rule Rule) Interrupts() bool {
	switch rule {
	case StopForJobEnd, StopForTaskEnd, StopForLaterRun, StopForAbandonedStart:
		return false
	}
	return true
}
