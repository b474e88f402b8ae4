package injector

import (
	"fmt"

	"corianderroad/cmd/standins/logserver"
	"corianderroad/cmd/standins/minion"
	"corianderroad/cmd/standins/vmlister"
	"corianderroad/cmd/standins/worker"
)

// validate returns the reason to refuse the faults, or the empty string if they
// are valid.
func (requested faultsRequest) validate() string {
	if log := requested.Log; log != nil {
		if !isOneOf(log.Mode, "", logserver.Up, logserver.Down, logserver.Unresponsive) {
			return fmt.Sprintf("log: unknown mode %q", log.Mode)
		}
		if !isFraction(log.LostAnswers) || log.Delay < 0 {
			return "log: lost-answers must be 0 to 1 and delay must not be negative"
		}
	}
	if minions := requested.Minions; minions != nil {
		if !isOneOf(minions.Mode, "", minion.Healthy, minion.Dead, minion.Unresponsive, minion.Leaving, minion.Failing) {
			return fmt.Sprintf("minions: unknown mode %q", minions.Mode)
		}
		if !isFraction(minions.Truncated) || !isFraction(minions.Crossed) || !isFraction(minions.LostAnswers) {
			return "minions: truncated, crossed and lost-answers must be 0 to 1"
		}
	}
	if workers := requested.Workers; workers != nil {
		if !isOneOf(workers.Mode, "", worker.Healthy, worker.Dead, worker.Unresponsive, worker.Leaving, worker.Failing) {
			return fmt.Sprintf("workers: unknown mode %q", workers.Mode)
		}
	}
	if listed := requested.Listed; listed != nil && !isOneOf(listed.State, vmlister.Live, vmlister.Leaving, vmlister.Gone) {
		return fmt.Sprintf("listed: unknown state %q", listed.State)
	}
	return ""
}

func isOneOf[T comparable](value T, allowed ...T) bool {
	for _, candidate := range allowed {
		if value == candidate {
			return true
		}
	}
	return false
}

func isFraction(value float64) bool { return value >= 0 && value <= 1 }
