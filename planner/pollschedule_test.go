package planner

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/messenger"
)

// TestOutdatedPollsAreNotSent guards against polls of a minion that has been removed or
// replaced, of one whose poll is still pending, and against two polls for one time.
func TestOutdatedPollsAreNotSent(t *testing.T) {
	t.Parallel()
	now := time.Unix(1_000_000, 0)
	for name, test := range map[string]struct {
		change func(planner *Planner, minion *minion)
		polls  int
	}{
		"due":             {func(*Planner, *minion) {}, 1},
		"scheduled-twice": {func(_ *Planner, minion *minion) { minion.schedulePoll(now) }, 1},
		"postponed":       {func(_ *Planner, minion *minion) { minion.schedulePoll(now.Add(time.Second)) }, 0},
		"pending":         {func(_ *Planner, minion *minion) { minion.polling = true }, 0},
		"removed":         {func(planner *Planner, minion *minion) { planner.removeMinion(minion) }, 0},
		"replaced": {func(planner *Planner, minion *minion) {
			planner.setMinion(newMinion(minion.report, now, 6*time.Second, &planner.polls, planner.evacuations))
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			planner := New("n", Bounds{}, Features{})
			minion := newMinion(messenger.MinionReport{Minion: "m"}, now, 6*time.Second, &planner.polls, planner.evacuations)
			planner.setMinion(minion)
			minion.schedulePoll(now)
			test.change(planner, minion)
			planner.sendDuePolls(now)
			polls := 0
			for _, action := range planner.actions {
				if order, ok := action.(messenger.OrderMinion); ok && order.Minion == "m" {
					polls++
				}
			}
			c.Assert(polls, quicktest.Equals, test.polls)
		})
	}
}
