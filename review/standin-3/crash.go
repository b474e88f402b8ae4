package main

import (
	"context"
	"fmt"
	"time"
)

const (
	// downTime is how long a machine is down after a crash of its minion.
	downTime = 2 * time.Second
	// crashAge is the time from the start of the tasks to the crash of their minion.
	crashAge = 1800 * time.Millisecond
	// serviceTasks is the number of tasks that last. They fit on one minion.
	serviceTasks = 60
	// A task that lasts breaks the rule if it has no run for idleTime, from restartTime after its
	// last run on, while that and the calmTime before it are calm.
	restartTime = 6 * time.Second
	idleTime    = 3 * time.Second
	calmTime    = 4 * time.Second
	// watchTime is how long the tasks are watched after the crash.
	watchTime = 40 * time.Second
)

// crash crashes a minion. Its machine is back after downTime, as another minion at the same address.
func (deployment *deployment) crash(victim *minion) {
	victim.crash("it crashes")
	time.AfterFunc(downTime, func() {
		if _, err := deployment.pool.launch(victim.machine, victim.zone, victim.rack, victim.address, victim.capacity); err != nil {
			deployment.log.add("machine %s does not come back: %v", victim.machine, err)
		}
	})
}

// playService runs a job of many small tasks that last, which start on one minion of eight. Soon
// after their start the minion crashes, once. In the calm after that all tasks must run again.
func playService(ctx context.Context, deployment *deployment, isTroubled bool) (bool, error) {
	if err := pause(ctx, 5*time.Second); err != nil {
		return false, err
	}
	const id = "5c0e7a21d94b36f8"
	steps := []stepBody{{Count: serviceTasks, resources: resources{500, 2000, 0}, EstimateMS: 1000, LongRunning: true}}
	if !deployment.submit(id, workSpec{Lasts: true}, steps, 0) {
		return false, fmt.Errorf("the job is not accepted")
	}
	if err := pause(ctx, crashAge); err != nil {
		return false, err
	}
	if isTroubled {
		deployment.crash(deployment.jobs.minionOf(id))
	}
	calmSince, isBroken := time.Now().Add(downTime), false
	for time.Since(calmSince) < watchTime {
		if err := pause(ctx, 100*time.Millisecond); err != nil {
			return false, err
		}
		idle := deployment.jobs.idleTasks(time.Now().Add(-restartTime - idleTime))
		if len(idle) == 0 || time.Since(calmSince) < calmTime+idleTime {
			continue
		}
		isBroken = true
		deployment.log.add("BROKEN: LOST: %d of %d tasks that last have had no run for over %s, in calm for %s, with %d of %d thousandths of a core free", len(idle), serviceTasks,
			restartTime+idleTime, time.Since(calmSince).Round(time.Millisecond), deployment.pool.freeCPU(), 32000*len(deployment.cloud.machines))
	}
	return isBroken, nil
}
