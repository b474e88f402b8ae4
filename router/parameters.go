package router

import "time"

// Bounds of a router's state.
const (
	maxOpenCalls = 4096
	maxQueued    = 512
	// maxBytes bounds the bodies of open calls and those of attempts. The bounds on
	// their numbers alone would allow gigabytes.
	maxBytes = 64 << 20
	// maxQueuedLong reserves a quarter of the queue for short requests.
	maxQueuedLong  = maxQueued * 3 / 4
	maxAttempts    = 4
	defaultTimeout = 30 * time.Second
	defaultSlots   = 8
	// defaultLongSlots reserves 3 of 8 slots for short requests.
	defaultLongSlots  = 5
	defaultShortBelow = 2 * time.Second
	maxDecisions      = 4096
)

// Parameters are the parameters of a Router. The zero value is useful.
type Parameters struct {
	// IntentWait bounds how long a keyed request waits for its intent, 3 s if zero.
	IntentWait time.Duration
	// LinkBytes is this node's share of the region link in bytes per second,
	// 400 kB/s if zero: 30 Mbit/s shared by 9 nodes.
	LinkBytes int
}

func (parameters Parameters) withDefaults() Parameters {
	if parameters.IntentWait <= 0 {
		parameters.IntentWait = 3 * time.Second
	}
	if parameters.LinkBytes <= 0 {
		parameters.LinkBytes = 400_000
	}
	return parameters
}
