package encoder_test

import (
	"bytes"
	"testing"

	"github.com/frankban/quicktest"

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
	entries, err := encoder.UnmarshalBatch(payload)
	c.Assert(err, quicktest.IsNil)
	c.Assert(entries, quicktest.HasLen, 1)
}
