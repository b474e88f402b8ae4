package assembler_test

import (
	"bytes"
	"reflect"
	"testing"

	"github.com/frankban/quicktest"

	"corianderroad/assembler"
	"corianderroad/encoder"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
	"corianderroad/tailer"
)

// firstOffset is the offset of the first record in a fuzzed reading.
const firstOffset identifier.Offset = 100

func newReading(records ...encoder.KeyedRecord) tailer.Reading {
	reading := tailer.Reading{End: firstOffset}
	for _, record := range records {
		reading.Records = append(reading.Records, tailer.Record{Offset: reading.End, Key: record.Key, Value: record.Value})
		reading.End++
	}
	return reading
}

func mustMarshal(f *testing.F, entry messenger.JournalEntry) encoder.KeyedRecord {
	record, err := encoder.MarshalJournalEntry(entry)
	quicktest.Assert(f, err, quicktest.IsNil)
	return record
}

// FuzzJournalReading guards against a record that ends the process, or that is
// refused or accepted together with its neighbours in the same reading.
func FuzzJournalReading(f *testing.F) {
	job := mustMarshal(f, messenger.Submitted{Job: specifier.Job{ID: "a1", Steps: []specifier.Step{{Tasks: 2}}}})
	progress := mustMarshal(f, messenger.Progressed{Job: "a1", Progress: specifier.Progress{
		State: specifier.Running, Tasks: []specifier.TaskProgress{{Index: 1, Done: true, DoneRun: 7}},
	}})
	for _, record := range []encoder.KeyedRecord{job, progress, mustMarshal(f, messenger.Withdrawn{Job: "a2"})} {
		f.Add(record.Key, record.Value)
		f.Add(record.Key, record.Value[:len(record.Value)-1])
		f.Add(record.Key, []byte{})
	}
	f.Add("job/a2", []byte("\x81\xa5steps\xdd\xff\xff\xff\xff"))
	f.Add("job/a2", append([]byte("\x81\xa5other"), bytes.Repeat([]byte{0x91}, 90_000)...))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		expected, failures := assembler.DecodeJournal(newReading(job, progress))
		quicktest.Assert(t, failures, quicktest.HasLen, 0)
		read, failures := assembler.DecodeJournal(newReading(job, encoder.KeyedRecord{Key: key, Value: value}, progress))
		quicktest.Assert(t, len(read.Entries)+len(failures) <= 3, quicktest.IsTrue)
		quicktest.Assert(t, reflect.DeepEqual(read.Entries[0], expected.Entries[0]), quicktest.IsTrue)
		quicktest.Assert(t, reflect.DeepEqual(read.Entries[len(read.Entries)-1], expected.Entries[1]), quicktest.IsTrue)
		quicktest.Assert(t, read.End, quicktest.Equals, firstOffset+3)
		for _, entry := range read.Entries {
			checkBounds(t, entry)
		}
	})
}

// checkBounds checks what other packages rely on.
func checkBounds(t *testing.T, entry messenger.JournalEntry) {
	switch entry := entry.(type) {
	case messenger.Submitted:
		tasks := 0
		for _, step := range entry.Job.Steps {
			tasks += step.Tasks * entry.Job.Occurrences()
		}
		quicktest.Assert(t, tasks > 0 && tasks <= specifier.MaxJobTasks, quicktest.IsTrue)
		last := entry.Job.Occurrences() - 1
		quicktest.Assert(t, entry.Job.DueTime(last).Before(entry.Job.DueTime(0)), quicktest.IsFalse)
	case messenger.Progressed:
		quicktest.Assert(t, entry.Progress.State <= specifier.Cancelled, quicktest.IsTrue)
	}
}

// FuzzClaimReading guards against a record in the topic of claims that ends the
// process, or that hides the claim of the holder.
func FuzzClaimReading(f *testing.F) {
	claim, err := encoder.MarshalClaim(messenger.Claim{Node: "n1", Incarnation: 3, Token: 9, Serial: 2})
	quicktest.Assert(f, err, quicktest.IsNil)
	f.Add(claim.Key, claim.Value)
	f.Add(claim.Key, claim.Value[:len(claim.Value)-1])
	f.Add(claim.Key, []byte{0x80})
	f.Add(claim.Key, []byte{})
	f.Add("other", claim.Value)
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		invalid := encoder.KeyedRecord{Key: key, Value: value}
		read, _ := assembler.DecodeClaims(newReading(invalid, claim))
		quicktest.Assert(t, read.Claim, quicktest.IsNotNil)
		quicktest.Assert(t, read.Claim.Node, quicktest.Equals, identifier.Node("n1"))
		quicktest.Assert(t, read.Offset, quicktest.Equals, firstOffset+1)

		read, failures := assembler.DecodeClaims(newReading(claim, invalid))
		quicktest.Assert(t, read.End, quicktest.Equals, firstOffset+2)
		quicktest.Assert(t, read.Claim, quicktest.IsNotNil)
		quicktest.Assert(t, read.Claim.Token <= identifier.Term(read.Offset), quicktest.IsTrue)
		if len(failures) > 0 {
			quicktest.Assert(t, read.Offset, quicktest.Equals, firstOffset)
		}
	})
}
