package planner_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"corianderroad/messenger"
	"corianderroad/specifier"
)

const (
	// outageTime is the time in which all faults of the store, holders and minions end.
	outageTime = 35 * time.Second
	// claimRetryDelay is the time between two attempts to claim.
	claimRetryDelay = 50 * time.Millisecond
	// processStartTime is the time from the start of a killed process to its claim.
	processStartTime = 100 * time.Millisecond
)

// holderFault is what keeps a holder from renewing its claim.
type holderFault string

const (
	holderCutOff    holderFault = "cut-off"   // from the store, but not from the minions
	holderNotHeard  holderFault = "not-heard" // only its claims are not appended
	holderFrozen    holderFault = "frozen"
	holderKilled    holderFault = "killed"
	holderRestarted holderFault = "restarted" // it claims again at once
)

// takeover is a change of the holder.
type takeover struct {
	fault holderFault
	// after is the time from the former takeover, or from the first fault of the
	// store.
	after time.Duration
	// span is how long the former holder is frozen, or how long a killed process does
	// not run.
	span time.Duration
	// noticeDelay is the time from the claim until the former holder knows of it.
	noticeDelay time.Duration
	// next is the index of the next holder.
	next int
}

func drawMilliseconds(t *rapid.T, label string, from, to int) time.Duration {
	return time.Duration(rapid.IntRange(from, to).Draw(t, label)) * time.Millisecond
}

func drawTakeovers(t *rapid.T) []takeover {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) takeover {
		return takeover{
			fault:       rapid.SampledFrom([]holderFault{holderNotHeard, holderCutOff, holderKilled, holderRestarted, holderFrozen}).Draw(t, "fault"),
			after:       drawMilliseconds(t, "after", 0, 3000),
			span:        drawMilliseconds(t, "span", 100, 3000),
			noticeDelay: drawMilliseconds(t, "notice-delay", 0, int(stepDownDelay.Milliseconds())),
			next:        rapid.IntRange(0, 2).Draw(t, "next"),
		}
	}), 1, 3).Draw(t, "takeovers")
}

// beginTakeovers lets the holders fail one after another.
func (simulation *simulation) beginTakeovers(takeovers []takeover) {
	if len(takeovers) > 0 {
		simulation.schedule(takeovers[0].after, func() {
			simulation.failHolder(takeovers[0], func() { simulation.beginTakeovers(takeovers[1:]) })
		})
	}
}

// failHolder lets the holder fail and another node claim in its place.
func (simulation *simulation) failHolder(takeover takeover, then func()) {
	former := simulation.holder()
	if former == nil { // the next claim is under way
		simulation.claim(takeover.next, then)
		return
	}
	former.token = 0 // its renewals end
	simulation.noteFault("holder-fault: %s %s", former.name, takeover.fault)
	next := takeover.next
	switch takeover.fault {
	case holderCutOff:
		simulation.store.unreachableFrom[former] = true
	case holderNotHeard:
	case holderFrozen:
		former.frozen = true
		simulation.schedule(takeover.span, func() { simulation.thaw(former) })
	case holderKilled, holderRestarted:
		former.alive = false
		index := simulation.indexOf(former)
		simulation.schedule(takeover.span, func() { simulation.restartNode(index) })
		if takeover.fault == holderRestarted {
			next = index
		}
	}
	simulation.claim(next, func() {
		simulation.schedule(takeover.noticeDelay, func() { simulation.notify(former) })
		then()
	})
}

// holder returns the node that renews its claim, nil if there is none.
func (simulation *simulation) holder() *node {
	for _, node := range simulation.nodes {
		if node.token != 0 && node.alive {
			return node
		}
	}
	return nil
}

func (simulation *simulation) indexOf(wanted *node) int {
	for index, node := range simulation.nodes {
		if node == wanted {
			return index
		}
	}
	panic("unknown node " + string(wanted.name))
}

// claim makes a node the holder as soon as it may claim, unless another node has
// claimed meanwhile. A node that is not available leaves the claim to the next one.
func (simulation *simulation) claim(next int, then func()) {
	node := simulation.nodes[next]
	switch {
	case simulation.holder() != nil:
		then()
	case simulation.mayClaim(node):
		simulation.makeHolder(node)
		then()
	default:
		if (!node.alive && simulation.store.renewedBy != node.name) || node.frozen || simulation.store.unreachableFrom[node] {
			next = (next + 1) % len(simulation.nodes)
		}
		simulation.schedule(claimRetryDelay, func() { simulation.claim(next, then) })
	}
}

// mayClaim reports whether a node that is not the holder may claim. A process that has
// replaced the holder's may do so at once. Any other node must have read no renewal for
// claimTimeout.
func (simulation *simulation) mayClaim(node *node) bool {
	store := simulation.store
	if !node.alive || !store.isReachableFrom(node) {
		return false
	}
	if store.renewedBy == node.name && node.started.After(store.renewedAt) {
		return !simulation.now.Before(node.started.Add(processStartTime))
	}
	return !simulation.now.Before(store.renewedAt.Add(claimTimeout)) && !simulation.now.Before(store.upSince.Add(claimTimeout))
}

// notify lets a former holder read that another node has claimed.
func (simulation *simulation) notify(former *node) {
	switch {
	case former.frozen:
		simulation.schedule(stepDownDelay, func() { simulation.notify(former) })
	case former.token == 0:
		delete(simulation.store.unreachableFrom, former)
		simulation.step(former, messenger.HolderChanged{})
		simulation.deliverJournal(former)
	}
}

// thaw lets a frozen process run again. It first handles the events that have reached
// it meanwhile.
func (simulation *simulation) thaw(node *node) {
	pending := node.pendingEvents
	node.frozen, node.pendingEvents = false, nil
	for _, event := range pending {
		simulation.step(node, event)
	}
	simulation.deliverJournal(node)
}

// restartNode starts the process of a killed node again.
func (simulation *simulation) restartNode(index int) {
	simulation.nodes[index] = simulation.newNode(string(simulation.nodes[index].name))
	simulation.step(simulation.nodes[index], messenger.PolicyRead{Policy: livenessPolicy(), SentAt: simulation.now})
	simulation.deliverJournal(simulation.nodes[index])
}

// storeOutage is a time without answers to appends and an outage of the store.
type storeOutage struct {
	lossesAt, lossesFor time.Duration
	// notDone, late, lostAnswers and lostRenewals are shares, see fakeStore.
	notDone, late, lostAnswers, lostRenewals float64
	downAt, downFor                          time.Duration
	lapsed                                   []*fakeMinion
}

func drawStoreOutage(t *rapid.T, simulation *simulation, from time.Duration) storeOutage {
	outage := storeOutage{lossesAt: from + drawMilliseconds(t, "losses-at", 500, 2500), lossesFor: drawMilliseconds(t, "losses-for", 500, 3000)}
	outage.notDone = rapid.SampledFrom([]float64{0.5, 0, 1}).Draw(t, "not-done")
	outage.late = (1 - outage.notDone) * rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "late-appends")
	outage.lostAnswers = (1 - outage.notDone - outage.late) * rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "lost-append-answers")
	outage.lostRenewals = rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "lost-renewals")
	outage.downAt = outage.lossesAt + outage.lossesFor - drawMilliseconds(t, "overlap", 0, 500)
	outage.downFor = drawMilliseconds(t, "down-for", 1000, 4500)
	share := rapid.SampledFrom([]float64{0.2, 0.5, 0.8}).Draw(t, "lapsed-share")
	for _, minion := range simulation.sortedMinions() {
		if simulation.random.Float64() < share {
			outage.lapsed = append(outage.lapsed, minion)
		}
	}
	return outage
}

// injectStoreOutage schedules a fault of the store.
func (simulation *simulation) injectStoreOutage(outage storeOutage) {
	store := simulation.store
	simulation.schedule(outage.lossesAt, func() {
		store.notDoneShare, store.lateShare, store.lostAnswerShare = outage.notDone, outage.late, outage.lostAnswers
		store.lostRenewalShare = outage.lostRenewals
	})
	simulation.schedule(outage.lossesAt+outage.lossesFor, store.endLosses)
	simulation.schedule(outage.downAt, func() { simulation.stopStore(outage.lapsed) })
	simulation.schedule(outage.downAt+outage.downFor, simulation.returnStore)
}

// drawOutageFaults sets the faults of orders and tasks. It returns a function that
// ends them.
func drawOutageFaults(t *rapid.T, simulation *simulation) func() {
	simulation.lostAnswerShare = rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "lost-answers")
	simulation.lateOrderShare = rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "late-orders")
	simulation.outdatedListShare = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "outdated-lists")
	simulation.delayVariation = rapid.SampledFrom([]time.Duration{0, 60 * time.Millisecond}).Draw(t, "delay-variation")
	failures := rapid.SampledFrom([]float64{0.2, 0, 0.5}).Draw(t, "failures")
	simulation.fails = func(*fakeRun) bool { return simulation.random.Float64() < failures }
	// The runs of a task take different times, so that one may end soon and the next one
	// last for as long as an outage.
	factors := rapid.SampledFrom([][]float64{{0.3, 3}, {1}, {0.3, 0.3, 3}}).Draw(t, "run-time-factors")
	simulation.workTime = func(run *fakeRun) time.Duration {
		attempt := slices.Index(simulation.taskState(run.task).startedRuns, run.number)
		return time.Duration(float64(run.spec.EstimatedRunTime) * factors[attempt%len(factors)])
	}
	for _, minion := range simulation.sortedMinions() {
		minion.clockRate = 0.98 + 0.04*simulation.random.Float64()
	}
	for range rapid.IntRange(0, 3).Draw(t, "unreachable-minions") {
		minion := simulation.sortedMinions()[rapid.IntRange(0, livenessMinions-1).Draw(t, "unreachable")]
		at := drawMilliseconds(t, "unreachable-at", 0, 15000)
		simulation.schedule(at, func() { simulation.setReachable(false, minion.name) })
		simulation.schedule(at+drawMilliseconds(t, "unreachable-for", 100, 8000), func() { simulation.setReachable(true, minion.name) })
	}
	return func() {
		simulation.lostAnswerShare, simulation.lateOrderShare, simulation.delayVariation, failures = 0, 0, 0, 0
		simulation.outdatedListShare = 0
	}
}

// drawOutageJob returns a job of random kinds. Steps of single tasks are wider than in
// stepKinds, so that some of their tasks are affected by each fault.
func drawOutageJob(t *rapid.T, id string, now time.Time) specifier.Job {
	job := drawJob(t, id, now)
	if job.Queue == adviceQueue { // a ticket expires before a late start arrives
		job.Queue = normalQueue
	}
	factor := rapid.SampledFrom([]int{1, 2, 6}).Draw(t, "width")
	for index := range job.Steps {
		if step := &job.Steps[index]; !step.Gang && !step.LongRunning {
			step.Tasks *= factor
		}
	}
	return job
}

// submitOutageJobs submits jobs of random kinds at random times, up to the given number.
func submitOutageJobs(t *rapid.T, simulation *simulation, maxJobs int) {
	for number := range rapid.IntRange(1, maxJobs).Draw(t, "jobs") {
		at := drawMilliseconds(t, "at", 0, 12000)
		job := drawOutageJob(t, fmt.Sprintf("j%02d", number), simulation.now.Add(at))
		simulation.schedule(at, func() { simulation.submitUntilAccepted(job) })
	}
}

// finishOutage ends the faults that are left, and fails unless all jobs end.
func (simulation *simulation) finishOutage(t *rapid.T, endFaults func()) {
	simulation.advance(outageTime)
	endFaults()
	simulation.reconnect()
	simulation.advance(completionTime)
	simulation.checkAttempts()
	simulation.checkAllEnded()
	simulation.failOnViolations(t)
}

// TestInvariantsUnderStoreOutages guards against two runs of a task at the same time,
// because a new holder whose list lacks live minions takes an end for the last one of
// its task, and against jobs that never end after an outage of the store.
func TestInvariantsUnderStoreOutages(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		simulation := newLivenessSimulation(rapid.Uint64().Draw(t, "seed"))
		endFaults := drawOutageFaults(t, simulation)
		simulation.makeHolder(simulation.nodes[0])
		submitOutageJobs(t, simulation, 12)
		from := time.Duration(0)
		for range rapid.IntRange(1, 3).Draw(t, "outages") {
			outage := drawStoreOutage(t, simulation, from)
			simulation.injectStoreOutage(outage)
			takeovers := drawTakeovers(t)
			simulation.schedule(outage.lossesAt, func() { simulation.beginTakeovers(takeovers) })
			from = outage.downAt + outage.downFor
		}
		simulation.finishOutage(t, endFaults)
	})
}

// reconnect ends the faults of the holders that are still cut off from the store. They
// read that another node has claimed.
func (simulation *simulation) reconnect() {
	for _, node := range simulation.nodes {
		if simulation.store.unreachableFrom[node] {
			simulation.notify(node)
		}
	}
}

// checkAllEnded checks that all finite jobs have ended and that all tasks of the
// others run.
func (simulation *simulation) checkAllEnded() {
	for id, job := range simulation.jobs {
		if !job.IsLongRunning() {
			if state := simulation.recordedState(id); !state.IsFinal() {
				simulation.reportViolation("%s is %s after the faults have ended", id, state)
			}
			continue
		}
		for index := range job.Steps[0].Tasks {
			if task := (specifier.Task{Job: id, Index: index}); len(simulation.taskState(task).running) != 1 {
				simulation.reportViolation("%s does not run after the faults have ended", task)
			}
		}
	}
}

// failOnViolations fails with the violations and the decisions about the first one.
func (simulation *simulation) failOnViolations(t *rapid.T) {
	if len(simulation.violations) == 0 {
		return
	}
	_, subject, _ := strings.Cut(simulation.violations[0], " ")
	job := subject[:strings.IndexAny(subject, ". ")]
	t.Fatalf("%s\n%s", strings.Join(simulation.violations, "\n"), simulation.decisionsAbout(job))
}
