package encoder_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/commander"
	"corianderroad/encoder"
	"corianderroad/framer"
	"corianderroad/messenger"
)

// TestLargestValuesCanBeDecoded guards against a text or body that is accepted and
// written but can't be decoded by its readers: a publication of more than 8 KiB was
// once appended, and then no node could apply it.
func TestLargestValuesCanBeDecoded(t *testing.T) {
	c := quicktest.New(t)
	text := bytes.Repeat([]byte("x"), commander.MaxTextBytes)
	entry := messenger.Entry{ID: "largest", Record: messenger.Publication{Organisation: "mallet", Text: text}}
	payload, err := encoder.MarshalBatch([]messenger.Entry{entry})
	c.Assert(err, quicktest.IsNil)
	batch, err := encoder.UnmarshalBatch(payload)
	c.Assert(err, quicktest.IsNil)
	c.Assert(batch.Entries[0].Record.(messenger.Publication).Text, quicktest.HasLen, commander.MaxTextBytes)

	response := messenger.EntriesResponse{Stream: "configuration", Appends: []messenger.AppendRead{{
		Stream: "configuration", Offset: 7, AppendedAt: time.Unix(1, 0), Entries: []messenger.Entry{entry},
	}}}
	frame, err := encoder.MarshalPeer(response)
	c.Assert(err, quicktest.IsNil)
	decoded, err := encoder.UnmarshalPeer(frame)
	c.Assert(err, quicktest.IsNil)
	c.Assert(decoded.(messenger.EntriesResponse).Appends[0].Entries, quicktest.HasLen, 1)

	body := bytes.Repeat([]byte("x"), commander.MaxBodyBytes)
	frame, err = encoder.MarshalPeer(messenger.Forward{Request: "r", Call: commander.Call{Body: body}})
	c.Assert(err, quicktest.IsNil)
	peer, err := encoder.UnmarshalPeer(frame)
	c.Assert(err, quicktest.IsNil)
	c.Assert(peer.(messenger.Forward).Call.Body, quicktest.HasLen, commander.MaxBodyBytes)
	c.Assert(len(frame) < framer.MaxFrame-commander.MaxNameBytes*8, quicktest.IsTrue)
}
