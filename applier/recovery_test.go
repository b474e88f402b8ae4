package applier

import (
	"time"
)

// recoverAndCheck ends all faults, lets all nodes catch up and checks the final
// state.
func (simulation *simulation) recoverAndCheck() {
	simulation.logUnavailable = false
	for _, record := range simulation.delayed {
		simulation.appendToLog(record.Stream, record.Entry)
	}
	simulation.delayed = nil
	for range 3 {
		simulation.advanceTime(20 * time.Second)
		for len(simulation.network) > 0 {
			simulation.deliverPeerMessage()
		}
	}
	for _, node := range simulation.nodes {
		if !node.applier.isReady(simulation.now) {
			simulation.t.Fatalf("%s is not ready", node.name)
		}
		if len(node.open) > 0 {
			simulation.t.Fatalf("%s did not answer the commands %v", node.name, node.open)
		}
		for _, stream := range node.applier.streams {
			if stream.applied != simulation.logs[stream.name].nextOffset()-1 {
				simulation.t.Fatalf("%s stopped at offset %d of stream %s", node.name, stream.applied, stream.name)
			}
		}
		open := 0
		for _, job := range node.applier.jobs.jobs {
			if job.EndedAt.IsZero() {
				open++
			}
		}
		if open != len(node.jobs) {
			simulation.t.Fatalf("%s announced %d of %d open jobs", node.name, len(node.jobs), open)
		}
	}
}
