package forecaster_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/forecaster"
	"corianderroad/identifier"
	"corianderroad/specifier"
)

// cores returns an amount of capacity.
func cores(count int) specifier.Resources { return specifier.Resources{MilliCPU: count * 1000} }

// fullMinion is a minion of 4 cores on which nothing is free.
func fullMinion(rack identifier.Rack) forecaster.Minion {
	return forecaster.Minion{Rack: rack, Capacity: cores(4)}
}

// endingAt returns a run that began at 0 s and is declared to end after some seconds.
func endingAt(seconds int) forecaster.Run {
	return forecaster.Run{StartedAt: at(0), RunTime: time.Duration(seconds) * time.Second, ProgressAt: at(0)}
}

// newFullPool returns a pool as of 1 s of three full minions, two of them on rack a. On each one
// run of 4 cores ends: at 30 s and 10 s on rack a, and at 20 s on rack b.
func newFullPool() *forecaster.Forecaster {
	pool := forecaster.New(at(1))
	for _, minion := range []struct {
		rack identifier.Rack
		ends int
	}{{"a", 30}, {"b", 20}, {"a", 10}} {
		pool.AddRun(pool.AddMinion(fullMinion(minion.rack)), endingAt(minion.ends), cores(4))
	}
	return pool
}

// assertRoomAt checks when a demand has room, never if seconds is negative.
func assertRoomAt(c *quicktest.C, pool *forecaster.Forecaster, demand forecaster.Demand, seconds float64) {
	c.Helper()
	when, ok := pool.RoomAt(&demand)
	c.Assert(ok, quicktest.Equals, seconds >= 0)
	if ok {
		c.Assert(when.Sub(at(seconds)), quicktest.Equals, time.Duration(0))
	}
}

// TestRoomAt guards against a start that is promised before all tasks of a step have room, or
// after a time at which they have.
func TestRoomAt(t *testing.T) {
	onlyFirst := func(minion int) bool { return minion == 0 }
	reservedOnSecond := func(minion int) specifier.Resources { return cores(4 * (minion % 2)) }
	for name, test := range map[string]struct {
		demand   forecaster.Demand
		expected float64
	}{
		"first end":                         {forecaster.Demand{Tasks: 1, Request: cores(4), MaxPerMinion: 1}, 10},
		"tasks share a minion":              {forecaster.Demand{Tasks: 2, Request: cores(2), MaxPerMinion: 2}, 10},
		"limit of tasks per minion":         {forecaster.Demand{Tasks: 2, Request: cores(2), MaxPerMinion: 1}, 20},
		"all minions":                       {forecaster.Demand{Tasks: 3, Request: cores(4), MaxPerMinion: 3}, 30},
		"more tasks than fit":               {forecaster.Demand{Tasks: 4, Request: cores(4), MaxPerMinion: 4}, -1},
		"task larger than a minion":         {forecaster.Demand{Tasks: 1, Request: cores(5), MaxPerMinion: 1}, -1},
		"both on one rack":                  {forecaster.Demand{Tasks: 2, Request: cores(4), MaxPerMinion: 2, IsOnOneRack: true}, 30},
		"rack that is named":                {forecaster.Demand{Tasks: 1, Request: cores(4), MaxPerMinion: 1, IsOnOneRack: true, Rack: "b"}, 20},
		"rack without minions":              {forecaster.Demand{Tasks: 1, Request: cores(4), MaxPerMinion: 1, IsOnOneRack: true, Rack: "c"}, -1},
		"named rack that is not required":   {forecaster.Demand{Tasks: 1, Request: cores(4), MaxPerMinion: 1, Rack: "b"}, 10},
		"minion that may run it":            {forecaster.Demand{Tasks: 1, Request: cores(4), MaxPerMinion: 1, CanRunOn: onlyFirst}, 30},
		"capacity reserved for it":          {forecaster.Demand{Tasks: 1, Request: cores(4), MaxPerMinion: 1, ReservedOn: reservedOnSecond}, 1},
		"reserved on one, the other's ends": {forecaster.Demand{Tasks: 2, Request: cores(4), MaxPerMinion: 1, ReservedOn: reservedOnSecond}, 10},
	} {
		t.Run(name, func(t *testing.T) { assertRoomAt(quicktest.New(t), newFullPool(), test.demand, test.expected) })
	}
}

// TestRoomOnFreeMinion guards against a wait for the end of a run although there is room now.
func TestRoomOnFreeMinion(t *testing.T) {
	pool := newFullPool()
	pool.AddMinion(forecaster.Minion{Rack: "c", Capacity: cores(4), Free: cores(3)})
	c := quicktest.New(t)
	assertRoomAt(c, pool, forecaster.Demand{Tasks: 3, Request: cores(1), MaxPerMinion: 3}, 1)
	assertRoomAt(c, pool, forecaster.Demand{Tasks: 4, Request: cores(1), MaxPerMinion: 4}, 10)
}

// TestRoomOnShrunkMinion guards against a start on a minion that has become smaller than what its
// runs occupy: the first end leaves no free capacity there.
func TestRoomOnShrunkMinion(t *testing.T) {
	pool := forecaster.New(at(1))
	minion := pool.AddMinion(forecaster.Minion{Capacity: cores(4), Free: specifier.Resources{MilliCPU: 2000, MemoryMB: -10}})
	pool.AddRun(minion, endingAt(10), specifier.Resources{MilliCPU: 1000, MemoryMB: 5})
	pool.AddRun(minion, endingAt(20), specifier.Resources{MilliCPU: 1000, MemoryMB: 5})
	assertRoomAt(quicktest.New(t), pool, forecaster.Demand{Tasks: 1, Request: cores(1), MaxPerMinion: 1}, 20)
}

// TestRoomWithoutEnds guards against a start that is promised behind runs that never end, or
// without minions.
func TestRoomWithoutEnds(t *testing.T) {
	pool, demand := forecaster.New(at(1)), forecaster.Demand{Tasks: 1, Request: cores(4), MaxPerMinion: 1}
	c := quicktest.New(t)
	assertRoomAt(c, pool, demand, -1)
	pool.AddRun(pool.AddMinion(fullMinion("a")), forecaster.Run{StartedAt: at(0), IsLongRunning: true}, cores(4))
	assertRoomAt(c, pool, demand, -1)
}

// TestRunsAddedAfterQuestion guards against answers from an order of ends that is outdated.
func TestRunsAddedAfterQuestion(t *testing.T) {
	c, pool := quicktest.New(t), newFullPool()
	demand := forecaster.Demand{Tasks: 1, Request: cores(4), MaxPerMinion: 1}
	assertRoomAt(c, pool, demand, 10)
	pool.AddRun(pool.AddMinion(fullMinion("a")), endingAt(5), cores(4))
	assertRoomAt(c, pool, demand, 5)
}

// TestTimeFor guards against a wait that ignores accelerators or divides by no capacity.
func TestTimeFor(t *testing.T) {
	c, pool := quicktest.New(t), forecaster.New(at(1))
	c.Assert(pool.TimeFor(100), quicktest.Equals, time.Duration(0))
	pool.AddMinion(forecaster.Minion{Capacity: specifier.Resources{MilliCPU: 32000, Accelerators: 8}})
	pool.AddMinion(forecaster.Minion{Capacity: cores(4)})
	c.Assert(pool.TimeFor(1000), quicktest.Equals, 10*time.Second)
}
