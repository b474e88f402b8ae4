package planner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/identifier"
	"corianderroad/specifier"
)

// shifted returns outages that begin later.
func shifted(outages []outage, by time.Duration) []outage {
	later := make([]outage, 0, len(outages))
	for _, outage := range outages {
		outage.at += by
		later = append(later, outage)
	}
	return later
}

// TestNarrowJobsCompleteAfterOutages guards against many jobs that wait for each other's
// trials, of which each takes as long as earlier runs of its task, after crashes of minions
// for which none is the reason.
func TestNarrowJobsCompleteAfterOutages(t *testing.T) {
	t.Parallel()
	const jobs = 90
	all := wideStep{tasks: jobs, minions: 12, runTime: 20 * time.Second}
	rolling := rollingOutages(all.minions, 600*time.Millisecond)
	scenes := []struct {
		name    string
		outages []outage
	}{
		{"racks", rackOutages(0, 1, 2, 0)},
		{"rolling", rollingOutages(all.minions, 1300*time.Millisecond)},
		{"rolling-twice", append(rolling, shifted(rolling, 9*time.Second)...)},
	}
	for _, scene := range scenes {
		t.Run(scene.name, func(t *testing.T) {
			c := quicktest.New(t)
			simulation := newSimulation(1, 1, all.minions)
			simulation.makeHolder(simulation.nodes[0])
			simulation.advance(time.Second)
			for number := range jobs {
				simulation.submit(jobOf(fmt.Sprintf("narrow%d", number), smallStep(1, all.runTime)))
			}
			simulation.advance(40 * time.Millisecond)
			for _, outage := range scene.outages {
				simulation.scheduleOutage(outage)
			}
			bound := all.completionBound(scene.outages)
			simulation.advance(bound)
			completed := 0
			for number := range jobs {
				if simulation.recordedState(identifier.Job(fmt.Sprintf("narrow%d", number))) == specifier.Completed {
					completed++
				}
			}
			t.Logf("%d of %d jobs completed within %s", completed, jobs, bound)
			c.Check(simulation.violations, quicktest.HasLen, 0)
			c.Assert(completed, quicktest.Equals, jobs)
		})
	}
}
