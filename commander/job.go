package commander

import (
	"time"

	"corianderroad/identifier"
)

// MaxGangMembers is the largest number of members of a gang.
const MaxGangMembers = 128

// Adjacency is a constraint on the racks of a gang's members.
type Adjacency uint8

// Adjacencies.
const (
	AnyRack  Adjacency = iota // members may be in any rack of the region
	SameRack                  // all members must be in one rack
)

// Shape is the resources of a gang or of a guarantee.
type Shape struct {
	// Members is the number of workers, 1 to MaxGangMembers.
	Members int
	// Accelerators is the number of accelerators on each member.
	Accelerators int
	Adjacency    Adjacency
}

// TotalAccelerators returns the number of accelerators of all members.
func (shape Shape) TotalAccelerators() int { return shape.Members * shape.Accelerators }

// JobSpec describes a job. It is immutable once accepted.
type JobSpec struct {
	Job       identifier.Job
	Workspace identifier.Workspace
	// Region is where the job must run, empty for the region of the entry node.
	Region identifier.Region
	Shape  Shape
	// RunTime is the declared run time, zero if not declared.
	RunTime time.Duration
	// Urgent jobs are placed first and may preempt work above its guarantee.
	Urgent bool
}
