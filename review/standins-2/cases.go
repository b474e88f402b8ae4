//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Labels of the two kinds of minions.
const (
	kindA = "a"
	kindB = "b"
)

// otherMinions is the number of minions beside those that a case names, so that one minion is
// no larger share than the site's disruptions have.
const otherMinions = 7

// cancelBound is cancel_ms and contactBound contactMs of the settings.
const (
	cancelBound  = 3 * time.Second
	contactBound = 4 * time.Second
)

// start starts three nodes with one route.
func start(ctx context.Context, deployment *deployment) error {
	deployment.configure(newRoute("r-3ajwyy7"))
	return deployment.startNodes(ctx, 3)
}

// overlap describes two runs of one task that went on at the same time, empty if there are
// none.
func overlap(deployment *deployment, id string) string {
	runs := deployment.recorder.runsOf(id)
	now := time.Now()
	endOf := func(run taskRun) time.Time {
		if run.ended.IsZero() {
			return now
		}
		return run.ended
	}
	for index, one := range runs {
		for _, other := range runs[index+1:] {
			from, to := other.begun, endOf(one)
			if end := endOf(other); end.Before(to) {
				to = end
			}
			if one.task == other.task && to.After(from) {
				return fmt.Sprintf("TWICE: %s ran as run %d on %s and as run %d on %s at the same time, from %.3f s to %.3f s", one.task,
					one.number, one.minion, other.number, other.minion, deployment.recorder.seconds(from), deployment.recorder.seconds(to))
			}
		}
	}
	return ""
}

// runRestart restarts an idle minion in the other region under its ID. The next life carries out
// a start before the holder knows of it. When the holder hears of the restart, it gives up
// the run and starts the task on another minion, before it has asked what the next life runs.
func runRestart(ctx context.Context, deployment *deployment, trouble string) (string, error) {
	const (
		id          = "5c0e7a21d94b36f8"
		downtime    = 300 * time.Millisecond
		reportDelay = heartbeatInterval / 2
	)
	first, err := deployment.addMinion("i-7f3a91c2", kindB, "r1-1")
	if err != nil {
		return "", err
	}
	first.latency = 30 * time.Millisecond // between two regions
	if _, err := deployment.addMinion("i-9e22b0d4", kindB, "r1-3"); err != nil {
		return "", err
	}
	if err := deployment.addMinions(otherMinions, kindA); err != nil {
		return "", err
	}
	if err := start(ctx, deployment); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	if trouble != "0" {
		first.crash()
		time.Sleep(downtime)
		first.delayReport(reportDelay)
		first.begin([]string{kindB, "r1-1"})
		time.Sleep(100 * time.Millisecond)
	}
	if err := deployment.submit(ctx, id, newJob(newStep(4*time.Second, kindB))); err != nil {
		return "", err
	}
	time.Sleep(8 * time.Second)
	return overlap(deployment, id), nil
}

// runLease restarts a minion under its ID and then cuts it off. A poll that was meant for
// the earlier life gives the next one a lease that is longer than the holder assumes.
func runLease(ctx context.Context, deployment *deployment, trouble string) (string, error) {
	const (
		id        = "5c0e7a21d94b36f8"
		lifetime  = 12 * time.Second
		downtime  = 500 * time.Millisecond
		cutLength = 5500 * time.Millisecond
	)
	// The holder polls the next life before it reads its first entry.
	const reportDelay = heartbeatInterval / 2
	first, err := deployment.addMinion("i-7f3a91c2", kindB, "r1-1")
	if err != nil {
		return "", err
	}
	if err := deployment.addMinions(otherMinions, kindA); err != nil {
		return "", err
	}
	begun := time.Now()
	if err := start(ctx, deployment); err != nil {
		return "", err
	}
	if err := deployment.submit(ctx, id, newJob(newStep(30*time.Second, kindB))); err != nil {
		return "", err
	}
	if _, err := deployment.awaitRun(ctx, id, func(taskRun) bool { return true }); err != nil {
		return "", err
	}
	sleepUntil(begun.Add(lifetime))
	if trouble == "1" || trouble == "crash" {
		first.crash()
		time.Sleep(downtime)
		first.delayReport(reportDelay)
		first.begin([]string{kindB, "r1-1"})
		if _, err := deployment.awaitRun(ctx, id, func(run taskRun) bool { return run.life == 2 }); err != nil {
			return "", err
		}
	}
	if _, err := deployment.addMinion("i-9e22b0d4", kindB, "r1-3"); err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	if trouble == "1" || trouble == "cut" {
		first.setCut(true)
		time.Sleep(cutLength)
		first.setCut(false)
	}
	time.Sleep(8 * time.Second)
	return overlap(deployment, id), nil
}

// runLateStart delays the start of a task at a minion that crashes then. The holder forgets
// that the start may still arrive when it removes the minion, and the minion's next life
// under the same ID carries it out.
func runLateStart(ctx context.Context, deployment *deployment, trouble string) (string, error) {
	const (
		id       = "5c0e7a21d94b36f8"
		delay    = 9 * time.Second
		downtime = 5400 * time.Millisecond
		// lateWindow is the time in which orders may be late; one is.
		lateWindow = 5500 * time.Millisecond
	)
	first, err := deployment.addMinion("i-7f3a91c2", kindB, "r1-1")
	if err != nil {
		return "", err
	}
	if err := deployment.addMinions(otherMinions, kindA); err != nil {
		return "", err
	}
	if err := start(ctx, deployment); err != nil {
		return "", err
	}
	done, stop := context.WithCancel(ctx)
	defer stop()
	go submitOthers(done, deployment, deployment.nodes...)
	time.Sleep(3 * time.Second)
	ordersBefore := deployment.recorder.countOrders()
	delayed := make(chan struct{})
	if trouble == "1" || trouble == "late" {
		isFirst := true
		first.intercept = func(path string, order *minionOrder) time.Duration {
			if path != "/api/run-start" || !isFirst {
				return 0
			}
			isFirst = false
			close(delayed)
			return delay
		}
	}
	if err := deployment.submit(ctx, id, newJob(newStep(9*time.Second, kindB))); err != nil {
		return "", err
	}
	if first.intercept != nil {
		select {
		case <-delayed:
		case <-ctx.Done():
			return "", ctx.Err()
		}
	} else if _, err := deployment.awaitRun(ctx, id, func(taskRun) bool { return true }); err != nil {
		return "", err
	}
	time.Sleep(100 * time.Millisecond)
	if trouble == "1" || trouble == "crash" {
		first.crash()
		time.AfterFunc(downtime, func() { first.begin([]string{kindB, "r1-1"}) })
	}
	if _, err := deployment.addMinion("i-9e22b0d4", kindB, "r1-3"); err != nil {
		return "", err
	}
	time.Sleep(lateWindow)
	deployment.recorder.log("minions: %d orders arrived in the %s after the job was submitted", deployment.recorder.countOrders()-ordersBefore, lateWindow)
	time.Sleep(20 * time.Second)
	return overlap(deployment, id), nil
}

// runCancellation loses the answers to the appends of a submission, which are carried out late.
// The caller is told that the outcome is unknown, cancels the job at another node, and is told
// that it does not exist. It runs all the same.
func runCancellation(ctx context.Context, deployment *deployment, trouble string) (string, error) {
	const (
		id    = "5c0e7a21d94b36f8"
		delay = 6 * time.Second
		steps = 12
	)
	if err := deployment.addMinions(otherMinions, kindA); err != nil {
		return "", err
	}
	if err := start(ctx, deployment); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	if trouble != "0" {
		deployment.store.lose = func(_, topic string, records []storedRecord) *lostAppend {
			for _, record := range records {
				if topic == "keyed.journal" && record.key == "job/"+id {
					return &lostAppend{delay}
				}
			}
			return nil
		}
	}
	done, stop := context.WithCancel(ctx)
	defer stop()
	first, second, third := deployment.nodesByRole()
	go submitOthers(done, deployment, second, third)
	time.Sleep(time.Second)
	chain := []step{newStep(2*time.Second, "")}
	for index := range steps - 1 {
		chain = append(chain, newStep(2*time.Second, "", index))
	}
	writesBefore, _ := deployment.store.counts()
	submission := deployment.call(first, http.MethodPost, id, newJob(chain...))
	cancellation := deployment.call(second, http.MethodDelete, id, nil)
	writes, lost := deployment.store.counts()
	deployment.recorder.log("store: %d of %d writing calls got no response since the job was submitted", lost, writes-writesBefore)
	if isAcknowledged := cancellation.status/100 == 2 || cancellation.status == http.StatusGone; !isAcknowledged {
		return "", fmt.Errorf("the cancellation was answered with %d", cancellation.status)
	}
	if trouble == "0" && submission.status/100 != 2 {
		return "", fmt.Errorf("the submission was answered with %d", submission.status)
	}
	time.Sleep(27 * time.Second)
	deployment.call(third, http.MethodGet, id, nil)
	// Starts count from the cancellation's bound on, and once the store has been without
	// disruption for as long as machines must be to be in touch.
	from := cancellation.at.Add(cancelBound)
	if calm := deployment.store.lastLateAppend().Add(contactBound); calm.After(from) {
		from = calm
	}
	for _, run := range deployment.recorder.runsOf(id) {
		if run.begun.After(from) {
			return fmt.Sprintf("UNASKED: %s run %d started at %.3f s, %.3f s after its cancellation was answered with %d", run.task, run.number,
				deployment.recorder.seconds(run.begun), run.begun.Sub(cancellation.at).Seconds(), cancellation.status), nil
		}
	}
	return "", nil
}

// submitOthers submits other jobs at a constant rate, until the context ends.
func submitOthers(ctx context.Context, deployment *deployment, nodes ...*node) {
	for number := 0; ctx.Err() == nil; number++ {
		node := nodes[number%len(nodes)]
		go deployment.call(node, http.MethodPost, fmt.Sprintf("00000000%08x", number), newJob(newStep(300*time.Millisecond, kindA)))
		time.Sleep(200 * time.Millisecond)
	}
}

// runVerdict cuts off each minion that runs the task of a job. The run ends there as done, then
// the minion starts again under its ID behind the cut. No minion has crashed under the task, but
// the job is given up as one that crashes its minions.
func runVerdict(ctx context.Context, deployment *deployment, trouble string) (string, error) {
	const (
		id         = "5c0e7a21d94b36f8"
		work       = time.Second
		untilCut   = 500 * time.Millisecond // from the start of the run
		untilCrash = 1500 * time.Millisecond
		downtime   = time.Second
		maxCuts    = 4
	)
	if err := deployment.addMinions(otherMinions+1, kindA); err != nil {
		return "", err
	}
	if err := start(ctx, deployment); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	if err := deployment.submit(ctx, id, newJob(newStep(work, ""))); err != nil {
		return "", err
	}
	for cuts := 0; trouble != "0" && cuts < maxCuts; cuts++ {
		run, err := deployment.awaitRunOrEnd(ctx, id, cuts)
		if err != nil {
			return "", err
		}
		if run == nil {
			break
		}
		minion := deployment.minion(run.minion)
		sleepUntil(run.begun.Add(untilCut))
		minion.setCut(true)
		time.Sleep(untilCrash)
		minion.crash()
		time.Sleep(downtime)
		minion.begin([]string{kindA, "r1-2"})
		minion.setCut(false)
	}
	time.Sleep(15 * time.Second)
	state := deployment.call(deployment.nodes[0], http.MethodGet, id, nil)
	if !strings.Contains(state.body, "failed") {
		return "", nil
	}
	for _, run := range deployment.recorder.runsOf(id) {
		if run.how == "failed" || run.how == "crashed" {
			return "", fmt.Errorf("run %d has ended as %s", run.number, run.how)
		}
	}
	return fmt.Sprintf("LOST: job %s is shown as %s, though none of its %d runs has failed and no minion has crashed under one", id, state.body,
		len(deployment.recorder.runsOf(id))), nil
}

// awaitRunOrEnd waits for the run of a job after the given number of others. It returns nil if
// there is none for as long as a lease and a takeover last.
func (deployment *deployment) awaitRunOrEnd(ctx context.Context, id string, earlier int) (*taskRun, error) {
	for waiting := time.Now(); time.Since(waiting) < maxHold; {
		if runs := deployment.recorder.runsOf(id); len(runs) > earlier {
			return &runs[earlier], nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		time.Sleep(5 * time.Millisecond)
	}
	return nil, nil
}

// minion returns the minion with an ID.
func (deployment *deployment) minion(id string) *minion {
	for _, minion := range deployment.minions {
		if minion.id == id {
			return minion
		}
	}
	return nil
}

// runLabel restarts a minion under its ID as one of another kind. Until the holder has read
// its entry, it starts tasks there that need the former kind.
func runLabel(ctx context.Context, deployment *deployment, trouble string) (string, error) {
	const (
		downtime    = 300 * time.Millisecond
		reportDelay = heartbeatInterval / 2
	)
	first, err := deployment.addMinion("i-7f3a91c2", kindB, "r1-1")
	if err != nil {
		return "", err
	}
	if _, err := deployment.addMinion("i-9e22b0d4", kindB, "r1-3"); err != nil {
		return "", err
	}
	if err := deployment.addMinions(otherMinions, kindA); err != nil {
		return "", err
	}
	if err := start(ctx, deployment); err != nil {
		return "", err
	}
	done, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		for number := 0; done.Err() == nil; number++ {
			node := deployment.nodes[number%len(deployment.nodes)]
			go deployment.call(node, http.MethodPost, fmt.Sprintf("5c0e7a21%08x", number), newJob(newStep(1500*time.Millisecond, kindB)))
			time.Sleep(150 * time.Millisecond)
		}
	}()
	time.Sleep(6 * time.Second)
	if trouble != "0" {
		first.crash()
		time.Sleep(downtime)
		first.delayReport(reportDelay)
		first.begin([]string{kindA, "r1-1"})
	}
	time.Sleep(5 * time.Second)
	stop()
	count, last := 0, taskRun{}
	for _, run := range deployment.recorder.runsWithPrefix("5c0e7a21") {
		if run.labels[0] != kindB {
			count++
			last = run
		}
	}
	if count == 0 {
		return "", nil
	}
	return fmt.Sprintf("ROUTE: %d tasks that need the label %q were started on %s, which has the labels %v, the last one, %s run %d, at %.3f s", count,
		kindB, last.minion, last.labels, last.task, last.number, deployment.recorder.seconds(last.begun)), nil
}

// runsWithPrefix returns copies of the runs of all tasks with a prefix.
func (recorder *recorder) runsWithPrefix(prefix string) []taskRun {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	var runs []taskRun
	for _, run := range recorder.runs {
		if strings.HasPrefix(run.task, prefix) {
			runs = append(runs, *run)
		}
	}
	return runs
}
