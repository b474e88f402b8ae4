package assembler

import (
	"corianderroad/classifier"
	"corianderroad/platform"
)

const (
	// jobQuarters is the share of the machine's memory for accepted jobs. With the shares of
	// clients a quarter is left for the program and for garbage.
	jobQuarters = 1
	// minJobMemory is in bytes.
	minJobMemory = 1 << 20
	// maxDefaultJobMemory is the default of the smallest machines in service, of 184 MB: all nodes
	// of a deployment have to hold the jobs that a larger one accepts.
	maxDefaultJobMemory = 46 << 20
)

// CompleteJobMemory returns the limit of the memory for accepted jobs, in bytes: the given one, or
// the default for the machine. The error has code InvalidSettings.
func (options Options) CompleteJobMemory(settings *platform.Settings) (int64, error) {
	memory, limit := machineMemory(settings), options.JobMemory
	defaultTo(&limit, min(max(memory*jobQuarters/quarters, minJobMemory), maxDefaultJobMemory))
	if limit < minJobMemory || limit > memory/2 {
		return 0, classifier.New(classifier.InvalidSettings, "accepted-jobs-memory: %d bytes, %d to %d are allowed, half of limits.memoryMb", limit, minJobMemory, memory/2)
	}
	return limit, nil
}

// machineMemory returns the memory of the machine in bytes.
func machineMemory(settings *platform.Settings) int64 {
	if settings.MemoryMB == 0 {
		return unknownMemoryMB << 20
	}
	return int64(settings.MemoryMB) << 20
}
