package forecaster_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/forecaster"
)

// at returns a time as seconds of the test.
func at(seconds float64) time.Time {
	return time.Unix(1_000_000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// started is a run of 10 s that began at 0 s and has not been reported yet.
var started = forecaster.Run{StartedAt: at(0), RunTime: 10 * time.Second, ProgressAt: at(0)}

// reported returns the run as polls show it that first saw progress of 10 % at 3 s.
func reported(percent int, seconds float64) forecaster.Run {
	run := started
	run.IsObserved, run.FirstPercent, run.FirstAt = true, 10, at(3)
	run.Percent, run.ProgressAt = percent, at(seconds)
	return run
}

// TestLikelyEnd guards against reservations and moves that count on an end at a wrong time.
func TestLikelyEnd(t *testing.T) {
	unmeasured, adopted := reported(19, 3.9), reported(50, 9)
	unmeasured.FirstPercent, adopted.IsAdopted = 10, true
	stopping, stopped := reported(50, 5), reported(50, 5)
	stopping.IsStopping, stopping.StopsBy = true, at(7)
	stopped.IsStopping = true // the minion has refused the start as superseded: no stop was ordered
	for name, test := range map[string]struct {
		run      forecaster.Run
		now      float64
		expected time.Time
	}{
		"declared without progress":         {started, 1, at(10.1)},
		"overdue for a moment":              {started, 10.1, at(10.35)},
		"overdue for long":                  {started, 20.1, at(25.1)},
		"declared speed while not measured": {unmeasured, 4, at(3.9 + 8.1)},
		"measured speed":                    {reported(50, 9), 9, at(16.5)}, // 40 % in 6 s
		"measured speed of an adopted run":  {adopted, 9, at(16.5)},
		"late progress":                     {reported(50, 9), 18.5, at(19.5)},
		"being stopped":                     {stopping, 6, at(7)},
		"stopped too late":                  {stopping, 8, at(8)},
		"ended without a stop":              {stopped, 8, at(8)},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			c.Assert(test.run.LikelyEnd(at(test.now)).Sub(test.expected), quicktest.Equals, time.Duration(0))
		})
	}
}

// TestEndByProgress guards against victims that seem to end soon although no report says so.
func TestEndByProgress(t *testing.T) {
	c := quicktest.New(t)
	c.Assert(started.EndByProgress().IsZero(), quicktest.IsTrue)
	noProgress, unobserved, lasting := reported(0, 3), reported(50, 9), reported(50, 9)
	unobserved.IsObserved, lasting.IsLongRunning = false, true
	for _, run := range []forecaster.Run{noProgress, unobserved, lasting} {
		c.Assert(run.EndByProgress().IsZero(), quicktest.IsTrue)
	}
	c.Assert(reported(50, 9).EndByProgress().Equal(at(16.5)), quicktest.IsTrue)
}

// TestMeasuredSpeed guards against a speed that is taken from the start of the work, or from too
// little of it.
func TestMeasuredSpeed(t *testing.T) {
	c := quicktest.New(t)
	c.Assert(started.IsMeasured(), quicktest.IsFalse)
	c.Assert(reported(19, 9).IsMeasured(), quicktest.IsFalse)
	c.Assert(reported(20, 9).IsMeasured(), quicktest.IsTrue)
}

// TestExtrapolatedEnd guards against a run that is taken for nearly done because its start is
// unknown, or for endless because it has no progress yet.
func TestExtrapolatedEnd(t *testing.T) {
	c := quicktest.New(t)
	adopted := reported(75, 4)
	adopted.StartedAt, adopted.IsAdopted = at(4), true
	c.Assert(started.ExtrapolatedEnd().Equal(at(10)), quicktest.IsTrue)
	c.Assert(reported(50, 8).ExtrapolatedEnd().Equal(at(16)), quicktest.IsTrue)
	c.Assert(adopted.ExtrapolatedEnd().Equal(at(6.5)), quicktest.IsTrue)
}

// TestCautiousEnd guards against a start that a caller is told is near for as long as a run is
// overdue, and against an end that never comes.
func TestCautiousEnd(t *testing.T) {
	c := quicktest.New(t)
	lasting, stopping := started, started
	lasting.IsLongRunning = true
	stopping.IsLongRunning, stopping.IsStopping, stopping.StopsBy = true, true, at(3)
	_, ends := lasting.CautiousEnd(at(1))
	c.Assert(ends, quicktest.IsFalse)
	for _, test := range []struct {
		run           forecaster.Run
		now, expected float64
	}{{started, 1, 10}, {started, 14, 18}, {stopping, 2, 3}, {stopping, 4, 5}} {
		end, ends := test.run.CautiousEnd(at(test.now))
		c.Assert(ends, quicktest.IsTrue)
		c.Assert(end.Sub(at(test.expected)), quicktest.Equals, time.Duration(0))
	}
}
