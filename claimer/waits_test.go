package claimer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/messenger"
)

// waitsRun is a group of nodes, each with the newest waits that it has read.
type waitsRun struct {
	now     time.Time
	store   *store
	members []*member
}

func newWaitsRun(c *quicktest.C) *waitsRun {
	run := &waitsRun{
		now: time.Unix(1_000_000, 0), store: &store{random: rand.New(rand.NewPCG(1, 1))},
		members: []*member{newMember(0, 1), newMember(1, 1), newMember(2, 1)},
	}
	run.advance(2 * time.Second)
	c.Assert(run.holder(), quicktest.IsNotNil)
	return run
}

func (run *waitsRun) advance(span time.Duration) {
	for end := run.now.Add(span); run.now.Before(end); run.now = run.now.Add(tick) {
		for _, member := range run.members {
			member.advance(run.now, run.store)
		}
	}
}

func (run *waitsRun) holder() *member {
	for _, member := range run.members {
		if member.hasValidClaim(run.now) {
			return member
		}
	}
	return nil
}

// compute passes new waits to the holder's claimer.
func (run *waitsRun) compute(holder *member) *messenger.QueueWaits {
	waits := &messenger.QueueWaits{ComputedAt: run.now, Queues: []messenger.QueueWait{{Queue: "wide", Wait: time.Minute}}}
	holder.step(run.now, run.store, messenger.WaitsComputed{Waits: waits})
	return waits
}

// TestWaitsReachAllNodes guards against waits that are lost between the holder and the other nodes, that
// reach them late, or that stay after the holder has none any more.
func TestWaitsReachAllNodes(t *testing.T) {
	c := quicktest.New(t)
	run := newWaitsRun(c)
	for _, member := range run.members {
		c.Assert(member.waitsRead, quicktest.HasLen, 0)
	}
	waits := run.compute(run.holder())
	run.advance(800 * time.Millisecond)
	for _, member := range run.members {
		c.Assert(member.waits(), quicktest.Equals, waits, quicktest.Commentf("%s", member.name))
		c.Assert(run.now.Sub(member.waitsRead[0].ReadAt) < 800*time.Millisecond, quicktest.IsTrue)
	}
	holder := run.holder()
	holder.step(run.now, run.store, messenger.WaitsComputed{})
	run.advance(800 * time.Millisecond)
	for _, member := range run.members {
		c.Assert(member.waits(), quicktest.IsNil, quicktest.Commentf("%s", member.name))
	}
	count := len(holder.waitsRead)
	run.advance(2 * time.Second)
	c.Assert(holder.waitsRead, quicktest.HasLen, count) // renewals without waits are not reported
}

// TestOldWaitsAreNotPublished guards against renewals with waits of a planner that computes none any more.
func TestOldWaitsAreNotPublished(t *testing.T) {
	c := quicktest.New(t)
	run := newWaitsRun(c)
	run.compute(run.holder())
	run.advance(2500 * time.Millisecond)
	for _, member := range run.members {
		c.Assert(member.waits(), quicktest.IsNil, quicktest.Commentf("%s", member.name))
	}
}

// TestTakeoverEndsTheWaits guards against the waits of a former holder in force under the next one, and
// against a former holder that publishes its old waits when it is the holder again.
func TestTakeoverEndsTheWaits(t *testing.T) {
	c := quicktest.New(t)
	run := newWaitsRun(c)
	former := run.holder()
	run.compute(former)
	run.advance(800 * time.Millisecond)
	former.isolated = true
	run.compute(former)
	run.advance(2500 * time.Millisecond)
	next := run.holder()
	c.Assert(next, quicktest.IsNotNil)
	c.Assert(next, quicktest.Not(quicktest.Equals), former)
	for _, member := range run.members {
		if member != former {
			c.Assert(member.waits(), quicktest.IsNil, quicktest.Commentf("%s", member.name))
		}
	}
	former.isolated = false
	run.advance(time.Second)
	c.Assert(former.waits(), quicktest.IsNil)
	for _, claim := range run.store.claims[len(run.store.claims)-3:] {
		c.Assert(claim.Waits, quicktest.IsNil)
	}
}

// TestFirstReadAfterAnOutageGivesNoWaits guards against waits of unknown age, which a node reads first
// after an outage of the store or its start.
func TestFirstReadAfterAnOutageGivesNoWaits(t *testing.T) {
	c := quicktest.New(t)
	run := newWaitsRun(c)
	run.compute(run.holder())
	run.advance(450 * time.Millisecond)
	c.Assert(run.store.claims[len(run.store.claims)-1].Waits, quicktest.IsNotNil)
	added := newMember(3, 1)
	run.members = append(run.members, added)
	added.advance(run.now, run.store)
	c.Assert(added.waitsRead, quicktest.HasLen, 0)
}
