package encoder_test

import (
	"math"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp/cmpopts"

	"corianderroad/classifier"
	"corianderroad/encoder"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// neighbours returns valid records that stand in the same reading as an invalid one.
func neighbours(c testing.TB) []encoder.KeyedRecord {
	var records []encoder.KeyedRecord
	for _, entry := range []messenger.JournalEntry{
		messenger.Submitted{Job: specifier.Job{ID: "00000000000000a1", Steps: []specifier.Step{{Tasks: 2}}}},
		messenger.Progressed{Job: "00000000000000a1", Progress: specifier.Progress{
			State: specifier.Running, Tasks: []specifier.TaskProgress{{Index: 1, Done: true, DoneRun: 7}},
		}},
		messenger.Withdrawn{Job: "00000000000000a1"},
	} {
		record, err := encoder.MarshalJournalEntry(entry)
		quicktest.Assert(c, err, quicktest.IsNil)
		records = append(records, record)
	}
	return append(records, encoder.DeletionRecords("00000000000000a1")[0])
}

// checkRefused checks that the invalid record alone is refused, with its key, and that
// its neighbours decode as they do without it.
func checkRefused(c testing.TB, invalid encoder.KeyedRecord) {
	entry, err := encoder.UnmarshalJournalEntry(invalid)
	comment := quicktest.Commentf("key %.80q, value %.40x", invalid.Key, invalid.Value)
	quicktest.Assert(c, entry, quicktest.IsNil, comment)
	quicktest.Assert(c, classifier.CodeOf(err), quicktest.Equals, classifier.BadFrame, comment)
	quicktest.Assert(c, err, quicktest.ErrorMatches, "(?s).*\""+identifierPattern(invalid.Key)+".*", comment)
	checkNeighbours(c)
}

func checkNeighbours(c testing.TB) {
	for _, record := range neighbours(c) {
		entry, err := encoder.UnmarshalJournalEntry(record)
		quicktest.Assert(c, err, quicktest.IsNil)
		quicktest.Assert(c, entry, quicktest.IsNotNil)
	}
}

// identifierPattern returns the part of a key that is the same in quotes.
func identifierPattern(key string) string {
	length := 0
	for length < len(key) && length < 16 && (key[length] == '/' || key[length] >= '0' && key[length] <= '9' || key[length] >= 'a' && key[length] <= 'z') {
		length++
	}
	return key[:length]
}

// TestUnknownKeyIsRefused guards against a record of another writer that is taken
// for a deletion, because its value is empty.
func TestUnknownKeyIsRefused(t *testing.T) {
	for _, key := range []string{"", "other", "other/a1", "jobs/a1"} {
		checkRefused(t, encoder.KeyedRecord{Key: key})
		checkRefused(t, encoder.KeyedRecord{Key: key, Value: []byte{1}})
	}
	for _, record := range encoder.DeletionRecords(identifier.Job("a1")) {
		_, err := encoder.UnmarshalJournalEntry(record)
		quicktest.Assert(t, err, quicktest.IsNil, quicktest.Commentf("deletion of %q", record.Key))
	}
}

// invalidJobs returns jobs that no caller can have submitted, with the reason.
func invalidJobs() map[string]specifier.Job {
	withStep := func(step specifier.Step) specifier.Job {
		step.Tasks = max(step.Tasks, 1)
		return specifier.Job{ID: "a1", Steps: []specifier.Step{{Tasks: 1}, step}}
	}
	withSchedule := func(schedule specifier.Schedule) specifier.Job {
		return specifier.Job{ID: "a1", Steps: []specifier.Step{{Tasks: 1}}, Schedule: &schedule}
	}
	largest := withSchedule(specifier.Schedule{Occurrences: specifier.MaxOccurrences, Interval: time.Second})
	for len(largest.Steps) < specifier.MaxSteps {
		largest.Steps = append(largest.Steps, specifier.Step{Tasks: specifier.MaxTasks})
	}
	late := withStep(specifier.Step{})
	late.AcceptedAt = time.Unix(0, math.MaxInt64)
	early := withStep(specifier.Step{})
	early.AcceptedAt = time.Unix(0, math.MinInt64)
	return map[string]specifier.Job{
		"gigabytes of tasks":     largest,
		"largest estimate":       withStep(specifier.Step{EstimatedRunTime: math.MaxInt64}),
		"largest latency target": withStep(specifier.Step{LatencyTarget: math.MaxInt64}),
		"largest processor":      withStep(specifier.Step{Request: specifier.Resources{MilliCPU: math.MaxInt64}}),
		"largest memory":         withStep(specifier.Step{Request: specifier.Resources{MemoryMB: math.MaxInt64}}),
		"largest accelerators":   withStep(specifier.Step{Request: specifier.Resources{Accelerators: math.MaxInt64}}),
		"negative memory":        withStep(specifier.Step{Request: specifier.Resources{MemoryMB: -1}}),
		"negative tasks":         withStep(specifier.Step{Tasks: 1, MaxPerMinion: -1}),
		"many dependencies":      withStep(specifier.Step{DependsOn: make([]int, 1000)}),
		"later dependency":       withStep(specifier.Step{DependsOn: []int{1}}),
		"negative dependency":    withStep(specifier.Step{DependsOn: []int{-1}}),
		"accepted in 2262":       late,
		"accepted in 1677":       early,
		"negative interval":      withSchedule(specifier.Schedule{Occurrences: 2, Interval: -1}),
		"largest interval":       withSchedule(specifier.Schedule{Occurrences: 2, Interval: math.MaxInt64}),
		"interval that overflows with the number of occurrences": withSchedule(specifier.Schedule{
			Occurrences: specifier.MaxOccurrences, Interval: math.MaxInt64 / 2048,
		}),
		"begins in 2262":       withSchedule(specifier.Schedule{Occurrences: 2, First: time.Unix(0, math.MaxInt64)}),
		"too many occurrences": withSchedule(specifier.Schedule{Occurrences: math.MaxInt64}),
		"no steps":             {ID: "a1"},
		"no ID":                {Steps: []specifier.Step{{Tasks: 1}}},
		"ID of a task":         {ID: "a1.0.1.17", Steps: []specifier.Step{{Tasks: 1}}},
		"long ID":              {ID: identifier.Job(strings.Repeat("a", 200)), Steps: []specifier.Step{{Tasks: 1}}},
	}
}

// TestInvalidJobIsRefused guards against a job record of another writer whose numbers
// overflow the sums of the planner or allocate gigabytes at every node.
func TestInvalidJobIsRefused(t *testing.T) {
	for reason, job := range invalidJobs() {
		t.Run(reason, func(t *testing.T) {
			record, err := encoder.MarshalJournalEntry(messenger.Submitted{Job: job})
			quicktest.Assert(t, err, quicktest.IsNil)
			checkRefused(t, record)
		})
	}
}

// TestInvalidProgressIsRefused guards against a progress record of another writer with
// a state that does not exist, which ends its job for good, and with tasks that no
// job can have.
func TestInvalidProgressIsRefused(t *testing.T) {
	endedAt := time.Unix(1_000_000, 0)
	for reason, progress := range map[string]specifier.Progress{
		"unknown state":           {State: specifier.Cancelled + 1, EndedAt: endedAt},
		"largest state":           {State: math.MaxUint8, EndedAt: endedAt},
		"end without a time":      {State: specifier.Completed},
		"ended in 2262":           {State: specifier.Completed, EndedAt: time.Unix(0, math.MaxInt64)},
		"ended in 1677":           {State: specifier.Completed, EndedAt: time.Unix(0, math.MinInt64)},
		"negative occurrence":     {Tasks: []specifier.TaskProgress{{Occurrence: -1}}},
		"negative step":           {Tasks: []specifier.TaskProgress{{Step: -1}}},
		"negative index":          {Tasks: []specifier.TaskProgress{{Index: -1}}},
		"occurrence out of range": {Tasks: []specifier.TaskProgress{{Occurrence: math.MaxInt64}}},
		"step out of range":       {Tasks: []specifier.TaskProgress{{Step: specifier.MaxSteps}}},
		"index out of range":      {Tasks: []specifier.TaskProgress{{Index: specifier.MaxTasks}}},
		"step of a crash":         {Crashes: []specifier.TaskCrash{{Step: specifier.MaxSteps}}},
		"long reason":             {Reason: strings.Repeat("x", specifier.MaxReasonBytes+1)},
		"negative age":            {Crashes: []specifier.TaskCrash{{Age: -1}}},
		"unknown evidence":        {Crashes: []specifier.TaskCrash{{Evidence: specifier.Proven + 1}}},
		"negative silent peers":   {Crashes: []specifier.TaskCrash{{SilentPeers: -1}}},
		"placed in 2262":          {Placements: []specifier.TaskPlacement{{PlacedAt: time.Unix(0, math.MaxInt64)}}},
		"index of a placement":    {Placements: []specifier.TaskPlacement{{Index: -1}}},
		"too many crashes":        {Crashes: make([]specifier.TaskCrash, specifier.MaxRecordedCrashes+1)},
		"too many placements":     {Placements: make([]specifier.TaskPlacement, specifier.MaxRecordedCrashes+1)},
	} {
		t.Run(reason, func(t *testing.T) {
			record, err := encoder.MarshalJournalEntry(messenger.Progressed{Job: "a1", Progress: progress})
			quicktest.Assert(t, err, quicktest.IsNil)
			checkRefused(t, record)
		})
	}
}

// TestInvalidPartIsRefused guards against two keys for one part of a job's progress, and
// against a part that no job has.
func TestInvalidPartIsRefused(t *testing.T) {
	valid, err := encoder.MarshalJournalEntry(messenger.Progressed{Job: "a1", Progress: specifier.Progress{State: specifier.Running}})
	quicktest.Assert(t, err, quicktest.IsNil)
	for _, number := range []string{"", "0", "01", "+1", "-1", "x", "1/1", "257", "9223372036854775808"} {
		checkRefused(t, encoder.KeyedRecord{Key: "progress/a1/" + number, Value: valid.Value})
	}
}

// TestLargestPartFitsIntoARecord guards against a part of a job's progress that the store
// does not take: its tasks have the longest numbers, several failures and a checkpoint.
func TestLargestPartFitsIntoARecord(t *testing.T) {
	const (
		recordBytes     = 256 << 10
		checkpointBytes = 512
		failures        = 32
	)
	c := quicktest.New(t)
	progressed := messenger.Progressed{
		Job: identifier.Job(strings.Repeat("a", messenger.MaxJobIDBytes)), Part: specifier.MaxJobTasks/specifier.TasksPerPart - 1,
		Progress: specifier.Progress{State: specifier.Running},
	}
	for index := range specifier.TasksPerPart {
		task := specifier.TaskProgress{
			Occurrence: specifier.MaxOccurrences - 1, Step: specifier.MaxSteps - 1, Index: specifier.MaxTasks - 1 - index,
			DoneRun: math.MaxUint64, Checkpoint: strings.Repeat("x", checkpointBytes),
		}
		for range failures {
			task.FailedRuns = append(task.FailedRuns, math.MaxUint64)
		}
		progressed.Progress.Tasks = append(progressed.Progress.Tasks, task)
		progressed.Progress.Restarts = append(progressed.Progress.Restarts, specifier.TaskRestart{
			Occurrence: task.Occurrence, Step: task.Step, Index: task.Index, LatestRun: math.MaxUint64,
		})
	}
	record, err := encoder.MarshalJournalEntry(progressed)
	c.Assert(err, quicktest.IsNil)
	size := 1 + len(record.Key) + len(record.Value)
	c.Assert(size <= recordBytes, quicktest.IsTrue, quicktest.Commentf("%d bytes", size))
}

// TestInvalidCancellationIsRefused guards against a record of another form that cancels
// a job because its key has the prefix of cancellations.
func TestInvalidCancellationIsRefused(t *testing.T) {
	for _, value := range []string{"\x00", "\x02", "\x01\x01", "text", "\x81\xa5other\x01"} {
		checkRefused(t, encoder.KeyedRecord{Key: "cancel/a1", Value: []byte(value)})
	}
}

// TestLargestJobCanBeRead guards against a job that is accepted, or progress that is
// recorded, but that no node can read.
func TestLargestJobCanBeRead(t *testing.T) {
	c := quicktest.New(t)
	step := specifier.Step{
		Tasks: specifier.MaxTasks / 4, Request: specifier.Resources{MilliCPU: specifier.MaxMilliCPU, MemoryMB: 1, Accelerators: 1},
		EstimatedRunTime: specifier.MaxDuration, LatencyTarget: specifier.MaxDuration,
	}
	job := specifier.Job{
		ID: identifier.Job(strings.Repeat("a", messenger.MaxJobIDBytes)), Payload: strings.Repeat("p", specifier.MaxPayloadBytes),
		AcceptedAt: time.Unix(messenger.MaxRecordUnixSeconds, 0),
		Schedule: &specifier.Schedule{
			Occurrences: 2, First: time.Unix(messenger.MaxRecordUnixSeconds, 0), Interval: specifier.MaxScheduleSpan,
		},
	}
	for range specifier.MaxSteps {
		job.Steps = append(job.Steps, step)
	}
	job.Steps[specifier.MaxSteps-1].DependsOn = make([]int, specifier.MaxSteps)
	progress := specifier.Progress{State: specifier.Running}
	for occurrence := range 2 {
		for number := range job.Steps {
			for index := range step.Tasks {
				progress.Tasks = append(progress.Tasks, specifier.TaskProgress{
					Occurrence: occurrence, Step: number, Index: index, Done: true, DoneRun: math.MaxUint64, FailedRuns: []uint64{1},
				})
			}
		}
	}
	c.Assert(progress.Tasks, quicktest.HasLen, specifier.MaxJobTasks)
	for _, entry := range []messenger.JournalEntry{messenger.Submitted{Job: job}, messenger.Progressed{Job: job.ID, Progress: progress}} {
		record, err := encoder.MarshalJournalEntry(entry)
		c.Assert(err, quicktest.IsNil)
		decoded, err := encoder.UnmarshalJournalEntry(record)
		c.Assert(err, quicktest.IsNil)
		c.Assert(decoded, quicktest.DeepEquals, entry)
		t.Logf("%T has %d bytes", entry, len(record.Value))
	}
}

// TestFullCrashPartFitsIntoARecord guards against crashes of a job's tasks that the store
// does not take, so that the next holder starts the tasks as if nothing had happened.
func TestFullCrashPartFitsIntoARecord(t *testing.T) {
	const (
		recordBytes     = 256 << 10
		minionNameBytes = 128
	)
	c := quicktest.New(t)
	job := specifier.Job{Steps: []specifier.Step{{Tasks: specifier.MaxTasks}}}
	progressed := messenger.Progressed{
		Job: identifier.Job(strings.Repeat("a", messenger.MaxJobIDBytes)), Part: job.CrashPart(), Progress: specifier.Progress{State: specifier.Running},
	}
	name := identifier.Minion(strings.Repeat("m", minionNameBytes))
	placedAt := time.Unix(messenger.MaxRecordUnixSeconds, 0)
	address := netip.MustParseAddrPort("[ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff]:65535")
	for index := range specifier.MaxRecordedCrashes {
		progressed.Progress.Crashes = append(progressed.Progress.Crashes, specifier.TaskCrash{
			Occurrence: specifier.MaxOccurrences - 1, Step: specifier.MaxSteps - 1, Index: specifier.MaxTasks - 1 - index,
			Run: math.MaxUint64, Minion: name, Incarnation: math.MaxUint64, Address: address, Age: math.MaxInt64, OnTrial: true, Cleared: true,
			Evidence: specifier.Proven, SilentPeers: math.MaxInt, NextIncarnation: math.MaxUint64,
		})
		progressed.Progress.Placements = append(progressed.Progress.Placements, specifier.TaskPlacement{
			Occurrence: specifier.MaxOccurrences - 1, Step: specifier.MaxSteps - 1, Index: specifier.MaxTasks - 1 - index,
			Run: math.MaxUint64, Minion: name, Incarnation: math.MaxUint64, Address: address, PlacedAt: placedAt,
		})
	}
	record, err := encoder.MarshalJournalEntry(progressed)
	c.Assert(err, quicktest.IsNil)
	size := 1 + len(record.Key) + len(record.Value)
	c.Assert(size <= recordBytes, quicktest.IsTrue, quicktest.Commentf("%d bytes", size))
	decoded, err := encoder.UnmarshalJournalEntry(record)
	c.Assert(err, quicktest.IsNil)
	c.Assert(decoded, quicktest.CmpEquals(cmpopts.EquateComparable(netip.AddrPort{})), messenger.JournalEntry(progressed))
}
