package admitter

import (
	"maps"
	"slices"
	"time"

	"corianderroad/identifier"
	"corianderroad/specifier"
)

// quietTime is how long a queue must have had no refusal, nor a reason for one, until its refusals
// count as ended. It bounds the number of log lines while the waits vary about the limit, and on a
// node that gets few submissions.
const quietTime = time.Minute

// Change is that the refusals of a queue have begun or ended.
type Change struct {
	Queue identifier.Queue
	Began bool
	// Wait is the expected wait at the first refusal.
	Wait time.Duration
	// Refused is the number of refusals, and Lasted their time, once they have ended.
	Refused int
	Lasted  time.Duration
}

// refusals are those of one queue since they began.
type refusals struct {
	queue   specifier.Queue
	began   time.Time
	refused int
	// lastAt is when there was last a refusal or a reason for one.
	lastAt time.Time
}

func (admitter *Admitter) noteRefusal(now time.Time, queue *specifier.Queue, wait time.Duration) {
	current := admitter.refusals[queue.Name]
	if current == nil {
		current = &refusals{queue: *queue, began: now}
		admitter.refusals[queue.Name] = current
		admitter.changes = append(admitter.changes, Change{Queue: queue.Name, Began: true, Wait: wait})
	}
	current.refused++
	current.lastAt = now
}

// endRefusals ends the refusals of the queues whose usual job has not been refused for some time.
func (admitter *Admitter) endRefusals(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(admitter.refusals)) {
		current := admitter.refusals[name]
		if wait := admitter.waits[name]; wait != nil && admitter.figures.isFresh(now) && newObjective(&current.queue, wait.RunTime).isWorthless(wait) {
			current.lastAt = now
		}
		if now.Sub(current.lastAt) >= quietTime {
			delete(admitter.refusals, name)
			maps.DeleteFunc(admitter.trials, func(key trialKey, _ int) bool { return key.queue == name })
			admitter.changes = append(admitter.changes, Change{Queue: name, Refused: current.refused, Lasted: current.lastAt.Sub(current.began)})
		}
	}
}

// Changes returns the changes since the last call.
func (admitter *Admitter) Changes(now time.Time) []Change {
	admitter.endRefusals(now)
	changes := admitter.changes
	admitter.changes = nil
	return changes
}
