package planner_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"corianderroad/identifier"
	"corianderroad/querier"
	"corianderroad/specifier"
)

// evacuationPeriod is the time from the request for the evacuation of a domain to its
// withdrawal.
type evacuationPeriod struct {
	domain   identifier.FailureDomain
	at, span time.Duration
}

// drawEvacuations returns evacuations of the four domains. They overlap, and have ended after
// outageTime.
func drawEvacuations(t *rapid.T) []evacuationPeriod {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) evacuationPeriod {
		return evacuationPeriod{
			domain: domainOf(rapid.IntRange(0, 3).Draw(t, "domain")),
			at:     drawMilliseconds(t, "evacuated-at", 0, 15000),
			span:   drawSpan(t, "evacuated-for"),
		}
	}), 1, 6).Draw(t, "evacuations")
}

// drawSpan draws a time that is shorter or longer than the bound on starts.
func drawSpan(t *rapid.T, label string) time.Duration {
	return rapid.SampledFrom([]time.Duration{12 * time.Second, 8 * time.Second, 2 * time.Second, 100 * time.Millisecond}).Draw(t, label)
}

// injectEvacuations schedules the evacuations. A request for a domain that is evacuated already
// changes nothing, and the first withdrawal ends both.
func (simulation *simulation) injectEvacuations(periods []evacuationPeriod) {
	for _, period := range periods {
		simulation.schedule(period.at, func() { simulation.evacuate(period.domain, true) })
		simulation.schedule(period.at+period.span, func() { simulation.evacuate(period.domain, false) })
	}
}

// drawOperatorFaults schedules times in which one or all nodes can't read the operator's topic,
// and losses of its history, after which the nodes list the topic again.
func drawOperatorFaults(t *rapid.T, simulation *simulation) {
	for range rapid.IntRange(0, 3).Draw(t, "operator-faults") {
		index := rapid.SampledFrom([]int{3, 0, 1, 2}).Draw(t, "operator-fault-node") // 3 for all nodes
		at := drawMilliseconds(t, "operator-fault-at", 0, 12000)
		span := drawSpan(t, "operator-fault-for")
		trimmed := rapid.Bool().Draw(t, "history-dropped")
		simulation.schedule(at, func() {
			nodes := slices.Clone(simulation.nodes)
			if index < len(nodes) {
				nodes = nodes[index : index+1]
			}
			for _, node := range nodes {
				simulation.operator.unreadableFrom[node] = true
			}
			simulation.schedule(span, func() {
				for _, node := range nodes {
					delete(simulation.operator.unreadableFrom, node)
				}
				if trimmed {
					simulation.dropHistory()
				}
			})
		})
	}
}

// dropHistory leaves only the newest request of each domain in the topic, which all nodes then
// list again.
func (simulation *simulation) dropHistory() {
	operator := &simulation.operator
	newest := make(map[identifier.FailureDomain]bool)
	kept := slices.Clone(operator.records)
	slices.Reverse(kept)
	kept = slices.DeleteFunc(kept, func(record evacuationRecord) bool {
		replaced := newest[record.domain]
		newest[record.domain] = true
		return replaced || !record.requested
	})
	operator.records = kept
	for _, node := range simulation.nodes {
		node.operatorRead = -1
	}
}

// submitLongJobs submits jobs with checkpoints whose runs last long enough to be moved.
func submitLongJobs(t *rapid.T, simulation *simulation) {
	for number := range rapid.IntRange(0, 2).Draw(t, "long-jobs") {
		step := specifier.Step{
			Tasks: rapid.IntRange(1, 4).Draw(t, "long-tasks"), Request: taskOf(20000, 6), Checkpoints: true,
			EstimatedRunTime: drawMilliseconds(t, "long-run-time", 11000, 14000), Gang: rapid.Bool().Draw(t, "long-gang"),
		}
		job := jobOf(fmt.Sprintf("long%d", number), step)
		simulation.schedule(drawMilliseconds(t, "long-at", 0, 8000), func() { simulation.submitUntilAccepted(job) })
	}
}

// evacuatedDomains returns the number of domains that are evacuated for the holder.
func (simulation *simulation) evacuatedDomains() float64 {
	for _, gauge := range simulation.holder().planner.View(simulation.now, querier.Query{Kind: querier.Status}).Gauges {
		if gauge.Name == "evacuated-domains" {
			return gauge.Value
		}
	}
	return -1
}

// TestEvacuationsUnderFaults guards against a start that arrives in an evacuated domain after
// the bound, and against a domain that stays evacuated and jobs that do not end after the
// withdrawals. Meanwhile holders change, are cut off from the store, frozen or killed, answers
// are lost, orders arrive late, nodes can't read the operator's topic, and its history is dropped.
func TestEvacuationsUnderFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		simulation := newEvacuationSimulation(rapid.Uint64().Draw(t, "seed"), 3, livenessMinions)
		simulation.useLivenessPolicy()
		endFaults := drawOutageFaults(t, simulation)
		simulation.makeHolder(simulation.nodes[0])
		submitOutageJobs(t, simulation, 10)
		submitLongJobs(t, simulation)
		simulation.injectEvacuations(drawEvacuations(t))
		drawOperatorFaults(t, simulation)
		simulation.beginTakeovers(drawTakeovers(t))
		simulation.finishOutage(t, endFaults)
		if count := simulation.evacuatedDomains(); count != 0 {
			t.Fatalf("%.0f domains are evacuated for the holder after all withdrawals", count)
		}
	})
}
