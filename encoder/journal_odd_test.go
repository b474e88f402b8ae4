package encoder_test

import (
	"testing"

	"github.com/frankban/quicktest"

	"corianderroad/classifier"
	"corianderroad/encoder"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// neighbours returns valid records that stand in the same reading as an odd one.
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

// checkRefused checks that the odd record alone is refused, with its key, and that
// its neighbours decode as they do without it.
func checkRefused(c testing.TB, odd encoder.KeyedRecord) {
	entry, err := encoder.UnmarshalJournalEntry(odd)
	comment := quicktest.Commentf("key %.80q, value %.40x", odd.Key, odd.Value)
	quicktest.Assert(c, entry, quicktest.IsNil, comment)
	quicktest.Assert(c, classifier.CodeOf(err), quicktest.Equals, classifier.BadFrame, comment)
	quicktest.Assert(c, err, quicktest.ErrorMatches, "(?s).*\""+identifierPattern(odd.Key)+".*", comment)
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
