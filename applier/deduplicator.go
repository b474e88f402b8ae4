package applier

import (
	"time"

	"corianderroad/messenger"
)

const (
	// entryRetention exceeds the time for which an appender retries a record, so
	// that no duplicate arrives after the record's ID was deleted.
	entryRetention = 10 * time.Minute
	maxEntries     = 4096
)

// deduplicator stores the IDs of recent records, so that a record that was
// appended twice is applied once. It is part of the state, because a node that
// starts from a snapshot must recognize the same duplicates as the other nodes.
type deduplicator struct {
	ids     map[string]struct{}
	entries []messenger.AppliedEntry
	digest  uint64
}

func newDeduplicator(entries []messenger.AppliedEntry) *deduplicator {
	deduplicator := &deduplicator{ids: make(map[string]struct{}, len(entries))}
	for _, entry := range entries {
		deduplicator.add(entry.ID, entry.At)
	}
	return deduplicator
}

// add stores an ID. It returns false if the ID was stored before.
func (deduplicator *deduplicator) add(id string, at time.Time) bool {
	if _, found := deduplicator.ids[id]; found {
		return false
	}
	deduplicator.ids[id] = struct{}{}
	entry := messenger.AppliedEntry{ID: id, At: at}
	deduplicator.entries = append(deduplicator.entries, entry)
	deduplicator.digest += entryFingerprint(entry)
	return true
}

// expire deletes the IDs that are older than entryRetention and the oldest IDs beyond
// maxEntries. Now is the log's time.
func (deduplicator *deduplicator) expire(now time.Time) {
	expired := 0
	for expired < len(deduplicator.entries) &&
		(now.Sub(deduplicator.entries[expired].At) > entryRetention || len(deduplicator.entries)-expired > maxEntries) {
		deduplicator.digest -= entryFingerprint(deduplicator.entries[expired])
		delete(deduplicator.ids, deduplicator.entries[expired].ID)
		expired++
	}
	deduplicator.entries = deduplicator.entries[expired:]
}

func entryFingerprint(entry messenger.AppliedEntry) uint64 {
	fingerprint := newFingerprint("folded")
	fingerprint.addText(entry.ID)
	fingerprint.addTime(entry.At)
	return fingerprint.sum()
}
