package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

const (
	adviceTime      = 200 * time.Millisecond
	ticketValidity  = 2 * time.Second
	maintenanceTime = 2 * time.Second
)

// fakeServices simulates the advice service and the platform's list of VMs.
type fakeServices struct {
	// isApproved reports whether a minion may run the steps of the queue with
	// advice.
	isApproved     func(minion identifier.Minion) bool
	tickets        map[string]time.Time
	adviceRequests int
	// unavailable holds the VMs in maintenance, maxUnavailable the largest number
	// of them at a time.
	unavailable    map[identifier.VM]bool
	maxUnavailable int
	maintained     []identifier.VM
	// begun holds the maintenance of VMs for each wave, without tokens and
	// times.
	begun         map[messenger.MaintainVM]bool
	reportedWaves []messenger.ReportWave
	// waves holds the waves that the operator requested.
	waves map[identifier.Wave]messenger.Wave
	// refuseMaintenance returns why the platform refuses a maintenance, nil if it
	// does not.
	refuseMaintenance func(vm identifier.VM) *classifier.Error
	// refuseReport reports whether the store refuses the report of a wave.
	refuseReport func() bool
	// adviceDelay is how much later than announced the advice service answers.
	adviceDelay time.Duration
	// failAdvice reports whether the advice service answers with an error.
	failAdvice func() bool
	// lists is the number of lists of VMs that were sent, listDelay the time of one.
	lists     int
	listDelay time.Duration
	// omits reports whether a list of VMs lacks a VM.
	omits func(vm identifier.VM) bool
	// maintenanceDelay returns how long a request of a node for maintenance is on its
	// way.
	maintenanceDelay    func(node *node) time.Duration
	maintenanceRequests int
}

func newFakeServices() *fakeServices {
	return &fakeServices{
		isApproved: func(identifier.Minion) bool { return true },
		tickets:    make(map[string]time.Time), unavailable: make(map[identifier.VM]bool),
		waves:             make(map[identifier.Wave]messenger.Wave),
		begun:             make(map[messenger.MaintainVM]bool),
		refuseMaintenance: func(identifier.VM) *classifier.Error { return nil },
		failAdvice:        func() bool { return false },
		refuseReport:      func() bool { return false },
		listDelay:         latency,
		omits:             func(identifier.VM) bool { return false },
		maintenanceDelay:  func(*node) time.Duration { return latency },
	}
}

// vmName returns the VM of a minion.
func vmName(minion *fakeMinion) identifier.VM { return identifier.VM("vm-" + minion.name) }

func (simulation *simulation) performServiceAction(node *node, action messenger.Action) {
	services := simulation.services
	switch action := action.(type) {
	case messenger.RequestAdvice:
		simulation.advise(node, action)
	case messenger.ListPoolVMs:
		sentAt := simulation.now
		simulation.schedule(services.listDelay, func() { simulation.step(node, simulation.listVMs(sentAt)) })
	case messenger.MaintainVM:
		services.maintenanceRequests++
		simulation.schedule(services.maintenanceDelay(node), func() {
			simulation.step(node, messenger.VMMaintained{Sent: action, Err: simulation.maintainVM(action)})
		})
	case messenger.ReportWave:
		if services.refuseReport() {
			err := classifier.New(classifier.StoreBusy, "status 503")
			simulation.schedule(appendTime, func() { simulation.step(node, messenger.WaveReported{Sent: action, Err: err}) })
			return
		}
		services.reportedWaves = append(services.reportedWaves, action)
		simulation.schedule(appendTime, func() { simulation.step(node, messenger.WaveReported{Sent: action}) })
	}
}

// advise answers a request for advice, after the timeout if the service is too slow.
func (simulation *simulation) advise(node *node, action messenger.RequestAdvice) {
	services, sentAt := simulation.services, simulation.now
	services.adviceRequests++
	if adviceTime+services.adviceDelay > action.Timeout {
		simulation.schedule(action.Timeout, func() {
			simulation.step(node, messenger.AdviceReceived{Sent: action, SentAt: sentAt, Err: classifier.New(classifier.OutcomeUnknown, "no answer")})
		})
		return
	}
	simulation.schedule(adviceTime+services.adviceDelay, func() {
		received := messenger.AdviceReceived{Sent: action, SentAt: sentAt, Validity: ticketValidity}
		if services.failAdvice() {
			received.Err = classifier.New(classifier.MinionBusy, "too many calls wait")
			simulation.step(node, received)
			return
		}
		for _, minion := range action.Minions {
			if services.isApproved(minion) {
				value := string(minion) + simulation.now.String()
				services.tickets[value] = simulation.now.Add(ticketValidity)
				received.Tickets = append(received.Tickets, messenger.Ticket{Minion: minion, Ticket: value})
			}
		}
		simulation.step(node, received)
	})
}

// listVMs returns the VMs of the pool, but for those that the service omits.
func (simulation *simulation) listVMs(sentAt time.Time) messenger.PoolVMsListed {
	services := simulation.services
	services.lists++
	listed := messenger.PoolVMsListed{SentAt: sentAt}
	for _, minion := range simulation.sortedMinions() {
		if services.omits(vmName(minion)) {
			continue
		}
		state := messenger.VMUp
		if services.unavailable[vmName(minion)] {
			state = messenger.VMInMaintenance
		}
		listed.VMs = append(listed.VMs, messenger.VMReport{VM: vmName(minion), Pool: poolService, State: state, Minion: minion.name})
	}
	return listed
}

func (simulation *simulation) maintainVM(sent messenger.MaintainVM) *classifier.Error {
	services, vm := simulation.services, sent.VM
	sent.Token, sent.Expires = 0, time.Time{}
	if err := services.refuseMaintenance(vm); err != nil {
		return err
	}
	if services.unavailable[vm] {
		return classifier.New(classifier.MinionBusy, "not up")
	}
	if services.begun[sent] {
		return nil
	}
	services.begun[sent] = true
	services.unavailable[vm] = true
	services.maintained = append(services.maintained, vm)
	services.maxUnavailable = max(services.maxUnavailable, len(services.unavailable))
	for _, minion := range simulation.sortedMinions() {
		if vmName(minion) == vm {
			if len(minion.runs) > 0 {
				simulation.reportViolation("%s: maintenance ends %d runs", vm, len(minion.runs))
			}
			minion.crash()
			simulation.schedule(maintenanceTime, func() {
				delete(services.unavailable, vm)
				minion.start()
				for _, node := range simulation.nodes {
					simulation.deliverReports(node)
				}
			})
		}
	}
	return nil
}

// TestStartsUseValidTickets guards against a start on a minion that the advice
// service did not approve, or with a ticket that has expired.
func TestStartsUseValidTickets(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 12)
	simulation.services.isApproved = func(minion identifier.Minion) bool { return minion >= "m08" }
	simulation.makeHolder(simulation.nodes[0])
	job := jobOf("a",
		specifier.Step{Tasks: 4, Request: taskOf(1000, 8), EstimatedRunTime: time.Second, Gang: true},
		specifier.Step{Tasks: 6, Request: taskOf(1000, 8), EstimatedRunTime: 3 * time.Second, DependsOn: []int{0}})
	job.Queue = adviceQueue
	simulation.submit(job)
	simulation.advance(15 * time.Second)
	c.Assert(simulation.recordedState("a"), quicktest.Equals, specifier.Completed)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
	c.Assert(simulation.services.adviceRequests < 12, quicktest.IsTrue, quicktest.Commentf("%d advice requests", simulation.services.adviceRequests))
}

// TestMaintenanceWave guards against a wave that is late, that makes more VMs
// unavailable at a time than it may, that ends work which could have moved, or
// that is reported as complete too soon. It also covers a wave that another
// holder continues.
func TestMaintenanceWave(t *testing.T) {
	t.Parallel()
	for _, takeover := range []bool{false, true} {
		c := quicktest.New(t)
		simulation := newSimulation(1, 2, 6)
		simulation.makeHolder(simulation.nodes[0])
		for _, id := range []string{"a", "b", "c"} {
			simulation.submit(jobOf(id, specifier.Step{Tasks: 4, Request: taskOf(1000, 2), EstimatedRunTime: 2 * time.Second, Checkpoints: id == "b"}))
		}
		simulation.submit(jobOf("lasting", specifier.Step{Tasks: 2, Request: taskOf(1000, 1), LongRunning: true, MaxUnavailable: 1}))
		simulation.advance(500 * time.Millisecond)
		wave := messenger.Wave{Wave: 1, VMs: []identifier.VM{"vm-m00", "vm-m01", "vm-m02", "vm-m05"}, Duration: 25 * time.Second, MaxUnavailable: 2}
		for _, node := range simulation.nodes {
			simulation.step(node, messenger.WavesRead{Waves: []messenger.Wave{wave}})
		}
		simulation.advance(3 * time.Second)
		if takeover {
			simulation.nodes[0].alive = false
			simulation.makeHolder(simulation.nodes[1])
		}
		simulation.advance(22 * time.Second)
		c.Assert(simulation.services.maintained, quicktest.HasLen, 4)
		c.Assert(simulation.services.maxUnavailable <= 2, quicktest.IsTrue)
		c.Assert(simulation.services.reportedWaves[len(simulation.services.reportedWaves)-1], quicktest.Equals, messenger.ReportWave{Wave: 1, Completed: true})
		c.Assert(simulation.violations, quicktest.HasLen, 0)
		for _, id := range []identifier.Job{"a", "b", "c"} {
			c.Assert(simulation.recordedState(id), quicktest.Equals, specifier.Completed)
		}
	}
}
