package main

import (
	"context"
	"fmt"
	"time"
)

// Times of the case in which a route is replaced by one of another name.
const (
	stepTime = 3 * time.Second
	// finishTime is how long after the end of the traffic jobs are asked for.
	finishTime = 14 * time.Second
)

// playRename submits a job of two steps, the second of which depends on the first. While the first
// one runs, a configuration replaces the job's route by one of another name at the same host and
// path. All else stays.
func playRename(ctx context.Context, deployment *deployment, isTroubled bool) (bool, error) {
	if err := pause(ctx, 5*time.Second); err != nil {
		return false, err
	}
	const id = "5c0e7a21d94b36f8"
	step := stepBody{Count: 2, resources: resources{8000, 32000, 4}, EstimateMS: int(stepTime.Milliseconds())}
	second := step
	second.DependsOn = []int{0}
	if !deployment.submit(id, workSpec{MS: int(stepTime.Milliseconds())}, []stepBody{step, second}, 0) {
		return false, fmt.Errorf("the job is not accepted")
	}
	if err := pause(ctx, time.Second); err != nil {
		return false, err
	}
	if isTroubled {
		deployment.store.write("keyed.op", "config", configuration(8, "r-renamed", 4))
		deployment.log.add("operator replaces the route r-ce7ejsm by r-renamed at the same host and path")
	}
	if err := pause(ctx, stepTime); err != nil {
		return false, err
	}
	const later = "5c0e7a21d94b36f9"
	if !deployment.submit(later, workSpec{MS: int(stepTime.Milliseconds())}, []stepBody{step}, 0) {
		return false, fmt.Errorf("the later job is not accepted")
	}
	if err := pause(ctx, stepTime+finishTime); err != nil {
		return false, err
	}
	if state := deployment.state(later); state != "completed" {
		return false, fmt.Errorf("the later job is %s", state)
	}
	state := deployment.state(id)
	if state == "completed" {
		return false, nil
	}
	deployment.log.add("BROKEN: LOST: the accepted job is shown as %s and has nothing running, with %d of %d accelerators free", state,
		deployment.pool.freeAccelerators(), 8*len(deployment.cloud.machines))
	return true, nil
}
