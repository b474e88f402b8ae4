package tailer

import (
	"maps"
	"slices"
)

// keys are the keys of the topic that were delivered with a value. After a gap in the
// history they show which ones were deleted meanwhile.
type keys map[string]struct{}

// add adds the keys of delivered records and removes those that were deleted.
func (keys keys) add(records []Record) {
	for _, record := range records {
		switch {
		case record.Key == "": // no writer of the topic uses it
		case record.Value == nil:
			delete(keys, record.Key)
		default:
			keys[record.Key] = struct{}{}
		}
	}
}

// deletions returns a record without a value for each key that a complete listing lacks. It
// returns none if a record of the listing has no readable key.
func (keys keys) deletions(listing *partialListing) []Record {
	listed := make(map[string]struct{}, len(listing.records))
	for _, record := range listing.records {
		if record.Key == "" {
			return nil
		}
		listed[record.Key] = struct{}{}
	}
	var deletions []Record
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		if _, ok := listed[key]; !ok {
			deletions = append(deletions, Record{Offset: listing.end, Key: key})
		}
	}
	return deletions
}
