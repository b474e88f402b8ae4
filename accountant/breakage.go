package accountant

import "fmt"

// Breakage is why one run of a gang ended as a whole before its tasks were done. The zero value
// is that of a gang that has not broken.
type Breakage struct {
	// number is that of the gang's run.
	number uint64
	// member is the index of the task whose run ended first, and cause why, if it is known.
	member  int
	cause   Cause
	isKnown bool
}

// Note notes the end of a member in the gang's run with a number, or the order to stop it, and
// reports whether it is the cause: the first one that does not follow from another one. A run with
// another number replaces what is known of the one before.
func (breakage *Breakage) Note(number uint64, member int, cause Cause) bool {
	if breakage.number != number {
		*breakage = Breakage{number: number}
	}
	if breakage.isKnown || cause.follows() {
		return false
	}
	*breakage = Breakage{number: number, member: member, cause: cause, isKnown: true}
	return true
}

// NoteEnd notes that the last member of the gang's run with a number has ended, and reports
// whether it did so without a known cause. It is then unknown for good.
func (breakage *Breakage) NoteEnd(number uint64) bool {
	if breakage.number != number || breakage.isKnown {
		return false
	}
	breakage.cause, breakage.isKnown = EndUnknown, true
	return true
}

// Describe returns the cause of the breakage of the gang's run with a number as an input of a log
// line, empty if that run has not broken.
func (breakage Breakage) Describe(number uint64) string {
	switch {
	case breakage.number != number:
		return ""
	case !breakage.isKnown:
		return "broken-by=unknown"
	}
	return fmt.Sprintf("broken-by=%d:%s", breakage.member, breakage.cause)
}
