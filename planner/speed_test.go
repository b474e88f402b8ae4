package planner_test

import (
	"slices"
	"time"
)

// fakeSpeeds are the speeds at which minions work. A gang works at that of its slowest member.
type fakeSpeeds struct {
	simulation *simulation
	// byMinion has the speeds other than 1.
	byMinion map[*fakeMinion]float64
	works    []*pacedWork
}

// pacedWork is the work of a run, or of a gang, at the speed of its minions.
type pacedWork struct {
	members []*fakeRun
	total   time.Duration
	// done was the work at the time since, from which on it goes on at speed.
	done    time.Duration
	since   time.Time
	speed   float64
	changes int
	end     func()
}

func newFakeSpeeds(simulation *simulation) *fakeSpeeds {
	return &fakeSpeeds{simulation: simulation, byMinion: make(map[*fakeMinion]float64)}
}

// set changes the speed of a minion from now on. With 0 its runs make no progress.
func (fakeSpeeds *fakeSpeeds) set(minion *fakeMinion, speed float64) {
	fakeSpeeds.byMinion[minion] = speed
	fakeSpeeds.works = slices.DeleteFunc(fakeSpeeds.works, func(work *pacedWork) bool { return work.members[0].ended })
	for _, work := range fakeSpeeds.works {
		if slices.ContainsFunc(work.members, func(run *fakeRun) bool { return run.minion == minion }) {
			fakeSpeeds.resume(work)
		}
	}
}

func (fakeSpeeds *fakeSpeeds) speedOf(minion *fakeMinion) float64 {
	if speed, isKnown := fakeSpeeds.byMinion[minion]; isKnown {
		return speed
	}
	return 1
}

// resume lets a work go on at the present speed of its minions.
func (fakeSpeeds *fakeSpeeds) resume(work *pacedWork) {
	simulation := fakeSpeeds.simulation
	work.done, work.since, work.speed = work.doneAt(simulation.now), simulation.now, 1
	for _, run := range work.members {
		work.speed = min(work.speed, fakeSpeeds.speedOf(run.minion))
	}
	work.changes++
	if work.speed == 0 {
		return
	}
	change := work.changes
	simulation.schedule(time.Duration(float64(work.total-work.done)/work.speed), func() {
		if work.changes == change {
			work.end()
		}
	})
}

func (work *pacedWork) doneAt(now time.Time) time.Duration {
	return min(work.done+time.Duration(float64(now.Sub(work.since))*work.speed), work.total)
}

// scheduleEnd calls a function when a run, or a gang that is complete with it, has done its work.
func (simulation *simulation) scheduleEnd(run *fakeRun, members []*fakeRun, end func()) {
	if simulation.speeds == nil {
		simulation.schedule(simulation.remainingTime(run), end)
		return
	}
	work := &pacedWork{members: members, total: simulation.remainingTime(run), since: simulation.now, end: end}
	for _, member := range members {
		member.paced = work
	}
	simulation.speeds.works = append(simulation.speeds.works, work)
	simulation.speeds.resume(work)
}

// elapsed returns how long a run has worked at full speed.
func (run *fakeRun) elapsed() time.Duration {
	simulation := run.minion.simulation
	if simulation.speeds == nil || run.spec.LongRunning {
		return simulation.now.Sub(run.started)
	}
	if run.paced == nil {
		return 0 // an incomplete gang does not work
	}
	return run.paced.doneAt(simulation.now)
}
