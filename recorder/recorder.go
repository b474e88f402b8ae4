// Package recorder stores a bounded number of decisions with their reasons, from
// which explain queries are answered.
package recorder

import (
	"time"

	"corianderroad/identifier"
	"corianderroad/querier"
)

// Recorder stores the newest decisions of one state machine. It is not safe for
// concurrent use.
type Recorder struct {
	node    identifier.Node
	entries []entry
	// oldest is the index of the oldest entry, which the next decision replaces once
	// the recorder is full.
	oldest   int
	capacity int
}

type entry struct {
	at               time.Time
	subject, related string
	reason, details  string
}

// New returns a Recorder that stores at most capacity decisions.
func New(node identifier.Node, capacity int) *Recorder {
	return &Recorder{node: node, capacity: max(1, capacity)}
}

// Record adds a decision about a subject. Related is a second subject under which
// the decision can be found, such as the workspace or the worker. It may be empty.
func (recorder *Recorder) Record(now time.Time, subject, related, reason, details string) {
	entry := entry{now, subject, related, reason, details}
	if len(recorder.entries) < recorder.capacity {
		recorder.entries = append(recorder.entries, entry)
		return
	}
	recorder.entries[recorder.oldest] = entry
	recorder.oldest = (recorder.oldest + 1) % recorder.capacity
}

// Find returns the decisions about a subject, oldest first.
func (recorder *Recorder) Find(subject string) []querier.Decision {
	var found []querier.Decision
	for index := range recorder.entries {
		entry := recorder.entries[(recorder.oldest+index)%len(recorder.entries)]
		if entry.subject == subject || (entry.related != "" && entry.related == subject) {
			found = append(found, querier.Decision{
				At: entry.at, Node: recorder.node, Subject: entry.subject, Reason: entry.reason, Detail: entry.details,
			})
		}
	}
	return found
}

// Len returns the number of stored decisions.
func (recorder *Recorder) Len() int { return len(recorder.entries) }
