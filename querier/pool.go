package querier

import (
	"time"

	"corianderroad/identifier"
)

// Pool is what a node knows of the pool as a whole. Nodes other than the holder know only the
// evacuations.
type Pool struct {
	// Token is the token of the holder, zero at other nodes, and AsOf the time of the answer.
	Token identifier.Term
	AsOf  time.Time
	// EvacuationsReadAt is a time up to which this node has read all requests for evacuations, zero
	// if it has read none.
	EvacuationsReadAt time.Time
	// Evacuations are the evacuated failure domains in the order of their names.
	Evacuations []Evacuation
	// Minions counts them by their availability, WaitingSteps the steps of the newest report by
	// the reason for which they wait. Both have the values that occur, in a fixed order.
	Minions, WaitingSteps []Tally
	// GangReservations are those for gangs that wait for capacity, ReclaimedReservations those of
	// capacity that was reclaimed.
	GangReservations, ReclaimedReservations int
	// AcceptedJobs counts the jobs that have not ended.
	AcceptedJobs int
}

// Evacuation is a failure domain in which no task may be started.
type Evacuation struct {
	Domain identifier.FailureDomain
	// ReadAt is when this node first read the request.
	ReadAt time.Time
	// Minions and Runs are those in the domain. Only the holder knows them.
	Minions, Runs int
	// IsEmpty means that the holder is certain that no run is left there. After a takeover it is
	// not before it has heard of the runs of the former holder.
	IsEmpty bool
}

// Tally is a number of things that have a value in common.
type Tally struct {
	// Name is the value in kebab case.
	Name  string
	Count int
}
