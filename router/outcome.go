package router

import (
	"container/list"
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
)

// Bounds of the outcome store.
const (
	maxOutcomes     = 16_384
	maxOutcomeBytes = 8 << 20
	maxWaiters      = 16
	// outcomeRetention is how long a completed outcome is stored. It equals the time
	// for which a key is valid.
	outcomeRetention = 10 * time.Minute
)

// outcome is the result of the first request with a key at this node.
type outcome struct {
	key         identifier.Key
	workspace   identifier.Workspace
	fingerprint uint64
	done        bool
	at          time.Time
	err         *classifier.Error
	body        []byte
	waiters     []waiter
	position    *list.Element
}

// waiter is a repetition of a request that awaits the outcome.
type waiter struct {
	node    identifier.Node
	request identifier.Request
}

// outcomes is the bounded store of outcomes. A request for an outcome that was
// removed is answered with "outcome unknown", which is correct for any outcome.
type outcomes struct {
	byKey map[identifier.Key]*outcome
	// finished holds the completed outcomes, oldest first.
	finished *list.List
	bytes    int
}

func newOutcomes() outcomes {
	return outcomes{byKey: map[identifier.Key]*outcome{}, finished: list.New()}
}

// open adds an outcome for a request that has just started.
func (outcomes *outcomes) open(key identifier.Key, workspace identifier.Workspace, fingerprint uint64) {
	outcomes.byKey[key] = &outcome{key: key, workspace: workspace, fingerprint: fingerprint}
}

// complete stores the result of a request and returns its waiters.
func (outcomes *outcomes) complete(now time.Time, key identifier.Key, err *classifier.Error, body []byte) []waiter {
	stored := outcomes.byKey[key]
	if stored == nil || stored.done {
		return nil
	}
	stored.done, stored.at, stored.err, stored.body = true, now, err, body
	stored.position = outcomes.finished.PushBack(stored)
	outcomes.bytes += len(body)
	outcomes.trim(now)
	waiters := stored.waiters
	stored.waiters = nil
	return waiters
}

// remove deletes the outcome of a request whose intent is not the first of its key,
// and returns its waiters.
func (outcomes *outcomes) remove(key identifier.Key) []waiter {
	stored := outcomes.byKey[key]
	if stored == nil || stored.done {
		return nil
	}
	delete(outcomes.byKey, key)
	return stored.waiters
}

// trim removes outcomes that are too old or exceed maxOutcomes. If the bodies
// exceed maxOutcomeBytes, it removes the oldest bodies first and retains the fact
// that the request ran.
func (outcomes *outcomes) trim(now time.Time) {
	for element := outcomes.finished.Front(); element != nil && outcomes.bytes > maxOutcomeBytes; element = element.Next() {
		stored := element.Value.(*outcome)
		if len(stored.body) == 0 {
			continue
		}
		outcomes.bytes -= len(stored.body)
		stored.body = nil
		stored.err = classifier.New(classifier.AlreadyRun, "the request with this key ran; its answer is no longer stored")
	}
	for outcomes.finished.Len() > 0 {
		oldest := outcomes.finished.Front().Value.(*outcome)
		if outcomes.finished.Len() <= maxOutcomes && now.Sub(oldest.at) <= outcomeRetention {
			return
		}
		outcomes.finished.Remove(oldest.position)
		outcomes.bytes -= len(oldest.body)
		delete(outcomes.byKey, oldest.key)
	}
}
