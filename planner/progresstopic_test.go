package planner_test

import (
	"slices"

	"corianderroad/identifier"
	"corianderroad/messenger"
)

// appendProgressRecords appends the part of a record that only holders read.
func (simulation *simulation) appendProgressRecords(action messenger.RecordProgress) {
	simulation.progress = append(simulation.progress, action.Updates...)
	for _, part := range action.Expired {
		simulation.progress = append(simulation.progress, messenger.Progressed{Job: part.Job, Part: part.Part})
	}
	for _, node := range simulation.nodes {
		if node.progressRead >= 0 {
			simulation.schedule(latency, func() { simulation.deliverProgress(node) })
		}
	}
}

// listProgress delivers the newest part of the progress of every job to a node that has
// claimed.
func (simulation *simulation) listProgress(node *node) {
	if !simulation.store.isReachableFrom(node) {
		simulation.schedule(readRetryDelay, func() { simulation.listProgress(node) })
		return
	}
	node.progressRead = len(simulation.progress)
	read := messenger.ProgressRead{End: identifier.Offset(len(simulation.progress)), Complete: true}
	listed := make(map[messenger.ProgressPart]bool)
	for _, record := range slices.Backward(simulation.progress) {
		part := messenger.ProgressPart{Job: record.Job, Part: record.Part}
		if !listed[part] && !isDeletion(record) {
			read.Entries = append(read.Entries, record)
		}
		listed[part] = true
	}
	simulation.step(node, read)
}

func isDeletion(record messenger.Progressed) bool {
	return record.Progress.State == 0 && !record.Progress.HasTasks()
}

// deliverProgress delivers the records of the progress that a node has not read.
func (simulation *simulation) deliverProgress(node *node) {
	if !node.alive || node.progressRead < 0 {
		return
	}
	if !simulation.store.isReachableFrom(node) {
		simulation.schedule(readRetryDelay, func() { simulation.deliverProgress(node) })
		return
	}
	read := messenger.ProgressRead{End: identifier.Offset(len(simulation.progress))}
	for _, record := range simulation.progress[node.progressRead:] {
		if !isDeletion(record) {
			read.Entries = append(read.Entries, record)
		}
	}
	node.progressRead = len(simulation.progress)
	simulation.step(node, read)
}
