package messenger

import (
	"time"

	"corianderroad/identifier"
	"corianderroad/specifier"
)

// Limits of published waits. They bound the size of a renewal, which all nodes read.
const (
	// MaxQueueWaits is the largest number of queues with a published wait.
	MaxQueueWaits = 16
	// MaxQueueNameBytes is the length of the longest name of such a queue.
	MaxQueueNameBytes = 64
)

// QueueWaits are the expected waits of the queues that the holder has computed at one time.
// They are immutable.
type QueueWaits struct {
	ComputedAt time.Time
	Queues     []QueueWait
}

// QueueWait is the expected wait of a job that is submitted to a queue now, until all tasks of its
// first step have started. It counts only the wait for capacity behind other work.
type QueueWait struct {
	Queue identifier.Queue
	// TimelyWait is the wait behind the steps that come before a job that can still be on
	// time, and Wait that behind all steps of the queue's priority or a higher one. A job
	// that can't be on time waits so long.
	TimelyWait, Wait time.Duration
	// RunTime and Tasks are the medians of the critical paths and of the tasks of first steps.
	// A job of this width is the usual one, for which the waits hold.
	RunTime time.Duration
	Tasks   int
	// LargestMinion is the capacity of the largest minion of the queue's service.
	LargestMinion specifier.Resources
}

// WaitsComputed passes new waits from the planner of the holder to the claimer, which publishes
// them with the renewals of its claim. Waits are nil if the holder has none any more.
type WaitsComputed struct {
	Waits *QueueWaits
}

// WaitsRead passes the waits of the newest renewal to the registrar. Waits are nil if it has none.
type WaitsRead struct {
	Waits *QueueWaits
	// ReadAt is when the read that showed the renewal was sent, or for the holder the renewal.
	ReadAt time.Time
}

func (WaitsComputed) event() {}
func (WaitsRead) event()     {}

func (WaitsComputed) action() {}
func (WaitsRead) action()     {}
