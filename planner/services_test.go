package planner_test

import (
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

const (
	adviceTime  = 200 * time.Millisecond
	ticketValid = 2 * time.Second
	upkeepTime  = 2 * time.Second
)

// services stand for the advice service and the platform's list of VMs.
type services struct {
	// approved reports whether a minion may run the steps of the queue with advice.
	approved func(minion identifier.Minion) bool
	tickets  map[string]time.Time
	asked    int
	// away holds the VMs in upkeep, mostAway the most of them at a time.
	away     map[identifier.VM]bool
	mostAway int
	upkept   []identifier.VM
	reported []messenger.ReportWave
}

func newServices() *services {
	return &services{
		approved: func(identifier.Minion) bool { return true },
		tickets:  make(map[string]time.Time), away: make(map[identifier.VM]bool),
	}
}

// vmOf names the VM of a minion.
func vmOf(minion *fakeMinion) identifier.VM { return identifier.VM("vm-" + minion.name) }

func (world *world) performService(node *node, action messenger.Action) {
	services := world.services
	switch action := action.(type) {
	case messenger.RequestAdvice:
		services.asked++
		sentAt := world.now
		world.after(adviceTime, func() {
			given := messenger.AdviceReceived{Sent: action, SentAt: sentAt, Validity: ticketValid}
			for _, minion := range action.Minions {
				if services.approved(minion) {
					value := string(minion) + world.now.String()
					services.tickets[value] = world.now.Add(ticketValid)
					given.Tickets = append(given.Tickets, messenger.Ticket{Minion: minion, Ticket: value})
				}
			}
			world.step(node, given)
		})
	case messenger.ListPoolVMs:
		sentAt := world.now
		world.after(latency, func() {
			listed := messenger.PoolVMsListed{SentAt: sentAt}
			for _, minion := range world.sorted() {
				state := messenger.VMUp
				if services.away[vmOf(minion)] {
					state = messenger.VMInMaintenance
				}
				listed.VMs = append(listed.VMs, messenger.VMReport{VM: vmOf(minion), Pool: pool, State: state, Minion: minion.name})
			}
			world.step(node, listed)
		})
	case messenger.MaintainVM:
		world.after(latency, func() { world.step(node, messenger.VMMaintained{Sent: action, Err: world.maintain(action.VM)}) })
	case messenger.ReportWave:
		services.reported = append(services.reported, action)
		world.after(appendTime, func() { world.step(node, messenger.WaveReported{Sent: action}) })
	}
}

func (world *world) maintain(vm identifier.VM) *classifier.Error {
	services := world.services
	if services.away[vm] {
		return classifier.New(classifier.MinionBusy, "not up")
	}
	if slices.Contains(services.upkept, vm) {
		return nil
	}
	services.away[vm] = true
	services.upkept = append(services.upkept, vm)
	services.mostAway = max(services.mostAway, len(services.away))
	for _, minion := range world.sorted() {
		if vmOf(minion) == vm {
			if len(minion.runs) > 0 {
				world.broken("%s: upkeep ends %d runs", vm, len(minion.runs))
			}
			minion.crash()
			world.after(upkeepTime, func() {
				delete(services.away, vm)
				minion.start()
				for _, node := range world.nodes {
					world.report(node)
				}
			})
		}
	}
	return nil
}

// TestAdviceIsAskedAndTicketsAreFresh guards against a start on a minion that
// the advice service did not approve, or with a ticket that has expired.
func TestAdviceIsAskedAndTicketsAreFresh(t *testing.T) {
	c := quicktest.New(t)
	world := newWorld(1, 1, 12)
	world.services.approved = func(minion identifier.Minion) bool { return minion >= "m08" }
	world.crown(world.nodes[0])
	job := jobOf("a",
		specifier.Step{Tasks: 4, Request: taskOf(1000, 8), EstimatedRunTime: time.Second, Gang: true},
		specifier.Step{Tasks: 6, Request: taskOf(1000, 8), EstimatedRunTime: 3 * time.Second, DependsOn: []int{0}})
	job.Queue = advised
	world.submit(job)
	world.run(15 * time.Second)
	c.Assert(world.state("a"), quicktest.Equals, specifier.Completed)
	c.Assert(world.failures, quicktest.HasLen, 0)
	c.Assert(world.services.asked < 12, quicktest.IsTrue, quicktest.Commentf("asked %d times", world.services.asked))
}

// TestWaveOfUpkeep guards against a wave that is late, that takes more VMs away
// at a time than it may, that ends work which could have moved, and that is
// reported as complete too soon. Another holder goes on with it.
func TestWaveOfUpkeep(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		c := quicktest.New(t)
		world := newWorld(1, 2, 6)
		world.crown(world.nodes[0])
		for _, id := range []string{"a", "b", "c"} {
			world.submit(jobOf(id, specifier.Step{Tasks: 4, Request: taskOf(1000, 2), EstimatedRunTime: 2 * time.Second, Checkpoints: id == "b"}))
		}
		world.submit(jobOf("lasting", specifier.Step{Tasks: 2, Request: taskOf(1000, 1), LongRunning: true, MaxUnavailable: 1}))
		world.run(500 * time.Millisecond)
		wave := messenger.Wave{Wave: 1, VMs: []identifier.VM{"vm-m00", "vm-m01", "vm-m02", "vm-m05"}, Duration: 25 * time.Second, MaxUnavailable: 2}
		for _, node := range world.nodes {
			world.step(node, messenger.WavesRead{Waves: []messenger.Wave{wave}})
		}
		world.run(3 * time.Second)
		if takeover {
			world.nodes[0].alive = false
			world.crown(world.nodes[1])
		}
		world.run(22 * time.Second)
		c.Assert(world.services.upkept, quicktest.HasLen, 4)
		c.Assert(world.services.mostAway <= 2, quicktest.IsTrue)
		c.Assert(world.services.reported[len(world.services.reported)-1], quicktest.Equals, messenger.ReportWave{Wave: 1, Completed: true})
		c.Assert(world.failures, quicktest.HasLen, 0)
		for _, id := range []identifier.Job{"a", "b", "c"} {
			c.Assert(world.state(id), quicktest.Equals, specifier.Completed)
		}
	}
}
