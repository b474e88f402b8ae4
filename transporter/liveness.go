package transporter

import "time"

// livenessAction is what a connection must do when its timer expires.
type livenessAction uint8

const (
	keepOpen          livenessAction = iota
	sendKeepAlive                    // send a keep-alive
	closeUnresponsive                // close: a keep-alive was not answered in time
	closeIdle                        // close: neither side has sent anything for idleTimeout
)

// liveness decides when a connection is checked and when it is closed. Received
// data does not show that written data arrives, so only the answer to a
// keep-alive counts.
type liveness struct {
	keepAliveDelay, keepAliveTimeout, idleTimeout time.Duration
	// firstUncheckedWrite is when the first message after the newest keep-alive was
	// written.
	firstUncheckedWrite time.Time
	// keepAliveSentAt is when the unanswered keep-alive was written.
	keepAliveSentAt time.Time
	// lastUsed is when the connection last sent or received a message.
	lastUsed time.Time
}

// recordWrite records that a message was written.
func (liveness *liveness) recordWrite(now time.Time) {
	if liveness.firstUncheckedWrite.IsZero() {
		liveness.firstUncheckedWrite = now
	}
	liveness.lastUsed = now
}

// recordKeepAlive records that a keep-alive was written.
func (liveness *liveness) recordKeepAlive(now time.Time) {
	liveness.keepAliveSentAt, liveness.firstUncheckedWrite = now, time.Time{}
}

// recordAnswer records that the keep-alive was answered.
func (liveness *liveness) recordAnswer() { liveness.keepAliveSentAt = time.Time{} }

// nextCheck returns when check must be called next.
func (liveness *liveness) nextCheck() time.Time {
	switch {
	case !liveness.keepAliveSentAt.IsZero():
		return liveness.keepAliveSentAt.Add(liveness.keepAliveTimeout)
	case !liveness.firstUncheckedWrite.IsZero():
		return liveness.firstUncheckedWrite.Add(liveness.keepAliveDelay)
	default:
		return liveness.lastUsed.Add(liveness.idleTimeout)
	}
}

// check returns the action that is due now.
func (liveness *liveness) check(now time.Time) livenessAction {
	switch {
	case now.Before(liveness.nextCheck()):
		return keepOpen
	case !liveness.keepAliveSentAt.IsZero():
		return closeUnresponsive
	case !liveness.firstUncheckedWrite.IsZero():
		return sendKeepAlive
	default:
		return closeIdle
	}
}
