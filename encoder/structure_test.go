package encoder_test

import (
	"bytes"
	"encoding/binary"
	"runtime"
	"testing"

	"github.com/frankban/quicktest"

	"corianderroad/classifier"
	"corianderroad/encoder"
)

// maxWaste bounds what decoders may allocate for a record of a few bytes.
const maxWaste = 64 << 10

// decoders returns the decoders of bytes from other writers and peers.
func decoders() map[string]func(body []byte) error {
	return map[string]func(body []byte) error{
		"job": func(body []byte) error {
			_, err := encoder.UnmarshalJournalEntry(encoder.KeyedRecord{Key: "job/a1", Value: body})
			return err
		},
		"progress": func(body []byte) error {
			_, err := encoder.UnmarshalJournalEntry(encoder.KeyedRecord{Key: "progress/a1", Value: body})
			return err
		},
		"claim": func(body []byte) error {
			_, err := encoder.UnmarshalClaim(encoder.KeyedRecord{Key: "holder", Value: body}, 0)
			return err
		},
		"batch":  func(body []byte) error { _, err := encoder.UnmarshalBatch(body); return err },
		"peer":   func(body []byte) error { _, err := encoder.UnmarshalPeer(body); return err },
		"query":  func(body []byte) error { _, err := encoder.UnmarshalQuery(body); return err },
		"answer": func(body []byte) error { _, err := encoder.UnmarshalAnswer(body); return err },
	}
}

// wireMap returns a msgpack map with one field.
func wireMap(field string, value []byte) []byte {
	return append(append([]byte{0x81, 0xa0 | byte(len(field))}, field...), value...)
}

// declaredArray returns the header of a msgpack array of the given length.
func declaredArray(length uint32) []byte { return binary.BigEndian.AppendUint32([]byte{0xdd}, length) }

// TestDeclaredLengthAllocatesNothing guards against a record of a few bytes that
// declares a long array and makes the decoder allocate it: a job record of 12 bytes
// that declares 65,536 steps took 10 MB.
func TestDeclaredLengthAllocatesNothing(t *testing.T) {
	fields := map[string][]string{
		"job": {"steps"}, "progress": {"tasks"}, "batch": {"entries"}, "claim": {"node"}, "query": {"subject"},
		"peer":   {"probe", "entries-response"},
		"answer": {"members", "jobs", "decisions", "gauges", "submitted"},
	}
	for name, decode := range decoders() {
		for _, field := range fields[name] {
			for _, length := range []uint32{64, 1024, 8192, 16384, 65536, 1 << 20, 1<<32 - 1} {
				body := wireMap(field, declaredArray(length))
				if field == "entries-response" {
					body = wireMap(field, wireMap("appends", declaredArray(length)))
				}
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				err := decode(body)
				runtime.ReadMemStats(&after)
				comment := quicktest.Commentf("%s.%s declares %d elements", name, field, length)
				quicktest.Check(t, classifier.CodeOf(err), quicktest.Equals, classifier.BadFrame, comment)
				quicktest.Check(t, after.TotalAlloc-before.TotalAlloc < maxWaste, quicktest.IsTrue, comment)
			}
		}
	}
}

// TestDeepNestingIsRefused guards against nested values in a field that the decoder
// does not know: 90,000 levels were skipped recursively and accepted.
func TestDeepNestingIsRefused(t *testing.T) {
	for _, depth := range []int{100, 90_000, 1 << 20} {
		for name, decode := range decoders() {
			nested := append(bytes.Repeat([]byte{0x91}, depth), 0xc0)
			err := decode(wireMap("other", nested))
			comment := quicktest.Commentf("%s with %d levels", name, depth)
			quicktest.Check(t, classifier.CodeOf(err), quicktest.Equals, classifier.BadFrame, comment)
			quicktest.Check(t, err, quicktest.ErrorMatches, ".*nested.*", comment)
		}
	}
}

// TestTrailingBytesAreRefused guards against a record of another form whose first
// bytes happen to be a valid value.
func TestTrailingBytesAreRefused(t *testing.T) {
	for _, record := range neighbours(t)[:2] {
		checkRefused(t, encoder.KeyedRecord{Key: record.Key, Value: append(bytes.Clone(record.Value), 0)})
		for length := 1; length < len(record.Value); length++ {
			checkRefused(t, encoder.KeyedRecord{Key: record.Key, Value: record.Value[:length]})
		}
	}
	for name, decode := range decoders() {
		err := decode([]byte{0x80, 0x80})
		quicktest.Check(t, classifier.CodeOf(err), quicktest.Equals, classifier.BadFrame, quicktest.Commentf("%s", name))
	}
}
