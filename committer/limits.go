package committer

import (
	"corianderroad/classifier"
	"corianderroad/encoder"
)

// Limits are the store's limits for an append.
type Limits struct {
	// RecordBytes is the size of the largest record.
	RecordBytes int
	// RequestBytes is the size of the largest append, with the lengths of its records.
	RequestBytes int
}

// lengthBytes is the size of the length that precedes a record.
const lengthBytes = 4

// sizeOf returns the size of a record, which has its key with one byte for the length of
// the key, and its value.
func sizeOf(record encoder.KeyedRecord) int { return 1 + len(record.Key) + len(record.Value) }

// check returns an error with code BodyTooLarge if the store takes no record of this size.
func (limits Limits) check(record encoder.KeyedRecord) *classifier.Error {
	size := sizeOf(record)
	if size <= limits.RecordBytes && size+lengthBytes <= limits.RequestBytes {
		return nil
	}
	return classifier.New(classifier.BodyTooLarge, "the record %q has %d bytes, the store takes %d in a record and %d in an append",
		record.Key, size, limits.RecordBytes, limits.RequestBytes-lengthBytes)
}

// firstBatch returns the first records that fit into one append, at least one.
func (limits Limits) firstBatch(records []encoder.KeyedRecord) []encoder.KeyedRecord {
	size := 0
	for index, record := range records {
		size += sizeOf(record) + lengthBytes
		if index > 0 && size > min(limits.RequestBytes, maxBatchBytes) {
			return records[:index]
		}
	}
	return records
}

// isPermanent reports whether the same append will never succeed.
func isPermanent(err *classifier.Error) bool {
	return err != nil && (err.Code == classifier.BodyTooLarge || err.Code == classifier.BadRequest)
}
