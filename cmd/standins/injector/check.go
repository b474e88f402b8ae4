package injector

import (
	"fmt"

	"corianderroad/cmd/standins/logserver"
	"corianderroad/cmd/standins/minion"
	"corianderroad/cmd/standins/vmlister"
	"corianderroad/cmd/standins/worker"
)

// check returns why the faults are refused, or the empty string.
func (requested faults) check() string {
	if log := requested.Log; log != nil {
		if !oneOf(log.Mode, "", logserver.Up, logserver.Down, logserver.Silent) {
			return fmt.Sprintf("log: unknown mode %q", log.Mode)
		}
		if !isPart(log.LostAnswers) || log.Delay < 0 {
			return "log: lost-answers must be 0 to 1 and delay must not be negative"
		}
	}
	if minions := requested.Minions; minions != nil {
		if !oneOf(minions.Mode, "", minion.Healthy, minion.Dead, minion.Silent, minion.Leaving, minion.Failing) {
			return fmt.Sprintf("minions: unknown mode %q", minions.Mode)
		}
		if !isPart(minions.Truncated) || !isPart(minions.Crossed) || !isPart(minions.LostAnswers) {
			return "minions: truncated, crossed and lost-answers must be 0 to 1"
		}
	}
	if workers := requested.Workers; workers != nil {
		if !oneOf(workers.Mode, "", worker.Healthy, worker.Dead, worker.Silent, worker.Leaving, worker.Failing) {
			return fmt.Sprintf("workers: unknown mode %q", workers.Mode)
		}
	}
	if listed := requested.Listed; listed != nil && !oneOf(listed.State, vmlister.Live, vmlister.Leaving, vmlister.Gone) {
		return fmt.Sprintf("listed: unknown state %q", listed.State)
	}
	return ""
}

func oneOf[T comparable](value T, allowed ...T) bool {
	for _, candidate := range allowed {
		if value == candidate {
			return true
		}
	}
	return false
}

func isPart(part float64) bool { return part >= 0 && part <= 1 }
