package transporter

import "time"

// verdict is what a connection does when its timer ends.
type verdict uint8

const (
	wait   verdict = iota
	check          // send a keep-alive
	silent         // close: a keep-alive was not answered in time
	unused         // close: neither side has sent anything for long
)

// liveness decides when a connection is checked and when it is closed. Received
// data does not show that written data arrives, so only the answer to a
// keep-alive counts.
type liveness struct {
	after, timeout, idle time.Duration
	// written is when the first message after the newest keep-alive was written.
	written time.Time
	// asked is when the unanswered keep-alive was written.
	asked time.Time
	// used is when the connection last carried a message.
	used time.Time
}

// wrote notes that a message was written.
func (liveness *liveness) wrote(now time.Time) {
	if liveness.written.IsZero() {
		liveness.written = now
	}
	liveness.used = now
}

// ask notes that a keep-alive was written.
func (liveness *liveness) ask(now time.Time) {
	liveness.asked, liveness.written = now, time.Time{}
}

// answered notes that the keep-alive was answered.
func (liveness *liveness) answered() { liveness.asked = time.Time{} }

// due returns when judge is to be called next.
func (liveness *liveness) due() time.Time {
	switch {
	case !liveness.asked.IsZero():
		return liveness.asked.Add(liveness.timeout)
	case !liveness.written.IsZero():
		return liveness.written.Add(liveness.after)
	default:
		return liveness.used.Add(liveness.idle)
	}
}

// judge returns what to do now.
func (liveness *liveness) judge(now time.Time) verdict {
	switch {
	case now.Before(liveness.due()):
		return wait
	case !liveness.asked.IsZero():
		return silent
	case !liveness.written.IsZero():
		return check
	default:
		return unused
	}
}
