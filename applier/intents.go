package applier

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"corianderroad/commander"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

const (
	// maxClockSkew is how far the append of an intent may precede the time of issue
	// in its key, because the clocks of callers and of the log differ.
	maxClockSkew = time.Minute
	// keyValidity is how long a key is valid after its time of issue.
	keyValidity = 10 * time.Minute
	// intentRetention is the time between the earliest and the latest valid intent
	// of a key.
	intentRetention = maxClockSkew + keyValidity
	// emptyCoverage is how long an empty stream has certainly been empty, because
	// the log retains appends for longer than a key is valid.
	emptyCoverage = intentRetention + time.Minute
)

// writer is the process that wrote an intent.
type writer struct {
	node        identifier.Node
	incarnation identifier.Incarnation
}

// intent is the first valid intent of a key. A million intents must fit into a
// part of the node's 64 MB. Hashes therefore stand for the key and the request, and
// there are no pointers for the garbage collector to scan. If two keys have the
// same hash, the later one's request is not run; none runs twice.
type intent struct {
	key, request uint64
	// at is the log's time in Unix seconds, rounded down.
	at uint32
	// writer is an index of intents.writers.
	writer uint32
}

// intents is the state of the intents stream.
type intents struct {
	identity messenger.Identity
	capacity int
	// coveredSince is the time after which every append of the stream was applied.
	coveredSince time.Time
	// indexByKey maps the hash of a key to the index of its intent in ring.
	indexByKey map[uint64]uint32
	// ring holds the intents in the order of the log. From and next are the
	// positions of the oldest intent and of the next one to be added; the index of
	// a position is its remainder modulo the length of ring.
	ring        []intent
	from, next  uint64
	writers     []writer
	writerIndex map[writer]uint32
}

func newIntents(identity messenger.Identity, capacity int) *intents {
	return &intents{
		identity: identity, capacity: capacity,
		indexByKey: map[uint64]uint32{}, writerIndex: map[writer]uint32{},
	}
}

func (intents *intents) apply(read messenger.AppendRead, entry messenger.Entry) effect {
	record, ok := entry.Record.(messenger.Intent)
	if !ok {
		return effect{}
	}
	isOwn := record.Node == intents.identity.Node && record.Incarnation == intents.identity.Incarnation
	answer := messenger.IntentApplied{Key: record.Key, Request: record.Request}
	issued, err := commander.IssuedAt(record.Key)
	if err == nil && isValidIntent(read.AppendedAt, issued) {
		isDuplicate := intents.applyValid(read.AppendedAt, issued, record, &answer)
		if isDuplicate {
			return effect{}
		}
	}
	if !isOwn {
		return effect{}
	}
	return effect{offset: read.Offset, actions: []messenger.Action{answer}}
}

// isValidIntent reports whether an intent can be the first of its key, given the
// log's time of its append and the time of issue of the key.
func isValidIntent(appendedAt, issued time.Time) bool {
	return !appendedAt.Before(issued.Add(-maxClockSkew)) && !appendedAt.After(issued.Add(keyValidity))
}

// applyValid stores a valid intent if it is the first of its key, and sets First or
// Holder of the answer. It returns true if the intent is a duplicate of the first one,
// which has been answered.
func (intents *intents) applyValid(appendedAt, issued time.Time, record messenger.Intent, answer *messenger.IntentApplied) bool {
	// The bytes of the UUID are hashed instead of the text, because a UUID has several
	// spellings. Parsing can't fail, because IssuedAt has parsed the key.
	id, _ := uuid.Parse(string(record.Key))
	key := xxhash.Sum64(id[:])
	request := xxhash.Sum64String(string(record.Request))
	// No earlier valid intent was missed if every append was applied since the
	// earliest time at which such an intent could have been appended.
	covered := intents.coveredSince.Before(issued.Add(-maxClockSkew))
	index, found := intents.indexByKey[key]
	if !found {
		intents.add(intent{
			key: key, request: request, at: uint32(appendedAt.Unix()),
			writer: intents.internWriter(writer{record.Node, record.Incarnation}),
		})
		answer.First = covered
		return false
	}
	first := intents.ring[index]
	firstWriter := intents.writers[first.writer]
	if first.request == request && firstWriter == (writer{record.Node, record.Incarnation}) {
		return true
	}
	// The outcomes that an earlier incarnation of this node stored are lost.
	isOwnEarlier := firstWriter.node == intents.identity.Node && firstWriter.incarnation != intents.identity.Incarnation
	if covered && !isOwnEarlier {
		answer.Holder = firstWriter.node
	}
	return false
}

func (intents *intents) add(first intent) {
	if intents.next-intents.from == uint64(len(intents.ring)) {
		intents.makeSpace()
	}
	index := intents.next % uint64(len(intents.ring))
	intents.indexByKey[first.key] = uint32(index)
	intents.ring[index] = first
	intents.next++
}

// makeSpace doubles the ring, or deletes the oldest intent if the ring is at
// capacity. Keys whose intent could have been deleted are then no longer covered, so
// that no request runs twice. The added second compensates for the rounding of the
// intent's time.
func (intents *intents) makeSpace() {
	if len(intents.ring) >= intents.capacity {
		intents.coveredSince = later(intents.coveredSince, time.Unix(int64(intents.oldest().at)+1, 0))
		intents.dropOldest()
		return
	}
	order := make([]intent, 0, min(max(2*len(intents.ring), 64), intents.capacity))
	for position := intents.from; position < intents.next; position++ {
		first := intents.ring[position%uint64(len(intents.ring))]
		intents.indexByKey[first.key] = uint32(len(order))
		order = append(order, first)
	}
	intents.from, intents.next = 0, uint64(len(order))
	intents.ring = order[:cap(order)]
}

func (intents *intents) oldest() intent {
	return intents.ring[intents.from%uint64(len(intents.ring))]
}

func (intents *intents) dropOldest() {
	delete(intents.indexByKey, intents.oldest().key)
	intents.from++
}

// expire deletes the intents whose keys are no longer valid.
func (intents *intents) expire(read messenger.AppendRead) {
	limit := read.AppendedAt.Add(-intentRetention).Unix()
	for intents.from < intents.next && int64(intents.oldest().at) < limit {
		intents.dropOldest()
	}
	if len(intents.writers) > maxWriters {
		intents.compactWriters()
	}
}

// restartAt deletes all intents and restarts the coverage at an append, because
// the preceding appends are unknown.
func (intents *intents) restartAt(read messenger.AppendRead) bool {
	*intents = *newIntents(intents.identity, intents.capacity)
	intents.coveredSince = read.AppendedAt
	return true
}

// digest returns 0. No snapshot of this stream is written, because a new node
// reads the last minutes of the stream from the log.
func (intents *intents) digest() uint64 { return 0 }

// maxWriters is the number of writers above which those without an intent are
// deleted.
const maxWriters = 4096

func (intents *intents) internWriter(writer writer) uint32 {
	if number, ok := intents.writerIndex[writer]; ok {
		return number
	}
	number := uint32(len(intents.writers))
	intents.writers = append(intents.writers, writer)
	intents.writerIndex[writer] = number
	return number
}

// compactWriters deletes the writers without an intent.
func (intents *intents) compactWriters() {
	old := intents.writers
	intents.writers, intents.writerIndex = nil, map[writer]uint32{}
	for position := intents.from; position < intents.next; position++ {
		first := &intents.ring[position%uint64(len(intents.ring))]
		first.writer = intents.internWriter(old[first.writer])
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
