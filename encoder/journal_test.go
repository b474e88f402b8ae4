package encoder_test

import (
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
// that is lost in the journal.
func TestJournalRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var job specifier.Job
		fill(t, reflect.ValueOf(&job).Elem())
		job.ID, job.Payload = "0123456789abcdef", "payload"
		for index := range job.Steps {
			job.Steps[index] = validStep(job.Steps[index])
		}
		if len(job.Steps) == 0 {
			job.Steps = []specifier.Step{{Tasks: 1}}
		}
		if job.Schedule != nil {
			job.Schedule.Occurrences = 1 + int(uint(job.Schedule.Occurrences)%specifier.MaxOccurrences)
		}
		checkEntry(t, messenger.Submitted{Job: job})
		var progress specifier.Progress
		fill(t, reflect.ValueOf(&progress).Elem())
		checkEntry(t, messenger.Progressed{Job: job.ID, Progress: progress})
		checkEntry(t, messenger.Withdrawn{Job: job.ID})
		var claim messenger.Claim
		fill(t, reflect.ValueOf(&claim).Elem())
		value, err := encoder.ClaimRecord(claim)
		if err != nil {
			t.Fatal(err)
		}
		if read, err := encoder.Claim(value); err != nil || read != claim {
			t.Fatalf("got %+v, error %v, want %+v", read, err, claim)
		}
	})
}

// validStep keeps a random step within the bounds that the decoder checks.
func validStep(step specifier.Step) specifier.Step {
	step.Tasks = 1 + int(uint(step.Tasks)%specifier.MaxTasks)
	step.DependsOn = nil
	bound := func(value int) int { return int(uint(value) % 1000) }
	step.Request = specifier.Resources{
		MilliCPU: bound(step.Request.MilliCPU), MemoryMB: bound(step.Request.MemoryMB), Accelerators: bound(step.Request.Accelerators),
	}
	step.MaxPerMinion, step.MaxUnavailable = bound(step.MaxPerMinion), bound(step.MaxUnavailable)
	step.EstimatedRunTime = time.Duration(bound(int(step.EstimatedRunTime)))
	step.LatencyTarget = time.Duration(bound(int(step.LatencyTarget)))
	return step
}

func checkEntry(t *rapid.T, entry messenger.JournalEntry) {
	record, err := encoder.JournalRecord(entry)
	if err != nil {
		t.Fatal(err)
	}
	read, err := encoder.JournalEntry(record)
	if err != nil {
		t.Fatal(err)
	}
	// Times come back in the local zone, so that encoding again compares them.
	again, err := encoder.JournalRecord(read)
	if err != nil || !reflect.DeepEqual(again, record) {
		t.Fatalf("got %+v, error %v, want %+v", read, err, entry)
	}
}

// TestJournalRefusesForeignRecords guards against a foreign or broken record
// that changes what the system believes.
func TestJournalRefusesForeignRecords(t *testing.T) {
	c := quicktest.New(t)
	for _, record := range []encoder.KeyedRecord{
		{Key: "job", Value: []byte{1}},
		{Key: "other/1", Value: []byte{1}},
		{Key: "job/1", Value: []byte{0xff}},
		{Key: "progress/1", Value: []byte("text")},
		{Key: "", Value: []byte("text")},
	} {
		entry, err := encoder.JournalEntry(record)
		c.Assert(entry, quicktest.IsNil, quicktest.Commentf("%q", record.Key))
		c.Assert(classifier.CodeOf(err), quicktest.Equals, classifier.BadFrame)
	}
}

// TestDropDeletesTheJobFirst guards against progress that outlives its job and
// against a deletion that other nodes do not see.
func TestDropDeletesTheJobFirst(t *testing.T) {
	c := quicktest.New(t)
	entry, err := encoder.JournalEntry(encoder.DropRecords("a")[0])
	c.Assert(err, quicktest.IsNil)
	c.Assert(entry, quicktest.Equals, messenger.Deleted{Job: identifier.Job("a")})
}

// FuzzJournalEntry guards against a record that makes the decoder panic.
func FuzzJournalEntry(f *testing.F) {
	f.Add("job/1", []byte{0x80})
	f.Add("progress/1", []byte{0x81, 0xa5})
	f.Fuzz(func(_ *testing.T, key string, value []byte) {
		_, _ = encoder.JournalEntry(encoder.KeyedRecord{Key: key, Value: value})
	})
}
