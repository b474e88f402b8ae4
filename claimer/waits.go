package claimer

import (
	"time"

	"corianderroad/messenger"
)

// maxWaitsAge is the age from which on the holder does not publish its waits any more. Its
// planner computes them more often.
const maxWaitsAge = time.Second

// publishedWaits are the waits in the renewals of the claim.
type publishedWaits struct {
	// own are those that this node publishes as the holder, nil for none.
	own *messenger.QueueWaits
	// reported means that the registrar has been told of waits that no later renewal has replaced.
	reported bool
}

// toPublish returns the waits for a renewal, nil for none.
func (waits *publishedWaits) toPublish(now time.Time) *messenger.QueueWaits {
	if waits.own == nil || now.Sub(waits.own.ComputedAt) > maxWaitsAge {
		return nil
	}
	return waits.own
}

// report passes on the waits of a claim that is new to this node. The age of the newest claim is
// not known if none was read for some time, so that its waits do not count.
func (waits *publishedWaits) report(claim *messenger.Claim, readAt time.Time, isFirstRead bool) []messenger.Action {
	read := messenger.WaitsRead{ReadAt: readAt}
	if !isFirstRead {
		read.Waits = claim.Waits
	}
	if read.Waits == nil && !waits.reported {
		return nil
	}
	waits.reported = read.Waits != nil
	return []messenger.Action{read}
}
