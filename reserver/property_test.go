package reserver_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"corianderroad/identifier"
	"corianderroad/reserver"
	"corianderroad/specifier"
)

// drawnRun is a run of the property test, which ends exactly when it is expected to.
type drawnRun struct {
	minion  int
	endsAt  time.Time
	request specifier.Resources
}

// drawnPool is the pool of the property test.
type drawnPool struct {
	minions []*reserver.Minion
	runs    []drawnRun
}

func drawPool(t *rapid.T) *drawnPool {
	pool := &drawnPool{}
	for index := range rapid.IntRange(1, 6).Draw(t, "minions") {
		pool.minions = append(pool.minions, &reserver.Minion{Rack: identifier.Rack(fmt.Sprint("r", index/2)), Capacity: cores(8)})
		for used := 0; used < 8; {
			size := rapid.IntRange(1, 4).Draw(t, "used")
			if used += size; used <= 8 {
				pool.runs = append(pool.runs, drawnRun{index, start.Add(rapid.SampledFrom(spans).Draw(t, "end")), cores(size)})
			}
		}
	}
	return pool
}

var spans = []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 5 * time.Second, 8 * time.Second}

// update updates what the reserver sees at a time.
func (pool *drawnPool) update(now time.Time) {
	for index, minion := range pool.minions {
		minion.Free, minion.Ends = pool.freeOn(index, now), nil
	}
	for _, run := range pool.runs {
		if run.endsAt.After(now) {
			pool.minions[run.minion].Ends = append(pool.minions[run.minion].Ends, reserver.End{At: run.endsAt, Frees: run.request})
		}
	}
}

func (pool *drawnPool) freeOn(index int, now time.Time) specifier.Resources {
	free := pool.minions[index].Capacity
	for _, run := range pool.runs {
		if run.minion == index && run.endsAt.After(now) {
			free = free.Sub(run.request)
		}
	}
	return free
}

// startBeside starts tasks of another step of the same or a lower priority as far as the
// reservations allow.
func (pool *drawnPool) startBeside(t *rapid.T, planned *reserver.Reserver, now time.Time) {
	for range rapid.IntRange(0, 6).Draw(t, "starts") {
		run := drawnRun{
			rapid.IntRange(0, len(pool.minions)-1).Draw(t, "minion"), now.Add(rapid.SampledFrom(spans).Draw(t, "run time")),
			cores(rapid.IntRange(1, 6).Draw(t, "size")),
		}
		restrictions := planned.Restrictions(reserver.Start{
			Step: reserver.Step{Job: "other"}, Priority: rapid.IntRange(2, 3).Draw(t, "priority"), EndsAt: run.endsAt,
		})
		minion := pool.minions[run.minion]
		limit := pool.freeOn(run.minion, now).Fit(run.request, 1)
		if minion.Fit(restrictions, run.request, limit) > 0 {
			minion.Occupy(restrictions, run.request)
			pool.runs = append(pool.runs, run)
		}
	}
}

// TestBackFillingDelaysNoReservation guards against tasks beside reservations that take the
// room of one at its time, and against plans made anew that start later than promised,
// although all runs end when they are expected to.
func TestBackFillingDelaysNoReservation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool := drawPool(t)
		var demands []*reserver.Demand
		for number := range rapid.IntRange(1, 4).Draw(t, "gangs") {
			demand := gang(fmt.Sprint(number), rapid.IntRange(1, 2).Draw(t, "priority"), rapid.IntRange(1, 5).Draw(t, "tasks"), rapid.IntRange(1, 8).Draw(t, "size"))
			demand.SameRack = rapid.Bool().Draw(t, "same rack")
			demands = append(demands, demand)
		}
		planned := reserver.New()
		promised := make(map[reserver.Step]time.Time)
		for tick := range 12 {
			now := start.Add(time.Duration(tick) * 250 * time.Millisecond)
			pool.update(now)
			planned.Plan(now, pool.minions, demands)
			// A gang of lower rank may be planned later than before, because room that was
			// beside an earlier reservation is used: only the first one has a firm promise.
			if first := planned.Reservations(); len(first) > 0 {
				if known, isKnown := promised[first[0].Step]; isKnown {
					if first[0].StartAt.After(known) && first[0].StartAt.After(now) {
						t.Fatalf("the first reservation starts %s later than promised", first[0].StartAt.Sub(known))
					}
				}
				promised[first[0].Step] = first[0].StartAt
			}
			pool.startBeside(t, planned, now)
			for _, reservation := range planned.Reservations()[:min(1, len(planned.Reservations()))] {
				for index, minion := range pool.minions {
					if room := reservation.RoomOn(minion); !pool.freeOn(index, reservation.StartAt).Holds(room) {
						t.Fatalf("minion %d has no room for the reservation at its time", index)
					}
				}
			}
		}
	})
}

// TestReservationStartsAtTheEarliestTime guards against a gang that waits longer than it
// needs to: at no earlier end of a run is there room for all its tasks.
func TestReservationStartsAtTheEarliestTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool := drawPool(t)
		demand := gang("a", 1, rapid.IntRange(1, 8).Draw(t, "tasks"), rapid.IntRange(1, 8).Draw(t, "size"))
		demand.MaxPerMinion = rapid.IntRange(1, 4).Draw(t, "limit")
		pool.update(start)
		planned := reserver.New()
		planned.Plan(start, pool.minions, []*reserver.Demand{demand})
		var earliest time.Time
		for _, span := range append([]time.Duration{0}, spans...) {
			room := 0
			for index := range pool.minions {
				room += pool.freeOn(index, start.Add(span)).Fit(demand.Request, demand.MaxPerMinion)
			}
			if room >= demand.Tasks {
				earliest = start.Add(span)
				break
			}
		}
		reservations := planned.Reservations()
		if earliest.IsZero() != (len(reservations) == 0) {
			t.Fatalf("%d reservations, and all tasks have room at %s", len(reservations), earliest)
		}
		if len(reservations) > 0 && !reservations[0].StartAt.Equal(earliest) {
			t.Fatalf("the reservation starts at %s instead of %s", reservations[0].StartAt, earliest)
		}
	})
}
