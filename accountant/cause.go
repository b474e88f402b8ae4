package accountant

import "corianderroad/messenger"

// Cause is why a run ended: the rule by which it was stopped, or else how it ended.
type Cause uint8

// Causes beside the rules.
const (
	EndFailed         = Cause(rules) + iota
	EndDone           // counts as a loss only if another run completed the task
	EndLeaseExpired   // listed by the minion
	EndGangBroken     // listed by the minion: another member of the gang ended
	EndGangIncomplete // listed by the minion: other members did not start in time
	EndStopped        // stopped without an order of this holder
	EndMinionGone     // its minion has ended or restarted
	EndLeasesExpired  // its minion was silent until its leases had expired
	EndUnreported     // its minion does not list it
	EndUnknown        // no end was seen that explains the one of the gang
	endCauses         = iota
)

// String returns the name of the cause in log lines and metrics.
func (cause Cause) String() string {
	if cause < Cause(rules) {
		return Rule(cause).String()
	}
	return [endCauses]string{
		"failed", "done", "lapsed", "broken", "alone", "stopped", "minion-gone", "leases-expired", "unreported", "unknown",
	}[cause-Cause(rules)]
}

// follows reports whether the cause is the end of another member of the gang.
func (cause Cause) follows() bool {
	return cause == Cause(StopForBrokenGang) || cause == EndGangBroken
}

// CauseOf returns the cause of an end that a minion lists.
func CauseOf(kind messenger.EndKind) Cause {
	switch kind {
	case messenger.EndDone:
		return EndDone
	case messenger.EndFailed:
		return EndFailed
	case messenger.EndStopped:
		return EndStopped
	case messenger.EndLeaseExpired:
		return EndLeaseExpired
	case messenger.EndGangBroken:
		return EndGangBroken
	case messenger.EndGangIncomplete:
		return EndGangIncomplete
	}
	return EndUnknown
}
