package profiler_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"corianderroad/profiler"
)

var start = time.Unix(1_000_000, 0)

const (
	declared     = 10 * time.Second
	pollInterval = time.Second
)

var kind = profiler.Kind{Queue: "wide"}

// fleet is some minions with the same kind of work.
type fleet struct {
	now      time.Time
	profiler *profiler.Profiler
	minions  []*worker
}

// worker is a minion that runs one task after another. A run works speed percent of its declared
// work in the time of a percent.
type worker struct {
	profile profiler.Profile
	run     profiler.Run
	speed   float64
	percent float64
	// fails means that its runs fail at their end.
	fails bool
}

func newFleet(speeds ...float64) *fleet {
	fleet := &fleet{now: start, profiler: profiler.New()}
	for _, speed := range speeds {
		fleet.minions = append(fleet.minions, &worker{speed: speed})
	}
	return fleet
}

func (fleet *fleet) advance(span time.Duration) {
	for range int(span / pollInterval) {
		fleet.now = fleet.now.Add(pollInterval)
		for _, worker := range fleet.minions {
			worker.percent += 100 * worker.speed * pollInterval.Seconds() / declared.Seconds()
			if worker.percent >= 100 {
				worker.profile.AddEnd(fleet.now, worker.fails)
				worker.percent, worker.run = 0, profiler.Run{}
			}
			fleet.profiler.Observe(fleet.now, &worker.profile, &worker.run, profiler.Report{
				Kind: kind, Percent: int(worker.percent), Declared: declared, IsOwnSpeed: true,
			})
		}
	}
}

func (fleet *fleet) condition(index int) profiler.Condition {
	return fleet.minions[index].profile.Condition(fleet.now)
}

// TestSlowMinionIsFound guards against a minion that is 3 times slower than others and counts as
// sound, and against sound ones that count as slow beside it.
func TestSlowMinionIsFound(t *testing.T) {
	c := quicktest.New(t)
	fleet := newFleet(3, 2.7, 3.6, 1)
	fleet.advance(60 * time.Second)
	c.Assert(fleet.condition(3), quicktest.Equals, profiler.Slow)
	c.Assert(fleet.minions[3].profile.SpeedFactor(fleet.now) < 0.5, quicktest.IsTrue)
	for index := range 3 {
		c.Assert(fleet.condition(index), quicktest.Equals, profiler.Sound)
	}
}

// TestPoolThatIsSlowHasNoSlowMinion guards against minions that are avoided because all declared
// run times are too short.
func TestPoolThatIsSlowHasNoSlowMinion(t *testing.T) {
	c := quicktest.New(t)
	fleet := newFleet(0.2, 0.25, 0.3)
	fleet.advance(60 * time.Second)
	for index := range fleet.minions {
		c.Assert(fleet.condition(index), quicktest.Equals, profiler.Sound)
	}
}

// TestOneLongRunIsNotSlow guards against a minion that is avoided because of a single task that
// runs 7 times as long as declared.
func TestOneLongRunIsNotSlow(t *testing.T) {
	c := quicktest.New(t)
	fleet := newFleet(1, 1, 1, 1)
	fleet.advance(30 * time.Second)
	fleet.minions[0].speed = 1.0 / 7
	for range 60 {
		fleet.advance(time.Second)
		c.Assert(fleet.condition(0), quicktest.Equals, profiler.Sound)
		c.Assert(fleet.minions[0].run.HasStalled(), quicktest.IsFalse)
	}
}

// TestStallIsFoundAndForgotten guards against a minion whose run makes no progress and that counts
// as sound, and against one that has recovered and counts as stalling.
func TestStallIsFoundAndForgotten(t *testing.T) {
	c := quicktest.New(t)
	fleet := newFleet(1, 1)
	fleet.advance(5 * time.Second)
	fleet.minions[0].speed = 0
	fleet.advance(8 * time.Second)
	c.Assert(fleet.condition(0), quicktest.Equals, profiler.Stalling)
	c.Assert(fleet.condition(1), quicktest.Equals, profiler.Sound)
	c.Assert(fleet.minions[0].run.StalledFor(), quicktest.Equals, 8*time.Second)
	fleet.minions[0].speed = 1
	fleet.advance(2 * time.Second)
	c.Assert(fleet.condition(0), quicktest.Equals, profiler.Sound)
	c.Assert(fleet.minions[0].run.HasStalled(), quicktest.IsFalse)
}

// TestShortPauseIsNoStall guards against a run that counts as stalled between two polls, or because its
// percents take long.
func TestShortPauseIsNoStall(t *testing.T) {
	c := quicktest.New(t)
	for _, pause := range []struct {
		speed       float64
		short, long time.Duration
	}{{1, 2 * time.Second, 4 * time.Second}, {0.05, 12 * time.Second, 20 * time.Second}} {
		fleet := newFleet(pause.speed, 1)
		fleet.advance(time.Duration(0.55 / pause.speed * float64(declared)))
		fleet.minions[0].speed = 0
		fleet.advance(pause.short)
		c.Assert(fleet.minions[0].run.HasStalled(), quicktest.IsFalse)
		fleet.advance(pause.long - pause.short)
		c.Assert(fleet.minions[0].run.HasStalled(), quicktest.IsTrue)
	}
}

// TestStallWithoutRunsIsForgotten guards against a minion that gets no work and counts as stalling
// for ever.
func TestStallWithoutRunsIsForgotten(t *testing.T) {
	c := quicktest.New(t)
	fleet := newFleet(1, 1)
	fleet.advance(5 * time.Second)
	fleet.minions[0].speed = 0
	fleet.advance(60 * time.Second)
	profile := &fleet.minions[0].profile
	c.Assert(profile.Condition(fleet.now), quicktest.Equals, profiler.Stalling)
	c.Assert(profile.Condition(fleet.now.Add(20*time.Second)), quicktest.Equals, profiler.Sound)
}

// TestWorkThatReportsNoProgressHasNotStalled guards against runs that are moved although no run
// of their kind reports progress.
func TestWorkThatReportsNoProgressHasNotStalled(t *testing.T) {
	c := quicktest.New(t)
	fleet := newFleet(0, 0)
	fleet.advance(60 * time.Second)
	c.Assert(fleet.minions[0].run.HasStalled(), quicktest.IsFalse)
	c.Assert(fleet.condition(0), quicktest.Equals, profiler.Sound)
}

// TestRunThatIsHeldBackHasNotStalled guards against a run that counts as stalled because it was
// ordered to pause.
func TestRunThatIsHeldBackHasNotStalled(t *testing.T) {
	c := quicktest.New(t)
	learned, profile, run := profiler.New(), profiler.Profile{}, profiler.Run{}
	report := profiler.Report{Kind: kind, Declared: declared, IsOwnSpeed: true}
	for second := range 40 {
		report.Percent, report.IsHeldBack = min(10*second, 50), second >= 5 && second < 30
		learned.Observe(start.Add(time.Duration(second)*time.Second), &profile, &run, report)
		c.Assert(run.HasStalled(), quicktest.Equals, second >= 32)
	}
}

// TestFailingMinionIsFound guards against a minion that fails 6 of 10 runs and counts as sound, and
// against one that counts as failing for ever.
func TestFailingMinionIsFound(t *testing.T) {
	c := quicktest.New(t)
	profile := profiler.Profile{}
	for index := range 10 {
		profile.AddEnd(start.Add(time.Duration(index)*time.Second), index%5 < 3)
	}
	c.Assert(profile.Condition(start.Add(10*time.Second)), quicktest.Equals, profiler.Failing)
	c.Assert(profile.Condition(start.Add(80*time.Second)), quicktest.Equals, profiler.Sound)
}

// TestMoveLosesNoMoreThanItWaited guards against a move that loses more work than the run has
// waited, and against a run that is never moved however long it stalls.
func TestMoveLosesNoMoreThanItWaited(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stall := profiler.Stall{
			For:  time.Duration(rapid.IntRange(0, 60000).Draw(t, "for")) * time.Millisecond,
			Lost: time.Duration(rapid.IntRange(0, 60000).Draw(t, "lost")) * time.Millisecond,
		}
		if stall.MovePays() && stall.Lost >= stall.For {
			t.Fatal("more is lost than it has waited")
		}
		stall.For = 2 * (stall.Lost + 2*time.Second)
		if !stall.MovePays() {
			t.Fatal("it is never moved")
		}
	})
}
