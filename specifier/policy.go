package specifier

import (
	"time"

	"corianderroad/identifier"
)

// Policy is one version of the operator's configuration. It is never changed
// after it was published.
type Policy struct {
	Version    int64
	Queues     []Queue
	Workspaces []Workspace
	// MaxBodyBytes bounds the body of a request, 0 for the default.
	MaxBodyBytes int64
}

// Queue is a queue of jobs that a host and a path prefix select.
type Queue struct {
	Name       identifier.Queue
	Host       string
	PathPrefix string
	// Service names the pool of minions that run the queue's tasks.
	Service identifier.Service
	// Timeout bounds one request of a caller, 0 for none.
	Timeout time.Duration
	// Priority orders queues: 0 comes first and may preempt others.
	Priority int
	// Attempts is how often a task may fail before its job has failed.
	Attempts int
	// Stretch times the longest chain of work plus Slack is the time within which
	// a job should complete.
	Stretch float64
	Slack   time.Duration
	// Public queues need no key.
	Public bool
	// Advice is nil if every minion may run the queue's tasks.
	Advice *Advice
}

// Advice says what one call of the advice service takes and how long its
// tickets are valid.
type Advice struct {
	DecisionTime   time.Duration
	TimePerMinion  time.Duration
	TicketValidity time.Duration
}

// Workspace is a tenant with its keys and its guarantee.
type Workspace struct {
	Name identifier.Workspace
	Keys []string
	// Guaranteed accelerators belong to the workspace's jobs of priority 0.
	Guaranteed int
}

// Queue returns the queue of the given name.
func (policy *Policy) Queue(name identifier.Queue) (Queue, bool) {
	for _, queue := range policy.Queues {
		if queue.Name == name {
			return queue, true
		}
	}
	return Queue{}, false
}
