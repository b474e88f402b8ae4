// Package identifier declares the types of corianderroad's identifiers. With a
// separate type for each, the compiler rejects a worker where a minion is
// expected. All types are plain values and safe for concurrent use.
package identifier

import "time"

// Organisation names an organisation that is a member of the deployment.
type Organisation string

// Workspace names a tenant. It belongs to one organisation.
type Workspace string

// Service names a service of the configuration.
type Service string

// Method names an operation of a service. Run times are estimated per method.
type Method string

// Region names a group of failure domains that are close to each other.
type Region string

// FailureDomain names a set of VMs that can fail together.
type FailureDomain string

// Rack names a set of workers whose accelerators are adjacent.
type Rack string

// Node names an entry VM of corianderroad.
type Node string

// Worker names a VM that runs tasks of jobs.
type Worker string

// Minion names an endpoint VM that serves requests of one service.
type Minion string

// Job names a job. The caller chooses the name, so that a repeated submission
// does not create a second job.
type Job string

// Request names one request of a caller within the deployment.
type Request string

// Attempt numbers the attempts of one request, from 1.
type Attempt uint32

// Key is the idempotency key of a request, a UUIDv7, which contains its time of
// issue.
type Key string

// Stream names a stream of the platform's log.
type Stream string

// Streams of the platform's log that the system uses.
const (
	Configuration Stream = "configuration"
	Jobs          Stream = "jobs"
	Intents       Stream = "intents"
)

// Offset is the position of an append within its stream. The first append has
// offset 1, so that the zero Offset means "nothing applied yet".
type Offset uint64

// Term is the fencing term of a region's placement: the offset of its claim.
type Term uint64

// Incarnation distinguishes the processes that run under one node's name. It is
// the time at which the process started.
type Incarnation uint64

// NewIncarnation returns the incarnation of a node that started at start.
func NewIncarnation(start time.Time) Incarnation {
	return Incarnation(start.UnixNano())
}

// Queue names a queue of jobs in the operator's configuration.
type Queue string

// Topic names a topic of the platform's store.
type Topic string

// Topics of the platform's store that the system uses. The store retains the
// newest record of each key without a time limit.
const (
	// Journal holds what every node reads: jobs, their cancellations and states.
	Journal Topic = "keyed.journal"
	// Progress holds the progress of the tasks of each job. Only a new holder reads it.
	Progress Topic = "keyed.progress"
	Claims   Topic = "keyed.claim"
	Reports  Topic = "keyed.status"
)

// VM names a VM that runs at most one minion at a time.
type VM string

// Wave numbers a maintenance wave.
type Wave int64
