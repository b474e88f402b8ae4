package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

// downTime is how long a machine is down after a crash of its minion.
const downTime = 2 * time.Second

// Times of the case in which services run while minions crash.
const (
	serviceCrashes  = 20
	serviceInterval = 4 * time.Second
	serviceID       = "5c0e7a21d94b36f8"
)

// Times of the case in which tasks that last must run again.
const (
	// crashAge is the time from the start of the tasks to the crash of their minion.
	crashAge = 25 * time.Second
	// A task that lasts breaks the rule if it has no run for idleTime, from restartTime after its
	// last run on, while that and the calmTime before it are calm.
	restartTime = 6 * time.Second
	idleTime    = 3 * time.Second
	calmTime    = 4 * time.Second
)

// draws returns a source of the minions that crash, which SEED changes.
func draws() *rand.Rand {
	seed, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	if err != nil {
		seed = 1
	}
	return rand.New(rand.NewPCG(seed, 11))
}

// crashOne crashes the minion of a machine that is drawn.
func (deployment *deployment) crashOne(random *rand.Rand) {
	deployment.pool.mutex.Lock()
	var up []*minion
	for _, minion := range deployment.pool.minions {
		up = append(up, minion)
	}
	slices.SortFunc(up, func(one, other *minion) int { return strings.Compare(one.machine, other.machine) })
	victim := up[random.IntN(len(up))]
	deployment.pool.mutex.Unlock()
	deployment.crash(victim)
}

// crash crashes a minion. Its machine is back after downTime, as another minion at the same address.
func (deployment *deployment) crash(victim *minion) {
	victim.crash("it crashes")
	time.AfterFunc(downTime, func() {
		if _, err := deployment.pool.launch(victim.machine, victim.zone, victim.rack, victim.address, victim.capacity); err != nil {
			deployment.log.add("machine %s does not come back: %v", victim.machine, err)
		}
	})
}

// playService runs a job of tasks that last while one minion of eight after the other crashes. The
// job must not be shown as failed, because none of its runs ends failed.
func playService(ctx context.Context, deployment *deployment, isTroubled bool) (bool, error) {
	if err := pause(ctx, 3*time.Second); err != nil {
		return false, err
	}
	steps := []stepBody{{Count: 7, resources: resources{16000, 64000, 8}, EstimateMS: 1000, LongRunning: true}}
	if !deployment.submit(serviceID, workSpec{Lasts: true}, steps, 0) {
		return false, fmt.Errorf("the job is not accepted")
	}
	random := draws()
	for range serviceCrashes {
		if err := pause(ctx, serviceInterval); err != nil {
			return false, err
		}
		if isTroubled {
			deployment.crashOne(random)
		}
	}
	if err := pause(ctx, serviceInterval); err != nil {
		return false, err
	}
	state, failed := deployment.state(serviceID), deployment.jobs.endsOf(serviceID, "failed")
	if state != "running" {
		deployment.log.add("BROKEN: LOST: the job, which nobody has cancelled, is shown as %s, and %d of its runs have ended failed", state, failed)
	}
	return state != "running", nil
}

// playRestarts runs a job of two tasks that last, which fit on one minion of eight. That minion
// crashes, and after a while the one on which they run since. In the calm after that both tasks must
// run again.
func playRestarts(ctx context.Context, deployment *deployment, isTroubled bool) (bool, error) {
	if err := pause(ctx, 3*time.Second); err != nil {
		return false, err
	}
	steps := []stepBody{{Count: 2, resources: resources{8000, 32000, 4}, EstimateMS: 1000, LongRunning: true}}
	if !deployment.submit(serviceID, workSpec{Lasts: true}, steps, 0) {
		return false, fmt.Errorf("the job is not accepted")
	}
	for range 2 {
		if err := pause(ctx, crashAge); err != nil {
			return false, err
		}
		if isTroubled {
			deployment.crash(deployment.jobs.minionOf(serviceID))
		}
	}
	calmSince, isBroken := time.Now().Add(downTime), false
	for time.Since(calmSince) < crashAge && !isBroken {
		if err := pause(ctx, 100*time.Millisecond); err != nil {
			return false, err
		}
		if time.Since(calmSince) < calmTime+idleTime {
			continue
		}
		for task, since := range deployment.jobs.idleTasks(time.Now().Add(-restartTime - idleTime)) {
			isBroken = true
			deployment.log.add("BROKEN: LOST: %s has had no run for %s, in calm for %s, with %d of %d accelerators free", task, time.Since(since).Round(time.Millisecond),
				time.Since(calmSince).Round(time.Millisecond), deployment.pool.freeAccelerators(), 8*len(deployment.cloud.machines))
		}
	}
	return isBroken, pause(ctx, crashAge) // the record shows when it runs again
}
