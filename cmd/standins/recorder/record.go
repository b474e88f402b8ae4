// Package recorder keeps a bounded record of what the minions of a deployment
// executed, so that a second execution on any minion is seen.
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
	// Call is the caller's own name for the request, from its body.
	Call string
	// Once says that the call must not run twice.
	Once    bool
	Key     string
	Request string
}

// Counts is the summary of a record.
type Counts struct {
	Executions uint64 `json:"executions"`
	// KeysTwice and CallsTwice count what ran more often than it may.
	KeysTwice  uint64 `json:"keys-run-twice"`
	CallsTwice uint64 `json:"calls-run-twice"`
	// RequestsAgain counts repeated requests, which is allowed if they are idempotent.
	RequestsAgain uint64 `json:"requests-run-again"`
	Dropped       uint64 `json:"dropped-from-record"`
}

// New returns an empty record.
func New() *Record {
	return &Record{calls: newTally(capacity), keys: newTally(capacity), requests: newTally(capacity)}
}

// Add counts the start of an execution. A request with a key may run twice only
// if it is idempotent, which its caller says by Once.
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
		Executions:    record.calls.executions,
		KeysTwice:     record.keys.twice,
		CallsTwice:    record.calls.twice,
		RequestsAgain: record.requests.twice,
		Dropped:       record.calls.dropped + record.keys.dropped,
	}
}

type tally struct {
	counts     map[string]uint64
	order      []string
	oldest     int
	executions uint64
	twice      uint64
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
			tally.twice++
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
