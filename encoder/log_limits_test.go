package encoder_test

import (
	"bytes"
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/tinylib/msgp/msgp"

	"corianderroad/classifier"
	"corianderroad/commander"
	"corianderroad/encoder"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// TestLargestSnapshotCanBeDecoded guards against a snapshot that is written but that
// no node can read, because a text in it that awaits approvals is longer than the
// limit of its field.
func TestLargestSnapshotCanBeDecoded(t *testing.T) {
	c := quicktest.New(t)
	text := bytes.Repeat([]byte("x"), commander.MaxTextBytes)
	payload, err := encoder.MarshalBatch([]messenger.Entry{{ID: "1", Record: messenger.Snapshot{Parts: 1, State: messenger.ConfigurationState{
		Organisations: []messenger.PublishedText{{Organisation: "a", Text: text}},
		Pending:       []messenger.PendingText{{Organisation: "b", Text: text, Approvals: []identifier.Organisation{"a"}}},
	}}}})
	c.Assert(err, quicktest.IsNil)
	batch, err := encoder.UnmarshalBatch(payload)
	c.Assert(err, quicktest.IsNil)
	c.Assert(batch.Refused, quicktest.HasLen, 0)
	c.Assert(batch.Entries, quicktest.HasLen, 1)
}

// TestInvalidSubmissionIsRefused guards against a submission in the log that no node can
// have written: the placement of a negative number of members ends the process of
// the holder, and of each later one.
func TestInvalidSubmissionIsRefused(t *testing.T) {
	valid := commander.JobSpec{Job: "j", Workspace: "w", Region: "r", Shape: commander.Shape{Members: 2, Accelerators: 1}}
	change := func(change func(spec *commander.JobSpec)) commander.JobSpec {
		spec := valid
		change(&spec)
		return spec
	}
	for reason, spec := range map[string]commander.JobSpec{
		"no members":         change(func(spec *commander.JobSpec) { spec.Shape.Members = 0 }),
		"negative members":   change(func(spec *commander.JobSpec) { spec.Shape.Members = -1 }),
		"most members":       change(func(spec *commander.JobSpec) { spec.Shape.Members = math.MaxInt64 }),
		"negative capacity":  change(func(spec *commander.JobSpec) { spec.Shape.Accelerators = -1 }),
		"largest capacity":   change(func(spec *commander.JobSpec) { spec.Shape.Accelerators = math.MaxInt64 }),
		"unknown adjacency":  change(func(spec *commander.JobSpec) { spec.Shape.Adjacency = math.MaxUint8 }),
		"negative run time":  change(func(spec *commander.JobSpec) { spec.RunTime = -1 }),
		"largest run time":   change(func(spec *commander.JobSpec) { spec.RunTime = math.MaxInt64 }),
		"no name":            change(func(spec *commander.JobSpec) { spec.Job = "" }),
		"name out of bounds": change(func(spec *commander.JobSpec) { spec.Job = identifier.Job(strings.Repeat("j", 1000)) }),
	} {
		payload, err := encoder.MarshalBatch([]messenger.Entry{
			{ID: "1", Record: messenger.Cancellation{Job: "before"}},
			{ID: "2", Record: messenger.Submission{Spec: spec}},
			{ID: "3", Record: messenger.Submission{Spec: valid}},
		})
		quicktest.Assert(t, err, quicktest.IsNil)
		checkBatch(t, reason, payload, "1", "3")
	}
}

// TestInvalidEntryIsRefusedAlone guards against an entry of another form that makes every
// node ignore its neighbours in the same append.
func TestInvalidEntryIsRefusedAlone(t *testing.T) {
	valid, err := encoder.MarshalBatch([]messenger.Entry{{ID: "1", Record: messenger.Cancellation{Job: "j"}}})
	quicktest.Assert(t, err, quicktest.IsNil)
	entry := valid[len("\x81\xa7entries\x91"):]
	for reason, invalid := range map[string]string{
		"no record":       "\x81\xa2id\xa12",
		"unknown record":  "\x82\xa2id\xa12\xa5other\x81\xa3job\xa1j",
		"two records":     "\x83\xa2id\xa12\xaccancellation\x81\xa3job\xa1j\xa8approval\x80",
		"another type":    "\x82\xa2id\xa12\xaccancellation\xa1j",
		"empty snapshot":  "\x82\xa2id\xa12\xa8snapshot\x80",
		"text for number": "\x82\xa2id\xa12\xacregion-claim\x81\xabincarnation\xa1j",
		"negative number": "\x82\xa2id\xa12\xacregion-claim\x81\xabincarnation\xff",
		"number":          "\x01",
	} {
		payload := slices.Concat([]byte("\x81\xa7entries\x93"), entry, []byte(invalid), entry)
		checkBatch(t, reason, payload, "1", "1")
	}
}

// checkBatch checks that one entry of a payload is refused and that the others, with
// the given IDs, hold.
func checkBatch(c testing.TB, reason string, payload []byte, ids ...string) {
	batch, err := encoder.UnmarshalBatch(payload)
	quicktest.Assert(c, err, quicktest.IsNil, quicktest.Commentf("%s", reason))
	quicktest.Assert(c, batch.Refused, quicktest.HasLen, 1, quicktest.Commentf("%s", reason))
	quicktest.Assert(c, classifier.CodeOf(batch.Refused[0]), quicktest.Equals, classifier.BadFrame)
	var held []string
	for _, entry := range batch.Entries {
		held = append(held, entry.ID)
	}
	quicktest.Assert(c, held, quicktest.DeepEquals, ids, quicktest.Commentf("%s", reason))
}

// TestLongNameInLogIsRefused guards against names of megabytes in the log, which every
// node stores: 4,096 writers of intents, 1,024 decisions and all IDs of the last hour.
func TestLongNameInLogIsRefused(t *testing.T) {
	long := strings.Repeat("n", 1<<20)
	for _, record := range []messenger.Record{
		messenger.Publication{Organisation: identifier.Organisation(long)},
		messenger.Approval{Organisation: identifier.Organisation(long)},
		messenger.Cancellation{Job: identifier.Job(long)},
		messenger.Cancellation{Job: "j", Workspace: identifier.Workspace(long)},
		messenger.Outcome{Job: identifier.Job(long)},
		messenger.Outcome{Job: "j", Reason: long},
		messenger.RegionClaim{Region: identifier.Region(long)},
		messenger.RegionClaim{Node: identifier.Node(long)},
		messenger.Intent{Key: identifier.Key(long)},
		messenger.Intent{Request: identifier.Request(long)},
		messenger.Intent{Node: identifier.Node(long)},
	} {
		checkLongEntry(t, messenger.Entry{ID: "2", Record: record})
	}
	checkLongEntry(t, messenger.Entry{ID: long, Record: messenger.Cancellation{Job: "j"}})
}

func checkLongEntry(c testing.TB, long messenger.Entry) {
	neighbour := messenger.Cancellation{Job: "j"}
	payload, err := encoder.MarshalBatch([]messenger.Entry{{ID: "1", Record: neighbour}, long, {ID: "3", Record: neighbour}})
	quicktest.Assert(c, err, quicktest.IsNil)
	checkBatch(c, reflect.TypeOf(long.Record).Name(), payload, "1", "3")
}

// FuzzEntry guards against an entry of an append that makes the decoder panic, or
// that is refused together with its neighbours.
func FuzzEntry(f *testing.F) {
	valid, err := encoder.MarshalBatch([]messenger.Entry{{ID: "1", Record: messenger.Cancellation{Job: "j"}}})
	quicktest.Assert(f, err, quicktest.IsNil)
	neighbour := valid[len("\x81\xa7entries\x91"):]
	f.Add(neighbour)
	f.Add([]byte("\x82\xa2id\xa12\xaasubmission\x81\xa7members\xff"))
	f.Add([]byte("\x82\xa2id\xa12\xa8snapshot\x82\xa5parts\x01\xa4jobs\x81\xa4jobs\xdd\xff\xff\xff\xff"))
	f.Add([]byte{0xc0})
	f.Fuzz(func(t *testing.T, entry []byte) {
		batch, err := encoder.UnmarshalBatch(slices.Concat([]byte("\x81\xa7entries\x93"), neighbour, entry, neighbour))
		if err != nil {
			quicktest.Assert(t, classifier.CodeOf(err), quicktest.Equals, classifier.BadFrame)
			return
		}
		if rest, err := msgp.Skip(entry); err != nil || len(rest) > 0 {
			return // the bytes are not a single value and change the bounds of the neighbours
		}
		quicktest.Assert(t, len(batch.Entries)+len(batch.Refused), quicktest.Equals, 3)
		quicktest.Assert(t, batch.Entries[0].ID, quicktest.Equals, "1")
		quicktest.Assert(t, batch.Entries[len(batch.Entries)-1].ID, quicktest.Equals, "1")
		_, err = encoder.MarshalBatch(batch.Entries)
		quicktest.Assert(t, err, quicktest.IsNil)
	})
}
