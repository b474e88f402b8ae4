package assembler

import (
	"corianderroad/classifier"
	"corianderroad/platform"
	"corianderroad/specifier"
)

const (
	// defaultRunsPerMB is for each MB of the machine's memory. A machine of 184 MB may thus have
	// the 17,000 runs for which the system is designed.
	defaultRunsPerMB = 96
	// minMaxRuns leaves room for the largest gang in the quarter of the limit that a workspace may
	// start while half of it is free.
	minMaxRuns = 4 * specifier.MaxTasks
)

// CompleteMaxRuns returns the limit of the runs that the holder has at the same time: the given one,
// or the default for the machine. The error has code InvalidSettings.
func (options Options) CompleteMaxRuns(settings *platform.Settings) (int, error) {
	limit := options.MaxRuns
	defaultTo(&limit, max(int(machineMemory(settings)>>20)*defaultRunsPerMB, minMaxRuns))
	if limit < minMaxRuns {
		return 0, classifier.New(classifier.InvalidSettings, "running-tasks: %d, at least %d are allowed", limit, minMaxRuns)
	}
	return limit, nil
}
