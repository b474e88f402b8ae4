package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Times of the case in which a start is carried out late by the next life of its minion.
const (
	// startDelay is how long after it was sent the unanswered start is carried out. The pages name
	// 2 to 12 s.
	startDelay = 6 * time.Second
	// cutTime is how long the minion can't reach the store. The pages name 5 s.
	cutTime    = 5 * time.Second
	rebornTime = time.Second
	taskTime   = 1500 * time.Millisecond
)

// playReborn submits one job of one task. The first order to start it gets no answer and is
// carried out late. After the job has been shown as completed, its minion crashes behind a cut
// from the store and starts again under its ID.
func playReborn(ctx context.Context, deployment *deployment, isTroubled bool) (bool, error) {
	if err := pause(ctx, 5*time.Second); err != nil {
		return false, err
	}
	pool := deployment.pool
	sent := make(chan time.Time, 1)
	if isTroubled {
		var once sync.Once
		pool.mutex.Lock()
		pool.delay = func(_ *minion, path string) (delay time.Duration) {
			if path == "/api/run-start" {
				once.Do(func() {
					delay = startDelay
					sent <- time.Now()
				})
			}
			return delay
		}
		pool.mutex.Unlock()
	}
	const id = "5c0e7a21d94b36f8"
	steps := []stepBody{{Count: 1, resources: resources{8000, 32000, 4}, EstimateMS: int(taskTime.Milliseconds())}}
	if !deployment.submit(id, workSpec{MS: int(taskTime.Milliseconds())}, steps, 0) {
		return false, fmt.Errorf("the job is not accepted")
	}
	for deployment.state(id) != "completed" {
		if err := pause(ctx, 200*time.Millisecond); err != nil {
			return false, err
		}
	}
	if isTroubled {
		if passed := time.Since(<-sent); passed > startDelay-rebornTime-500*time.Millisecond {
			return false, fmt.Errorf("the job took %s", passed)
		}
		former := deployment.jobs.minionOf(id)
		former.crash("it crashes behind a cut from the store")
		if err := pause(ctx, rebornTime); err != nil {
			return false, err
		}
		if _, err := pool.relaunch(former, cutTime-rebornTime); err != nil {
			return false, err
		}
	}
	if err := pause(ctx, startDelay+cutTime); err != nil {
		return false, err
	}
	again := deployment.jobs.startedAgain()
	for _, start := range again {
		deployment.log.add("BROKEN: TWICE: %s starts at %.3f, after a run of it has ended done and that was taken note of", start.task, start.at.Sub(deployment.log.begun).Seconds())
	}
	status, _ := deployment.call(deployment.nodes[0], http.MethodGet, id, nil)
	if status != http.StatusOK {
		return false, fmt.Errorf("the job's state is answered with %d", status)
	}
	return len(again) > 0, nil
}
