package budgeter

import "corianderroad/specifier"

// Bytes that parts of a job need, from measurements of the heap (docs/MEASUREMENTS.md), with
// the rounding of the allocator. planner.TestCostCoversTheJobs compares them with the code.
const (
	// jobBytes is for the entries of a job in the tables of a node.
	jobBytes = 1024
	// specBytes is for the specification of a step.
	specBytes = 160
	// indexBytes is for a dependency.
	indexBytes = 8
	// recordCopies counts the specification as decoded and as a record: a node that starts lists
	// the records of all jobs before it decodes them. The pages of the store are encoded one at a
	// time.
	recordCopies = 2
	// occurrenceBytes, stepBytes and taskBytes are for the state of execution, which the holder
	// has. Any node may become the holder.
	occurrenceBytes = 128
	stepBytes       = 400
	taskBytes       = 72
)

// Cost returns the bytes that a node may need for a job until its state need not be readable any
// more.
func Cost(job *specifier.Job) int64 {
	spec, execution := int64(len(job.Payload)), int64(occurrenceBytes)
	for index := range job.Steps {
		step := &job.Steps[index]
		spec += specBytes + int64(len(step.DependsOn))*indexBytes + int64(len(step.Label)+len(step.DataRack)+len(step.Image))
		execution += stepBytes + int64(step.Tasks)*taskBytes
	}
	return jobBytes + spec*recordCopies + int64(job.Occurrences())*execution
}
