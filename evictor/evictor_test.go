package evictor_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"corianderroad/evictor"
	"corianderroad/specifier"
)

var bounds = evictor.Bounds{StopTimeout: 500 * time.Millisecond, OrderTime: 500 * time.Millisecond}

var start = time.Unix(1_000_000, 0)

func cores(count int) specifier.Resources { return specifier.Resources{MilliCPU: 1000 * count} }

// single returns a victim on one minion.
func single(minion, size int, price float64, endsAt time.Time) evictor.Victim {
	return evictor.Victim{Loss: evictor.Loss{Work: price, Price: price}, Shares: []evictor.Share{{Minion: minion, Amount: cores(size)}}, EndsAt: endsAt}
}

// TestPriceRisesWithStops guards against a task that is stopped again and again because it
// has done little since it was started again.
func TestPriceRisesWithStops(t *testing.T) {
	c := quicktest.New(t)
	previous := evictor.Loss{}
	for stops := range 5 {
		loss := evictor.Work{Cores: 10, Unsaved: time.Second, Stops: stops}.Loss()
		c.Assert(loss.Work, quicktest.Equals, 15.0)
		c.Assert(loss.Price > previous.Price, quicktest.IsTrue)
		previous = loss
	}
	c.Assert(evictor.Work{Cores: 1, Stops: 1000}.Loss().Price < 1000, quicktest.IsTrue)
}

// TestCheckpointLowersLoss guards against a run that gives a checkpoint at its stop and counts
// as one that loses all it has done.
func TestCheckpointLowersLoss(t *testing.T) {
	c := quicktest.New(t)
	saving := evictor.Work{Cores: 10, Unsaved: 2 * time.Second, SavesAtStop: true}.Loss()
	losing := evictor.Work{Cores: 10, Unsaved: 2 * time.Second}.Loss()
	c.Assert(saving.Price < losing.Price, quicktest.IsTrue)
}

// TestFreeRoomComesFirst guards against a task that waits for an expected end, or for a stop,
// although there is free room.
func TestFreeRoomComesFirst(t *testing.T) {
	c := quicktest.New(t)
	room := evictor.Room{
		Minions: []evictor.Minion{{MaxTasks: 1}, {MaxTasks: 1}, {Free: cores(2), MaxTasks: 1}},
		Victims: []evictor.Victim{single(0, 2, 0, start), single(1, 2, 0, time.Time{})},
		Request: cores(2), Tasks: 1,
	}
	choice, found := evictor.New(bounds).Choose(start, &room)
	c.Assert(found, quicktest.IsTrue)
	c.Assert(choice.TasksOn, quicktest.DeepEquals, []int{0, 0, 1})
	c.Assert(choice.Awaits, quicktest.IsFalse)
	c.Assert(choice.Stopped, quicktest.HasLen, 0)
}

// TestExpectedEndsAreAwaited guards against a stop for room that comes free before the stop
// would have ended, and against a wait for a run that is overdue, ends too late, or leaves no
// time for the stop of a step that must start.
func TestExpectedEndsAreAwaited(t *testing.T) {
	for _, example := range []struct {
		name      string
		endsAt    time.Time
		mustStart bool
		stops     int
	}{
		{"soon", start.Add(450 * time.Millisecond), false, 0},
		{"too late", start.Add(550 * time.Millisecond), false, 1},
		{"just overdue", start.Add(-200 * time.Millisecond), false, 0},
		{"long overdue", start.Add(-400 * time.Millisecond), false, 1},
		{"unknown", time.Time{}, false, 1},
		{"must start, soon", start.Add(450 * time.Millisecond), true, 1},
		{"must start, at once", start.Add(100 * time.Millisecond), true, 0},
	} {
		c := quicktest.New(t)
		room := evictor.Room{
			Minions: []evictor.Minion{{MaxTasks: 1}, {MaxTasks: 1}}, Request: cores(2), Tasks: 1, MustStart: example.mustStart,
			Victims: []evictor.Victim{single(0, 2, 50, example.endsAt), single(1, 2, 10, time.Time{})},
		}
		choice, found := evictor.New(bounds).Choose(start, &room)
		c.Assert(found, quicktest.IsTrue, quicktest.Commentf(example.name))
		c.Assert(choice.Stopped, quicktest.HasLen, example.stops, quicktest.Commentf(example.name))
		if example.stops == 0 {
			c.Assert(choice.AwaitsUntil, quicktest.Equals, example.endsAt.Add(300*time.Millisecond))
		}
	}
}

// TestGangMakesRoomForSeveralTasks guards against a choice task by task that stops one single
// run after the other although one gang with less work makes room for all.
func TestGangMakesRoomForSeveralTasks(t *testing.T) {
	c := quicktest.New(t)
	gang := evictor.Victim{Loss: evictor.Loss{Work: 15, Price: 15}}
	room := evictor.Room{Request: cores(2), Tasks: 4}
	for minion := range 4 {
		room.Minions = append(room.Minions, evictor.Minion{MaxTasks: 1})
		room.Victims = append(room.Victims, single(minion, 2, 10, time.Time{}))
		gang.Shares = append(gang.Shares, evictor.Share{Minion: minion, Amount: cores(2)})
	}
	room.Victims = append(room.Victims, gang)
	choice, found := evictor.New(bounds).Choose(start, &room)
	c.Assert(found, quicktest.IsTrue)
	c.Assert(choice.Stopped, quicktest.DeepEquals, []int{4})
	c.Assert(choice.Loss.Price, quicktest.Equals, 15.0)
}

// TestSmallVictimIsSpared guards against a small run that is stopped beside a large one that
// makes enough room alone.
func TestSmallVictimIsSpared(t *testing.T) {
	c := quicktest.New(t)
	room := evictor.Room{
		Minions: []evictor.Minion{{MaxTasks: 1}}, Request: cores(4), Tasks: 1,
		Victims: []evictor.Victim{single(0, 1, 5, time.Time{}), single(0, 4, 10, time.Time{})},
	}
	choice, found := evictor.New(bounds).Choose(start, &room)
	c.Assert(found, quicktest.IsTrue)
	c.Assert(choice.Stopped, quicktest.DeepEquals, []int{1})
	c.Assert(choice.Loss.Price, quicktest.Equals, 10.0)
}

// require fails a property test unless a condition holds.
func require(t *rapid.T, condition bool) {
	t.Helper()
	if !condition {
		t.Fatalf("the condition does not hold")
	}
}

func drawRoom(t *rapid.T) *evictor.Room {
	room := &evictor.Room{Request: cores(rapid.IntRange(1, 4).Draw(t, "request")), Tasks: rapid.IntRange(1, 8).Draw(t, "tasks")}
	minions := rapid.IntRange(1, 6).Draw(t, "minions")
	for range minions {
		room.Minions = append(room.Minions, evictor.Minion{Free: cores(rapid.IntRange(-1, 4).Draw(t, "free")), MaxTasks: rapid.IntRange(0, 4).Draw(t, "max-tasks")})
	}
	for range rapid.IntRange(0, 10).Draw(t, "victims") {
		price := float64(rapid.IntRange(0, 40).Draw(t, "price"))
		victim := evictor.Victim{Loss: evictor.Loss{Work: price, Price: price}}
		for minion := range minions {
			if rapid.IntRange(0, 2).Draw(t, "occupied") == 0 {
				victim.Shares = append(victim.Shares, evictor.Share{Minion: minion, Amount: cores(rapid.IntRange(1, 4).Draw(t, "share"))})
			}
		}
		if rapid.Bool().Draw(t, "ends") {
			victim.EndsAt = start.Add(time.Duration(rapid.IntRange(-1000, 2000).Draw(t, "ends-in")) * time.Millisecond)
		}
		room.Victims = append(room.Victims, victim)
	}
	return room
}

// roomAfter returns what is free on each minion once the given victims have ended.
func roomAfter(room *evictor.Room, ended func(victim int) bool) []specifier.Resources {
	free := make([]specifier.Resources, len(room.Minions))
	for index := range room.Minions {
		free[index] = room.Minions[index].Free
	}
	for index := range room.Victims {
		for _, share := range room.Victims[index].Shares {
			if ended(index) {
				free[share.Minion] = free[share.Minion].Add(share.Amount)
			}
		}
	}
	return free
}

// fits reports whether all tasks fit into what is free.
func fits(room *evictor.Room, free []specifier.Resources) bool {
	count := 0
	for index := range free {
		count += free[index].Fit(room.Request, room.Minions[index].MaxTasks)
	}
	return count >= room.Tasks
}

// TestChoiceFits guards against stops for tasks that then don't fit, against stops although
// all tasks fit without any, against a victim that is not needed, and against a step that
// finds no room although all victims together make enough.
func TestChoiceFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		room := drawRoom(t)
		choice, found := evictor.New(bounds).Choose(start, room)
		require(t, found == fits(room, roomAfter(room, func(int) bool { return true })))
		if !found {
			return
		}
		endsSoon := func(victim int) bool {
			endsAt := room.Victims[victim].EndsAt
			return !endsAt.IsZero() && !endsAt.After(start.Add(bounds.StopTimeout)) && !endsAt.Before(start.Add(-300*time.Millisecond))
		}
		stopped := make(map[int]bool)
		for _, victim := range choice.Stopped {
			require(t, !endsSoon(victim))
			stopped[victim] = true
		}
		free := roomAfter(room, func(victim int) bool { return stopped[victim] || endsSoon(victim) })
		tasks := 0
		for index, count := range choice.TasksOn {
			require(t, free[index].Fit(room.Request, room.Minions[index].MaxTasks) >= count)
			tasks += count
		}
		require(t, tasks == room.Tasks)
		if fits(room, roomAfter(room, endsSoon)) {
			require(t, len(choice.Stopped) == 0)
		}
	})
}
