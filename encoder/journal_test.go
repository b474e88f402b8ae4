package encoder_test

import (
	"math"
	"reflect"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"corianderroad/classifier"
	"corianderroad/encoder"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// TestJournalRoundTrip guards against a field of a job, its progress or a claim
// that the encoding loses.
func TestJournalRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var job specifier.Job
		setRandom(t, reflect.ValueOf(&job).Elem())
		job.ID, job.Payload = "0123456789abcdef", "payload"
		for index := range job.Steps {
			job.Steps[index] = validStep(job.Steps[index])
		}
		if len(job.Steps) == 0 {
			job.Steps = []specifier.Step{{Tasks: 1}}
		}
		job.AcceptedAt = validTime(job.AcceptedAt)
		if job.Schedule != nil {
			job.Schedule = validSchedule(job.Schedule)
		}
		checkRoundTrip(t, messenger.Submitted{Job: job})
		var progress specifier.Progress
		setRandom(t, reflect.ValueOf(&progress).Elem())
		part := rapid.IntRange(0, specifier.MaxJobTasks/specifier.TasksPerPart).Draw(t, "part")
		checkRoundTrip(t, messenger.Progressed{Job: job.ID, Part: part, Progress: validProgress(progress)})
		checkRoundTrip(t, messenger.Withdrawn{Job: job.ID})
		checkRoundTrip(t, messenger.Tombstone{Job: job.ID, Workspace: "w/1"})
		checkRoundTrip(t, messenger.Tombstone{Job: job.ID})
		var claim messenger.Claim
		setRandom(t, reflect.ValueOf(&claim).Elem())
		claim.Node, claim.Serial = "n"+claim.Node, max(claim.Serial, 1)
		claim.Waits = validWaits(claim.Waits)
		record, err := encoder.MarshalClaim(claim)
		if err != nil {
			t.Fatal(err)
		}
		if decoded, err := encoder.UnmarshalClaim(record, identifier.Offset(claim.Token)); err != nil || !reflect.DeepEqual(decoded, claim) {
			t.Fatalf("got %+v, error %v, want %+v", decoded, err, claim)
		}
	})
}

// validTime returns a random time changed to be within the range that the decoder
// checks.
func validTime(at time.Time) time.Time {
	return time.Unix(1+int64(uint64(at.Unix())%(messenger.MaxRecordUnixSeconds-1)), int64(at.Nanosecond()))
}

// validSchedule returns a random schedule changed to be within the bounds that the
// decoder checks for jobs of a few small steps.
func validSchedule(schedule *specifier.Schedule) *specifier.Schedule {
	occurrences := 1 + int(uint(schedule.Occurrences)%8)
	return &specifier.Schedule{
		Occurrences: occurrences, First: validTime(schedule.First),
		Interval: time.Duration(uint64(schedule.Interval) % uint64(specifier.MaxScheduleSpan/time.Duration(occurrences))),
	}
}

// validStep returns a random step changed to be within the bounds that the decoder
// checks.
func validStep(step specifier.Step) specifier.Step {
	step.Tasks = 1 + int(uint(step.Tasks)%specifier.MaxTasks)
	step.DependsOn = nil
	limit := func(value int) int { return int(uint(value) % 1000) }
	step.Request = specifier.Resources{
		MilliCPU: limit(step.Request.MilliCPU), MemoryMB: limit(step.Request.MemoryMB), Accelerators: limit(step.Request.Accelerators),
	}
	step.MaxPerMinion, step.MaxUnavailable = limit(step.MaxPerMinion), limit(step.MaxUnavailable)
	step.EstimatedRunTime = time.Duration(limit(int(step.EstimatedRunTime)))
	step.LatencyTarget = time.Duration(limit(int(step.LatencyTarget)))
	return step
}

// validProgress returns a random progress changed to be within the bounds that the
// decoder checks.
func validProgress(progress specifier.Progress) specifier.Progress {
	progress.State %= specifier.Cancelled + 1
	progress.EndedAt = validTime(progress.EndedAt)
	progress.Reason = progress.Reason[:min(len(progress.Reason), specifier.MaxReasonBytes)]
	for index := range progress.Tasks {
		task := &progress.Tasks[index]
		task.Occurrence = int(uint(task.Occurrence) % specifier.MaxOccurrences)
		task.Step = int(uint(task.Step) % specifier.MaxSteps)
		task.Index = int(uint(task.Index) % specifier.MaxTasks)
	}
	for index := range progress.Restarts {
		restart := &progress.Restarts[index]
		restart.Occurrence = int(uint(restart.Occurrence) % specifier.MaxOccurrences)
		restart.Step = int(uint(restart.Step) % specifier.MaxSteps)
		restart.Index = int(uint(restart.Index) % specifier.MaxTasks)
	}
	for index := range progress.Crashes {
		crash := &progress.Crashes[index]
		crash.Occurrence = int(uint(crash.Occurrence) % specifier.MaxOccurrences)
		crash.Step = int(uint(crash.Step) % specifier.MaxSteps)
		crash.Index = int(uint(crash.Index) % specifier.MaxTasks)
		crash.Age &= math.MaxInt64
		crash.Evidence %= specifier.Proven + 1
		crash.SilentPeers &= math.MaxInt
	}
	for index := range progress.Placements {
		placement := &progress.Placements[index]
		placement.Occurrence = int(uint(placement.Occurrence) % specifier.MaxOccurrences)
		placement.Step = int(uint(placement.Step) % specifier.MaxSteps)
		placement.Index = int(uint(placement.Index) % specifier.MaxTasks)
		placement.PlacedAt = validTime(placement.PlacedAt)
	}
	return progress
}

func checkRoundTrip(t *rapid.T, entry messenger.JournalEntry) {
	record, err := encoder.MarshalJournalEntry(entry)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := encoder.UnmarshalJournalEntry(record)
	if err != nil {
		t.Fatal(err)
	}
	// Decoded times are in the local zone, so the encoded records are compared.
	encoded, err := encoder.MarshalJournalEntry(decoded)
	if err != nil || !reflect.DeepEqual(encoded, record) {
		t.Fatalf("got %+v, error %v, want %+v", decoded, err, entry)
	}
}

// TestInvalidJournalRecordsAreRejected guards against a foreign or corrupt record that
// is decoded as a valid entry.
func TestInvalidJournalRecordsAreRejected(t *testing.T) {
	c := quicktest.New(t)
	for _, record := range []encoder.KeyedRecord{
		{Key: "job", Value: []byte{1}},
		{Key: "other/1", Value: []byte{1}},
		{Key: "job/1", Value: []byte{0xff}},
		{Key: "progress/1", Value: []byte("text")},
		{Key: "", Value: []byte("text")},
	} {
		entry, err := encoder.UnmarshalJournalEntry(record)
		c.Assert(entry, quicktest.IsNil, quicktest.Commentf("%q", record.Key))
		c.Assert(classifier.CodeOf(err), quicktest.Equals, classifier.BadFrame)
	}
}

// TestJobKeyIsDeletedFirst guards against progress that remains in effect after its
// job was deleted, and against a deletion that other nodes do not notice.
func TestJobKeyIsDeletedFirst(t *testing.T) {
	c := quicktest.New(t)
	entry, err := encoder.UnmarshalJournalEntry(encoder.DeletionRecords("a")[0])
	c.Assert(err, quicktest.IsNil)
	c.Assert(entry, quicktest.Equals, messenger.Deleted{Job: identifier.Job("a")})
}

// FuzzJournalEntry guards against a record that makes the decoder panic.
func FuzzJournalEntry(f *testing.F) {
	f.Add("job/1", []byte{0x80})
	f.Add("progress/1", []byte{0x81, 0xa5})
	f.Fuzz(func(_ *testing.T, key string, value []byte) {
		_, _ = encoder.UnmarshalJournalEntry(encoder.KeyedRecord{Key: key, Value: value})
	})
}
