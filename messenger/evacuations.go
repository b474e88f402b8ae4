package messenger

import (
	"time"

	"corianderroad/identifier"
)

// EvacuationsRead delivers the operator's requests for the evacuation of failure domains. It
// is sent for each reading of the operator's topic, also for one without such requests.
type EvacuationsRead struct {
	// Complete means that Requested certainly holds all requests of the topic.
	Complete bool
	// Requested are the domains whose evacuation is requested, Removed those whose request was
	// withdrawn.
	Requested, Removed []identifier.FailureDomain
	// SentAt is a time up to which all acknowledged requests and withdrawals have been read.
	SentAt time.Time
}

func (EvacuationsRead) event() {}
