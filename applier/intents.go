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
	// issueSkew is how far an intent may precede the time in its key, because the
	// clocks of callers and log differ.
	issueSkew = time.Minute
	// issueAge is how long after its time of issue a key is valid.
	issueAge = 10 * time.Minute
	// intentAge is the time between the earliest and the latest valid intent of
	// a key.
	intentAge = issueSkew + issueAge
	// emptyCoverage is how long an empty stream has surely been empty: the log
	// keeps appends longer than a key is valid.
	emptyCoverage = intentAge + time.Minute
)

// holder is the process that wrote an intent.
type holder struct {
	node        identifier.Node
	incarnation identifier.Incarnation
}

// intent is the first valid intent of a key. A million of them must fit into a
// part of the node's 64 MB: it holds hashes for the key and the request, and no
// pointers that the garbage collector would scan. Two keys with one hash cost
// the later one its answer, but never run a request twice.
type intent struct {
	key, request uint64
	// at is the log's time in Unix seconds, rounded down.
	at     uint32
	holder uint32
}

// intents is the state of the stream intents.
type intents struct {
	identity messenger.Identity
	capacity int
	// since is the time after which every append of the stream was folded.
	since time.Time
	// first maps the hash of a key to the index of its intent in order.
	first map[uint64]uint32
	// order is a ring of the intents in the order of the log; from and next are
	// the positions of its oldest and next intent.
	order      []intent
	from, next uint64
	holders    []holder
	holderOf   map[holder]uint32
}

func newIntents(identity messenger.Identity, capacity int) *intents {
	return &intents{
		identity: identity, capacity: capacity,
		first: map[uint64]uint32{}, holderOf: map[holder]uint32{},
	}
}

func (intents *intents) fold(read messenger.AppendRead, entry messenger.Entry) verdict {
	record, ok := entry.Record.(messenger.Intent)
	if !ok {
		return verdict{}
	}
	own := record.Node == intents.identity.Node && record.Incarnation == intents.identity.Incarnation
	answer := messenger.IntentApplied{Key: record.Key, Request: record.Request}
	issued, err := commander.IssuedAt(record.Key)
	if err == nil && valid(read.AppendedAt, issued) {
		repeated := intents.decide(read.AppendedAt, issued, record, &answer)
		if repeated {
			return verdict{}
		}
	}
	if !own {
		return verdict{}
	}
	return verdict{offset: read.Offset, actions: []messenger.Action{answer}}
}

// valid says whether an intent that was appended at the given time of the log
// can be the first of its key.
func valid(appendedAt, issued time.Time) bool {
	return !appendedAt.Before(issued.Add(-issueSkew)) && !appendedAt.After(issued.Add(issueAge))
}

// decide sets First or Holder of the answer to a valid intent. It returns true
// if the intent is a copy of the first one, which was answered before.
func (intents *intents) decide(appendedAt, issued time.Time, record messenger.Intent, answer *messenger.IntentApplied) bool {
	// A UUID has several spellings, so its octets are hashed and not its text,
	// which IssuedAt has parsed before.
	id, _ := uuid.Parse(string(record.Key))
	key := xxhash.Sum64(id[:])
	request := xxhash.Sum64String(string(record.Request))
	// An earlier valid intent can't have been missed if the stream is folded since
	// the earliest time at which it could have been appended.
	covered := intents.since.Before(issued.Add(-issueSkew))
	index, known := intents.first[key]
	if !known {
		intents.add(intent{
			key: key, request: request, at: uint32(appendedAt.Unix()),
			holder: intents.intern(holder{record.Node, record.Incarnation}),
		})
		answer.First = covered
		return false
	}
	first := intents.order[index]
	firstHolder := intents.holders[first.holder]
	if first.request == request && firstHolder == (holder{record.Node, record.Incarnation}) {
		return true
	}
	// The outcomes that an earlier process of this node kept are lost.
	ownEarlier := firstHolder.node == intents.identity.Node && firstHolder.incarnation != intents.identity.Incarnation
	if covered && !ownEarlier {
		answer.Holder = firstHolder.node
	}
	return false
}

func (intents *intents) add(first intent) {
	if intents.next-intents.from == uint64(len(intents.order)) {
		intents.grow()
	}
	index := intents.next % uint64(len(intents.order))
	intents.first[first.key] = uint32(index)
	intents.order[index] = first
	intents.next++
}

// grow doubles the ring, or drops the oldest intent at capacity. Keys that could
// have been dropped are then no longer covered, so that none runs twice. The
// second makes up for the rounding of the intent's time.
func (intents *intents) grow() {
	if len(intents.order) >= intents.capacity {
		intents.since = later(intents.since, time.Unix(int64(intents.oldest().at)+1, 0))
		intents.drop()
		return
	}
	order := make([]intent, 0, min(max(2*len(intents.order), 64), intents.capacity))
	for position := intents.from; position < intents.next; position++ {
		first := intents.order[position%uint64(len(intents.order))]
		intents.first[first.key] = uint32(len(order))
		order = append(order, first)
	}
	intents.from, intents.next = 0, uint64(len(order))
	intents.order = order[:cap(order)]
}

func (intents *intents) oldest() intent {
	return intents.order[intents.from%uint64(len(intents.order))]
}

func (intents *intents) drop() {
	delete(intents.first, intents.oldest().key)
	intents.from++
}

// advance drops the intents whose keys are no longer valid.
func (intents *intents) advance(read messenger.AppendRead) {
	limit := read.AppendedAt.Add(-intentAge).Unix()
	for intents.from < intents.next && int64(intents.oldest().at) < limit {
		intents.drop()
	}
	if len(intents.holders) > maxHolders {
		intents.compactHolders()
	}
}

// restart begins a new coverage at an append: what preceded it is unknown.
func (intents *intents) restart(read messenger.AppendRead) bool {
	*intents = *newIntents(intents.identity, intents.capacity)
	intents.since = read.AppendedAt
	return true
}

// digest is not kept: no snapshot of this stream is written, because a new node
// reads the last minutes of it from the log.
func (intents *intents) digest() uint64 { return 0 }

// maxHolders bounds the processes that are kept by number.
const maxHolders = 4096

func (intents *intents) intern(holder holder) uint32 {
	if number, ok := intents.holderOf[holder]; ok {
		return number
	}
	number := uint32(len(intents.holders))
	intents.holders = append(intents.holders, holder)
	intents.holderOf[holder] = number
	return number
}

// compactHolders drops the processes without an intent.
func (intents *intents) compactHolders() {
	old := intents.holders
	intents.holders, intents.holderOf = nil, map[holder]uint32{}
	for position := intents.from; position < intents.next; position++ {
		first := &intents.order[position%uint64(len(intents.order))]
		first.holder = intents.intern(old[first.holder])
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
