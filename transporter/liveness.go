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
	// keepAliveSentAt is when the unanswered keep-alive was written, or when a large
	// frame last advanced after that.
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

// recordLargeFrame records when a part of a large frame was received. The answer to a
// keep-alive waits behind the frame, so that its timeout counts from the newest part.
// Small frames do not postpone it: they may still arrive for a while although nothing
// arrives at the other side.
func (liveness *liveness) recordLargeFrame(at time.Time) {
	if !liveness.keepAliveSentAt.IsZero() && at.After(liveness.keepAliveSentAt) {
		liveness.keepAliveSentAt = at
	}
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
