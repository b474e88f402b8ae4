// Package recorder keeps a bounded record of decisions with their reasons. The
// query explain is answered from it.
package recorder

import (
	"time"

	"corianderroad/identifier"
	"corianderroad/querier"
)

// Recorder holds the newest decisions of one state machine. It is not safe for
// concurrent use.
type Recorder struct {
	node    identifier.Node
	entries []entry
	// next is where the next decision goes once the record is full.
	next     int
	capacity int
}

type entry struct {
	at              time.Time
	subject, also   string
	reason, details string
}

// New returns a Recorder that keeps at most capacity decisions.
func New(node identifier.Node, capacity int) *Recorder {
	return &Recorder{node: node, capacity: max(1, capacity)}
}

// Record adds a decision about a subject. Also names a second subject under
// which it can be found, such as the workspace or the worker, and may be empty.
func (recorder *Recorder) Record(now time.Time, subject, also, reason, details string) {
	added := entry{now, subject, also, reason, details}
	if len(recorder.entries) < recorder.capacity {
		recorder.entries = append(recorder.entries, added)
		return
	}
	recorder.entries[recorder.next] = added
	recorder.next = (recorder.next + 1) % recorder.capacity
}

// Find returns the decisions about a subject, the oldest first.
func (recorder *Recorder) Find(subject string) []querier.Decision {
	var found []querier.Decision
	for index := range recorder.entries {
		kept := recorder.entries[(recorder.next+index)%len(recorder.entries)]
		if kept.subject == subject || (kept.also != "" && kept.also == subject) {
			found = append(found, querier.Decision{
				At: kept.at, Node: recorder.node, Subject: kept.subject, Reason: kept.reason, Detail: kept.details,
			})
		}
	}
	return found
}

// Len returns the number of decisions kept.
func (recorder *Recorder) Len() int { return len(recorder.entries) }
