package planner

import "time"

// entryReturnTime is the time after an outage of the store in which the entries that lapsed
// meanwhile are back, with a reading. The platform bounds their return to about 2 s.
const entryReturnTime = 2500 * time.Millisecond

// maxReadingInterval is the longest time between the requests of two readings in normal operation.
// A reading without news takes 1 s. Entries may lapse in an outage that is shorter than
// maxReportAge, so that the age of a reading does not show it.
const maxReadingInterval = 1500 * time.Millisecond

// readings are those of the minions' reports in the store.
type readings struct {
	// asOf is a time up to which all reports were read.
	asOf time.Time
	// resumedAt is when the newest reading arrived that followed a gap, or that was requested late.
	resumedAt time.Time
}

// note notes a reading that was requested at a time, and reports whether it ends a gap.
func (readings *readings) note(now, sentAt time.Time) bool {
	if !sentAt.After(readings.asOf) {
		return false
	}
	endsGap := !readings.areCurrent(now)
	if endsGap || sentAt.Sub(readings.asOf) > maxReadingInterval {
		readings.resumedAt = now
	}
	readings.asOf = sentAt
	return endsGap
}

// areCurrent reports whether the newest reading is recent.
func (readings *readings) areCurrent(now time.Time) bool {
	return now.Sub(readings.asOf) <= maxReportAge
}

// areSettled reports whether an entry that is missing was removed by the store in normal operation.
// Entries of live minions are missing during an outage and shortly after it.
func (readings *readings) areSettled(now time.Time) bool {
	return readings.areCurrent(now) && now.Sub(readings.resumedAt) >= entryReturnTime
}
