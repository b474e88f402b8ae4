package main

import (
	"context"
	"fmt"
	"syscall"
	"time"
)

// upkeepDelay is how long after it was sent the unanswered call is carried out. The pages
// name 2 to 12 s.
const upkeepDelay = 8 * time.Second

// stopDelay is the time from that call to the planned stop of the node that has sent it.
const stopDelay = time.Second

// playWave requests a wave of upkeep with one machine at once. The first call for an upkeep gets
// no answer and is carried out late, and the node that has sent it is stopped as planned.
func playWave(ctx context.Context, deployment *deployment, isTroubled bool) (bool, error) {
	if err := pause(ctx, 5*time.Second); err != nil {
		return false, err
	}
	// Five of the machines have work when the wave begins, and none a little later.
	if !deployment.submit("5c0e7a21d94b36f8", workSpec{MS: 2600}, []stepBody{{Count: 5, resources: resources{16000, 60000, 8}, EstimateMS: 2600}}, 0) {
		return false, fmt.Errorf("the job is not accepted")
	}
	if err := pause(ctx, 2*time.Second); err != nil {
		return false, err
	}
	wave := wave{Wave: 1, DurationS: 60, MaxCount: 1}
	for _, machine := range deployment.cloud.machines {
		wave.Machines = append(wave.Machines, machine.name)
	}
	if isTroubled {
		deployment.cloud.delays = []time.Duration{upkeepDelay}
		deployment.cloud.onCall = func() {
			holder := deployment.holder()
			time.Sleep(stopDelay)
			holder.signal(deployment.log, syscall.SIGTERM)
			go holder.restart(deployment.log, time.Second)
		}
	}
	deployment.cloud.request(wave)
	for deployment.cloud.upkeeps(1) < len(wave.Machines) {
		if len(deployment.cloud.broken()) > 0 {
			return true, nil
		}
		if err := pause(ctx, 200*time.Millisecond); err != nil {
			return false, nil // the wave is late, which is no matter here
		}
	}
	return len(deployment.cloud.broken()) > 0, nil
}
