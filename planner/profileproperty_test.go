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

// TestMinionProfilesUnderFaults guards against tasks that run twice, gangs that run in part, and
// jobs that never end, while runs that make no progress are moved and tasks are copied. Meanwhile minions work at
// different speeds or not at all, holders change, minions crash, and answers are lost or late.
func TestMinionProfilesUnderFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		simulation := newSimulation(rapid.Uint64().Draw(t, "seed"), 0, 16)
		simulation.features = planner.Features{MinionProfiles: true, LossAwareStops: rapid.Bool().Draw(t, "loss-aware"), GangReservations: rapid.Bool().Draw(t, "reservations")}
		simulation.speeds = newFakeSpeeds(simulation)
		simulation.checkpoints = &fakeCheckpoints{interval: time.Second, restartTime: 300 * time.Millisecond}
		for index := range 3 {
			simulation.nodes = append(simulation.nodes, simulation.newNode(fmt.Sprintf("n%d", index)))
		}
		simulation.lostAnswerShare = rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "lose-answers")
		simulation.lostRecordAnswerShare = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "lose-records")
		simulation.delayVariation = rapid.SampledFrom([]time.Duration{0, 60 * time.Millisecond, 400 * time.Millisecond}).Draw(t, "spread")
		simulation.makeHolder(simulation.nodes[0])
		for number := range rapid.IntRange(0, 3).Draw(t, "fillers") {
			simulation.submit(drawFiller(t, number))
		}
		redundant := drawRedundantJobs(t, simulation)
		count := drawJobs(t, simulation)
		injectFaults(t, simulation)
		injectSpeeds(t, simulation)
		simulation.advance(20 * time.Second)
		simulation.lostAnswerShare, simulation.lostRecordAnswerShare, simulation.delayVariation = 0, 0, 0
		simulation.advance(90 * time.Second)
		if len(simulation.violations) > 0 {
			_, subject, _ := strings.Cut(simulation.violations[0], " ")
			job, _, _ := strings.Cut(subject, ".")
			t.Fatalf("%s\n%s", strings.Join(simulation.violations, "\n"), simulation.decisionsAbout(job))
		}
		for number := range count + redundant {
			id := identifier.Job(fmt.Sprintf("j%02d", number))
			if number >= count {
				id = identifier.Job(fmt.Sprintf("r%02d", number-count))
			}
			if state := simulation.recordedState(id); !state.IsFinal() {
				t.Fatalf("job %s is %s after the faults have ended\n%s", id, state, simulation.decisionsAbout(string(id)))
			}
		}
	})
}

// drawRedundantJobs submits jobs whose tasks may be copied, and returns their number.
func drawRedundantJobs(t *rapid.T, simulation *simulation) int {
	count := rapid.IntRange(2, 6).Draw(t, "redundant-jobs")
	for number := range count {
		job := jobOf(fmt.Sprintf("r%02d", number), specifier.Step{
			Tasks: rapid.IntRange(1, 8).Draw(t, "redundant-tasks"), Request: taskOf(1000, 1), Redundant: true,
			EstimatedRunTime: drawMilliseconds(t, "redundant-time", 4000, 12000), Checkpoints: rapid.Bool().Draw(t, "redundant-checkpoints"),
			MaxPerMinion: rapid.IntRange(0, 2).Draw(t, "redundant-per-minion"), Gang: rapid.IntRange(0, 4).Draw(t, "redundant-gang") == 4,
		})
		simulation.schedule(drawMilliseconds(t, "redundant-at", 0, 2000), func() { simulation.submit(job) })
	}
	return count
}

// injectSpeeds lets minions work slowly, or let runs stall, for some time.
func injectSpeeds(t *rapid.T, simulation *simulation) {
	for range rapid.IntRange(2, 7).Draw(t, "speeds") {
		minion := simulation.sortedMinions()[rapid.IntRange(0, 15).Draw(t, "uneven-minion")]
		speed := rapid.SampledFrom([]float64{0, 0, 1.0 / 3}).Draw(t, "speed")
		at := drawMilliseconds(t, "uneven-at", 1000, 6000)
		span := drawMilliseconds(t, "uneven-for", 4000, 14000)
		simulation.schedule(at, func() { simulation.speeds.set(minion, speed) })
		simulation.schedule(at+span, func() { simulation.speeds.set(minion, 1) })
	}
}
