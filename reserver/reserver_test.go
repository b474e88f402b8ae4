package reserver_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/identifier"
	"corianderroad/reserver"
	"corianderroad/specifier"
)

var start = time.Unix(1_000_000, 0)

func cores(count int) specifier.Resources { return specifier.Resources{MilliCPU: 1000 * count} }

// busyMinion returns a full minion of 8 cores on a rack, whose runs of 4 cores each end after
// the given seconds.
func busyMinion(rack string, ends ...int) *reserver.Minion {
	minion := &reserver.Minion{Rack: identifier.Rack(rack), Capacity: cores(8), Free: cores(8 - 4*len(ends))}
	for _, seconds := range ends {
		minion.Ends = append(minion.Ends, reserver.End{At: start.Add(time.Duration(seconds) * time.Second), Frees: cores(4)})
	}
	return minion
}

func gang(name string, priority, tasks, size int) *reserver.Demand {
	return &reserver.Demand{
		Step: reserver.Step{Job: identifier.Job(name)}, Priority: priority, WaitingSince: start, Tasks: tasks, Request: cores(size),
		MaxPerMinion: tasks, RunTime: 5 * time.Second, CanRunOn: func(int) bool { return true },
	}
}

// startsIn returns the seconds until each reservation starts.
func startsIn(planned *reserver.Reserver) map[string]int {
	starts := make(map[string]int)
	for _, reservation := range planned.Reservations() {
		starts[string(reservation.Step.Job)] = int(reservation.StartAt.Sub(start).Seconds())
	}
	return starts
}

// TestReservationStartsWhenAllTasksHaveRoom guards against a reservation before the last of
// its tasks has room, or after a time at which all have.
func TestReservationStartsWhenAllTasksHaveRoom(t *testing.T) {
	limited, labelled, sameRack := gang("a", 1, 2, 4), gang("a", 1, 2, 4), gang("a", 1, 2, 8)
	limited.MaxPerMinion, sameRack.SameRack = 1, true
	labelled.CanRunOn = func(index int) bool { return index == 2 }
	for name, test := range map[string]struct {
		demand *reserver.Demand
		starts map[string]int
	}{
		"small":           {gang("a", 1, 2, 4), map[string]int{"a": 2}},
		"whole":           {gang("a", 1, 2, 8), map[string]int{"a": 3}},
		"limited":         {limited, map[string]int{"a": 3}},
		"labelled":        {labelled, map[string]int{"a": 9}},
		"same-rack":       {sameRack, map[string]int{"a": 9}},
		"larger-than-any": {gang("a", 1, 2, 9), map[string]int{}},
		"more-than-room":  {gang("a", 1, 5, 8), map[string]int{}},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			planned := reserver.New()
			minions := []*reserver.Minion{busyMinion("r", 1, 2), busyMinion("s", 3, 3), busyMinion("s", 9, 9), busyMinion("r", 5, 30)}
			planned.Plan(start, minions, []*reserver.Demand{test.demand})
			c.Assert(startsIn(planned), quicktest.DeepEquals, test.starts)
		})
	}
}

// TestOlderGangsOfHigherPriorityComeFirst guards against a gang that takes the room of one of
// higher priority, of an older one, or of one that does not yield.
func TestOlderGangsOfHigherPriorityComeFirst(t *testing.T) {
	for name, change := range map[string]func(first *reserver.Demand){
		"higher-priority": func(first *reserver.Demand) { first.Priority = 0 },
		"older":           func(first *reserver.Demand) { first.WaitingSince = start.Add(-time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			first, second, last := gang("first", 1, 1, 8), gang("second", 1, 1, 8), gang("last", 1, 1, 8)
			last.Yields, last.WaitingSince = true, start.Add(-time.Minute)
			change(first)
			planned := reserver.New()
			planned.Plan(start, []*reserver.Minion{busyMinion("r", 2, 2)}, []*reserver.Demand{last, second, first})
			c.Assert(startsIn(planned), quicktest.DeepEquals, map[string]int{"first": 2, "second": 7, "last": 12})
		})
	}
}

// TestReservationsAreBounded guards against an idle pool because of too many reservations.
func TestReservationsAreBounded(t *testing.T) {
	c := quicktest.New(t)
	var demands []*reserver.Demand
	for number := range 100 {
		demands = append(demands, gang(fmt.Sprint(number), 1, 1, 8))
	}
	planned := reserver.New()
	planned.Plan(start, []*reserver.Minion{busyMinion("r", 2, 2)}, demands)
	c.Assert(planned.Reservations(), quicktest.HasLen, 4)
}

// TestBackFillingLeavesReservedRoom guards against a task that delays a gang, and against
// room that is kept free although a task delays no gang.
func TestBackFillingLeavesReservedRoom(t *testing.T) {
	for name, test := range map[string]struct {
		step     string
		priority int
		seconds  int
		size     int
		fits     int
	}{
		"ends-before":       {"b", 2, 3, 4, 2},
		"ends-after":        {"b", 2, 5, 4, 0},
		"room-beside":       {"b", 2, 5, 2, 1},
		"same-priority":     {"b", 1, 5, 4, 0},
		"priority-0":        {"b", 0, 5, 4, 2},
		"the-gang-itself":   {"a", 1, 5, 4, 2},
		"lower-than-itself": {"a", 2, 5, 4, 2},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			free, busy := busyMinion("r"), busyMinion("r", 4, 4)
			demand := gang("a", 1, 2, 6)
			planned := reserver.New()
			planned.Plan(start, []*reserver.Minion{free, busy}, []*reserver.Demand{demand})
			restrictions := planned.Restrictions(reserver.Start{
				Step: reserver.Step{Job: identifier.Job(test.step)}, Priority: test.priority, EndsAt: start.Add(time.Duration(test.seconds) * time.Second),
			})
			c.Assert(free.Fit(restrictions, cores(test.size), 2), quicktest.Equals, test.fits)
			if test.fits == 1 {
				free.Occupy(restrictions, cores(test.size))
				c.Assert(free.Fit(restrictions, cores(test.size), 2), quicktest.Equals, 0)
			}
		})
	}
}

// TestReservationIsGivenUp guards against a reservation that is kept although it can't be met.
func TestReservationIsGivenUp(t *testing.T) {
	for name, test := range map[string]struct {
		after     time.Duration
		isLost    bool
		capacity  int
		isWaiting bool
		outcome   reserver.Outcome
	}{
		"step-gone":     {0, false, 8, false, reserver.StepGone},
		"minion-gone":   {0, true, 8, true, reserver.MinionGone},
		"minion-shrunk": {0, false, 4, true, reserver.MinionGone},
		"overdue":       {5 * time.Second, false, 8, true, reserver.Overdue},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			kept, other := busyMinion("r", 2, 2), busyMinion("r", 2, 2)
			planned := reserver.New()
			planned.Plan(start, []*reserver.Minion{kept, other}, []*reserver.Demand{gang("a", 1, 2, 8)})
			minions, demands := []*reserver.Minion{kept}, []*reserver.Demand(nil)
			if !test.isLost {
				minions = append(minions, other)
			}
			if test.isWaiting {
				demands = append(demands, gang("a", 1, 2, 8))
			}
			for _, minion := range minions {
				minion.Capacity, minion.Free, minion.Ends = cores(test.capacity), cores(test.capacity-8), nil
			}
			changes := planned.Plan(start.Add(test.after), minions, demands)
			c.Assert(changes, quicktest.HasLen, 1)
			c.Assert(changes[0].Outcome, quicktest.Equals, test.outcome)
			c.Assert(planned.Reservations(), quicktest.HasLen, 0)
			all := planned.Restrictions(reserver.Start{Priority: 9, EndsAt: start.Add(time.Hour)})
			c.Assert(kept.Fit(all, cores(1), 8)+other.Fit(all, cores(1), 8), quicktest.Equals, 16)
		})
	}
}

// TestReservationIsPlannedWhenMinionsJoin guards against a gang that gets no reservation for a
// while after a takeover, because there was no room for it among the first minions that answered.
func TestReservationIsPlannedWhenMinionsJoin(t *testing.T) {
	c := quicktest.New(t)
	minions := []*reserver.Minion{busyMinion("r", 2, 2), busyMinion("r", 3, 3)}
	demands := []*reserver.Demand{gang("a", 1, 2, 8)}
	planned := reserver.New()
	planned.Plan(start, nil, demands)
	planned.Plan(start, minions[:1], demands)
	c.Assert(planned.Reservations(), quicktest.HasLen, 0)
	planned.Plan(start.Add(250*time.Millisecond), minions, demands)
	c.Assert(startsIn(planned), quicktest.DeepEquals, map[string]int{"a": 3})
}
