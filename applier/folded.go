package applier

import (
	"time"

	"corianderroad/messenger"
)

const (
	// foldedAge is above the time for which an appender repeats a record, so that
	// no repetition arrives after its ID was dropped.
	foldedAge = 10 * time.Minute
	maxFolded = 4096
)

// folded keeps the IDs of recent records, so that a record that was
// appended twice folds once. It is part of the state: a node that starts from a
// snapshot must treat a repetition as the others do.
type folded struct {
	ids    map[string]struct{}
	order  []messenger.AppliedEntry
	digest uint64
}

func newFolded(entries []messenger.AppliedEntry) *folded {
	folded := &folded{ids: make(map[string]struct{}, len(entries))}
	for _, entry := range entries {
		folded.add(entry.ID, entry.At)
	}
	return folded
}

// add returns false if the ID is known.
func (folded *folded) add(id string, at time.Time) bool {
	if _, known := folded.ids[id]; known {
		return false
	}
	folded.ids[id] = struct{}{}
	entry := messenger.AppliedEntry{ID: id, At: at}
	folded.order = append(folded.order, entry)
	folded.digest += foldedFingerprint(entry)
	return true
}

// expire drops the IDs that are old by the log's time.
func (folded *folded) expire(now time.Time) {
	expired := 0
	for expired < len(folded.order) &&
		(now.Sub(folded.order[expired].At) > foldedAge || len(folded.order)-expired > maxFolded) {
		folded.digest -= foldedFingerprint(folded.order[expired])
		delete(folded.ids, folded.order[expired].ID)
		expired++
	}
	folded.order = folded.order[expired:]
}

func foldedFingerprint(entry messenger.AppliedEntry) uint64 {
	fingerprint := newFingerprint("folded")
	fingerprint.text(entry.ID)
	fingerprint.time(entry.At)
	return fingerprint.sum()
}
