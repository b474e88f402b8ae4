package specifier

import (
	"time"

	"corianderroad/identifier"
)

// Policy is one version of the operator's configuration. It is immutable once
// published.
type Policy struct {
	Version    int64
	Queues     []Queue
	Workspaces []Workspace
	// GuardedServices are the services whose minions refuse runs beyond their capacity. The
	// others start whatever they are told to.
	GuardedServices []identifier.Service
	// MaxBodyBytes limits the body of a request, 0 for the default.
	MaxBodyBytes int64
}

// Queue is a queue of jobs that a host and a path prefix select.
type Queue struct {
	Name       identifier.Queue
	Host       string
	PathPrefix string
	// Service names the pool of minions that run the queue's tasks.
	Service identifier.Service
	// Timeout limits one request of a caller, 0 for none.
	Timeout time.Duration
	// Priority orders the queues. 0 is the highest and may preempt others.
	Priority int
	// Attempts is the number of failures of a task after which its job fails.
	Attempts int
	// Stretch and Slack give the time within which a job should complete: Stretch
	// times the length of its critical path, plus Slack.
	Stretch float64
	Slack   time.Duration
	// Public means that requests to the queue need no key.
	Public bool
	// Advice is nil if every minion may run the queue's tasks.
	Advice *Advice
}

// Objective returns the time from its submission within which a job of the queue should be
// done, by the length of its critical path.
func (queue *Queue) Objective(criticalPath time.Duration) time.Duration {
	return time.Duration(queue.Stretch*float64(criticalPath)) + queue.Slack
}

// Advice gives the duration of one call to the advice service, a fixed time and a
// time for each minion, and how long its tickets are valid.
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
