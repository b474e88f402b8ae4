// Package recorder holds a bounded record of the calls that the minions of a
// deployment executed, so that a repeated execution on any minion is detected.
package recorder

// capacity bounds the record; the oldest entries are dropped first.
const capacity = 1 << 18

// Record counts executions by identity. It is not safe for concurrent use.
type Record struct {
	calls    *tally
	keys     *tally
	requests *tally
}

// Execution identifies one execution by a minion. Empty fields are not counted.
type Execution struct {
	// Call is the name that the caller gave the request in its body.
	Call string
	// Once is true if the call must not run twice.
	Once    bool
	Key     string
	Request string
}

// Counts is the summary of a record.
type Counts struct {
	Executions uint64 `json:"executions"`
	// KeysRunTwice and CallsRunTwice count the executions beyond the first of
	// keys and calls that must run once.
	KeysRunTwice  uint64 `json:"keys-run-twice"`
	CallsRunTwice uint64 `json:"calls-run-twice"`
	// RequestsRunAgain counts repeated executions of requests, which are allowed
	// if the requests are idempotent.
	RequestsRunAgain uint64 `json:"requests-run-again"`
	Dropped          uint64 `json:"dropped-from-record"`
}

// New returns an empty record.
func New() *Record {
	return &Record{calls: newTally(capacity), keys: newTally(capacity), requests: newTally(capacity)}
}

// Add counts the start of an execution. A request with a key may run twice only
// if it is idempotent; its caller sets Once if it is not.
func (record *Record) Add(execution Execution) {
	record.calls.executions++
	record.calls.add(execution.Call, execution.Once)
	record.keys.add(execution.Key, execution.Once)
	record.requests.add(execution.Request, true)
}

// Executions returns how often a call ran.
func (record *Record) Executions(call string) uint64 { return record.calls.counts[call] }

// Counts returns the summary.
func (record *Record) Counts() Counts {
	return Counts{
		Executions:       record.calls.executions,
		KeysRunTwice:     record.keys.repeats,
		CallsRunTwice:    record.calls.repeats,
		RequestsRunAgain: record.requests.repeats,
		Dropped:          record.calls.dropped + record.keys.dropped,
	}
}

type tally struct {
	counts     map[string]uint64
	order      []string
	oldest     int
	executions uint64
	repeats    uint64
	dropped    uint64
}

func newTally(capacity int) *tally {
	return &tally{counts: make(map[string]uint64), order: make([]string, 0, capacity)}
}

func (tally *tally) add(name string, once bool) {
	if name == "" {
		return
	}
	tally.counts[name]++
	if tally.counts[name] > 1 {
		if once {
			tally.repeats++
		}
		return
	}
	if len(tally.order) < cap(tally.order) {
		tally.order = append(tally.order, name)
		return
	}
	delete(tally.counts, tally.order[tally.oldest])
	tally.order[tally.oldest] = name
	tally.oldest = (tally.oldest + 1) % len(tally.order)
	tally.dropped++
}
