package planner_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"corianderroad/identifier"
	"corianderroad/planner"
	"corianderroad/specifier"
)

// TestLossAwareStopsUnderFaults guards against tasks that run twice, gangs whose members
// resume from different checkpoints, and jobs that never end, while runs are stopped for
// urgent jobs and for minions that leave. Meanwhile holders change, minions crash, and answers
// are lost or late.
func TestLossAwareStopsUnderFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		simulation := newSimulation(rapid.Uint64().Draw(t, "seed"), 0, 16)
		simulation.features = planner.Features{LossAwareStops: true, EarlyRefusals: true}
		simulation.checkpoints = &fakeCheckpoints{
			interval:    time.Duration(rapid.IntRange(500, 2000).Draw(t, "checkpoint-interval")) * time.Millisecond,
			restartTime: time.Duration(rapid.IntRange(100, 600).Draw(t, "restart-time")) * time.Millisecond,
		}
		for index := range 3 {
			simulation.nodes = append(simulation.nodes, simulation.newNode(fmt.Sprintf("n%d", index)))
		}
		simulation.lostAnswerShare = rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "lose-answers")
		simulation.lostRecordAnswerShare = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "lose-records")
		simulation.delayVariation = rapid.SampledFrom([]time.Duration{0, 60 * time.Millisecond, 400 * time.Millisecond}).Draw(t, "spread")
		simulation.makeHolder(simulation.nodes[0])
		for number := range rapid.IntRange(2, 8).Draw(t, "fillers") {
			simulation.submit(drawFiller(t, number))
		}
		count := drawJobs(t, simulation)
		injectFaults(t, simulation)
		injectNotices(t, simulation)
		simulation.advance(14 * time.Second)
		simulation.lostAnswerShare, simulation.lostRecordAnswerShare, simulation.delayVariation = 0, 0, 0
		simulation.advance(90 * time.Second)
		if len(simulation.violations) > 0 {
			_, subject, _ := strings.Cut(simulation.violations[0], " ")
			job, _, _ := strings.Cut(subject, ".")
			t.Fatalf("%s\n%s", strings.Join(simulation.violations, "\n"), simulation.decisionsAbout(job))
		}
		for number := range count {
			id := identifier.Job(fmt.Sprintf("j%02d", number))
			if state := simulation.recordedState(id); !state.IsFinal() {
				t.Fatalf("job %s is %s after the faults have ended\n%s", id, state, simulation.decisionsAbout(string(id)))
			}
		}
	})
}

// drawFiller returns a job that fills a part of the pool.
func drawFiller(t *rapid.T, number int) specifier.Job {
	step := specifier.Step{
		Tasks: rapid.IntRange(4, 16).Draw(t, "filler-tasks"), Request: taskOf(1000, rapid.IntRange(1, 4).Draw(t, "filler-accelerators")),
		EstimatedRunTime: time.Duration(rapid.IntRange(2000, 12000).Draw(t, "filler-time")) * time.Millisecond,
		Gang:             rapid.Bool().Draw(t, "filler-gang"), Checkpoints: rapid.Bool().Draw(t, "filler-checkpoints"),
	}
	return jobOf(fmt.Sprintf("f%02d", number), step)
}

// injectNotices lets minions leave at notice and come back empty.
func injectNotices(t *rapid.T, simulation *simulation) {
	for range rapid.IntRange(0, 4).Draw(t, "notices") {
		minion := simulation.sortedMinions()[rapid.IntRange(0, 15).Draw(t, "leaving-minion")]
		notice := time.Duration(rapid.IntRange(2000, 6500).Draw(t, "notice")) * time.Millisecond
		simulation.schedule(time.Duration(rapid.IntRange(500, 8000).Draw(t, "notice-at"))*time.Millisecond, func() {
			minion.faults.draining, minion.faults.remaining = true, notice
			for _, node := range simulation.nodes {
				simulation.deliverReport(node, minion)
			}
			simulation.schedule(notice, func() {
				minion.faults.draining, minion.faults.remaining = false, 0
				minion.start()
				for _, node := range simulation.nodes {
					simulation.deliverReport(node, minion)
				}
			})
		})
	}
}
