// Package identifier declares the named types by which corianderroad refers to
// its parts. A named type keeps a worker from being passed where a minion is
// meant. All types are plain values and safe for concurrent use.
package identifier

import "time"

// Organisation names a member of the deployment.
type Organisation string

// Workspace names a tenant. It belongs to one organisation.
type Workspace string

// Service names a service of the configuration.
type Service string

// Method names an operation of a service. Run times are learned per method.
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

// Job names a job. The caller chooses it, so that a repeated submission is one job.
type Job string

// Request names one request of a caller within the deployment.
type Request string

// Attempt numbers the attempts of one request, from 1.
type Attempt uint32

// Key is the idempotency key of a request, a UUIDv7 that carries its time of issue.
type Key string

// Stream names a stream of the platform's log.
type Stream string

// Streams of the platform's log that the system keeps.
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

// Incarnation tells the lives of one node apart: the time of its start.
type Incarnation uint64

// NewIncarnation returns the incarnation of a node that started at start.
func NewIncarnation(start time.Time) Incarnation {
	return Incarnation(start.UnixNano())
}

// Queue names a queue of jobs in the operator's configuration.
type Queue string

// Topic names a topic of the platform's store.
type Topic string

// Topics of the platform's store that the system keeps. Their records are kept
// for good, the newest of each key.
const (
	Journal Topic = "keyed.journal"
	Claims  Topic = "keyed.claim"
	Reports Topic = "keyed.status"
)

// VM names a VM that carries one minion at a time.
type VM string

// Wave numbers a wave of upkeep.
type Wave int64
