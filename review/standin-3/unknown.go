package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Times of the case in which nobody knows of the life that carries out a late start.
const (
	// unknownDelay is how long after it was sent the unanswered start is carried out. The pages name
	// 2 to 12 s.
	unknownDelay = 4 * time.Second
	// serverCutTime is how long the minion is cut off from the nodes and the store.
	serverCutTime = 5500 * time.Millisecond
	longTaskTime  = 30 * time.Second
)

// playUnknown submits a job of one task. The order to start it gets no answer and is carried out
// late. Meanwhile its minion is cut off, crashes behind the cut and starts again under its ID.
func playUnknown(ctx context.Context, deployment *deployment, isTroubled bool) (bool, error) {
	if err := pause(ctx, 20*time.Second); err != nil {
		return false, err
	}
	pool := deployment.pool
	sent := make(chan *minion, 1)
	if isTroubled {
		var once sync.Once
		pool.mutex.Lock()
		pool.delay = func(minion *minion, path string) (delay time.Duration) {
			if path == "/api/run-start" {
				once.Do(func() {
					delay = unknownDelay
					sent <- minion
				})
			}
			return delay
		}
		pool.mutex.Unlock()
	}
	const id = "5c0e7a21d94b36f8"
	steps := []stepBody{{Count: 1, resources: resources{8000, 32000, 4}, EstimateMS: int(longTaskTime.Milliseconds())}}
	if !deployment.submit(id, workSpec{MS: int(longTaskTime.Milliseconds())}, steps, 0) {
		return false, fmt.Errorf("the job is not accepted")
	}
	if isTroubled {
		var former *minion
		select {
		case former = <-sent:
		case <-ctx.Done():
			return false, fmt.Errorf("no start was sent: %w", ctx.Err())
		}
		former.mode.Store(silent)
		deployment.log.add("minion %s is cut off", former.id)
		former.crash("it crashes behind the cut")
		if err := pause(ctx, rebornTime); err != nil {
			return false, err
		}
		next, err := pool.relaunchCutOff(former, serverCutTime-rebornTime)
		if err != nil {
			return false, err
		}
		if err := pause(ctx, serverCutTime-rebornTime); err != nil {
			return false, err
		}
		next.mode.Store(sound)
		deployment.log.add("minion %s can be reached again", next.id)
	}
	if err := pause(ctx, 20*time.Second); err != nil {
		return false, err
	}
	overlaps := deployment.jobs.overlapping()
	for _, overlap := range overlaps {
		deployment.log.add("BROKEN: TWICE: %s starts at %.3f while another run of it goes on", overlap.task, overlap.at.Sub(deployment.log.begun).Seconds())
	}
	return len(overlaps) > 0, nil
}
