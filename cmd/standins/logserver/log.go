// Package logserver is the stand-in of the platform's log service.
package logserver

import (
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"corianderroad/identifier"
)

// maxPageBytes bounds the payload bytes of one page. A page holds at least one
// append, whatever its size.
const maxPageBytes = 2 << 20

// Append is one entry of a stream.
type Append struct {
	Offset     identifier.Offset `json:"offset"`
	ID         string            `json:"id"`
	Payload    []byte            `json:"payload"`
	AppendedAt time.Time         `json:"appended-at"`
}

// Page is a part of a stream.
type Page struct {
	// FirstRetained is the lowest offset that can still be read.
	FirstRetained identifier.Offset `json:"first-retained"`
	// Next is the offset that the stream's next append will get.
	Next    identifier.Offset `json:"next"`
	Appends []Append          `json:"appends"`
}

// Limits bounds the log.
type Limits struct {
	AppendsPerSecond float64
	Retention        time.Duration
	RetainedAppends  int
}

type stream struct {
	appends []Append
	next    identifier.Offset
	// appended is closed by the next append, to wake the long polls.
	appended chan struct{}
}

// Log is the state of the log service. It is not safe for concurrent use.
type Log struct {
	limits  Limits
	limiter *rate.Limiter
	random  *rand.Rand
	streams map[identifier.Stream]*stream
	newest  time.Time
	faults  Faults
	counts  Counts
}

// Counts holds the counters of the log.
type Counts struct {
	Appends     uint64 `json:"appends"`
	RateLimited uint64 `json:"rate-limited"`
	LostAnswers uint64 `json:"lost-answers"`
	Reads       uint64 `json:"reads"`
}

// NewLog returns an empty log with the system's three streams.
func NewLog(limits Limits, seed uint64) *Log {
	log := &Log{
		limits: limits,
		// The burst is the number of appends that the rate allows in 100 ms.
		limiter: rate.NewLimiter(rate.Limit(limits.AppendsPerSecond), max(1, int(limits.AppendsPerSecond/10))),
		random:  rand.New(rand.NewPCG(seed, 0)),
		streams: make(map[identifier.Stream]*stream),
	}
	for _, name := range []identifier.Stream{identifier.Configuration, identifier.Jobs, identifier.Intents} {
		log.streams[name] = &stream{next: 1, appended: make(chan struct{})}
	}
	return log
}

// Append adds an entry and returns its offset. It returns false if the rate limit
// is exceeded. An entry whose ID already exists is appended again: clients must
// resolve lost responses themselves.
func (log *Log) Append(now time.Time, name identifier.Stream, id string, payload []byte) (identifier.Offset, bool) {
	if !log.limiter.AllowN(now, 1) {
		log.counts.RateLimited++
		return 0, false
	}
	now = log.advance(now)
	target := log.streams[name]
	added := Append{Offset: target.next, ID: id, Payload: payload, AppendedAt: now}
	target.appends = append(target.appends, added)
	target.next++
	close(target.appended)
	target.appended = make(chan struct{})
	log.trim(now, target)
	log.counts.Appends++
	return added.Offset, true
}

// Read returns the appends of a stream from an offset on. It returns false if
// the offset is no longer retained. If there is nothing to read, it returns a
// channel that the next append closes.
func (log *Log) Read(now time.Time, name identifier.Stream, from identifier.Offset, limit int) (Page, <-chan struct{}, bool) {
	now = log.advance(now)
	source := log.streams[name]
	log.trim(now, source)
	log.counts.Reads++
	page := Page{FirstRetained: source.next - identifier.Offset(len(source.appends)), Next: source.next, Appends: []Append{}}
	if from < page.FirstRetained {
		return page, nil, false
	}
	if from >= source.next {
		return page, source.appended, true
	}
	octets := 0
	for _, candidate := range source.appends[from-page.FirstRetained:] {
		octets += len(candidate.Payload)
		if len(page.Appends) == limit || (octets > maxPageBytes && len(page.Appends) > 0) {
			break
		}
		page.Appends = append(page.Appends, candidate)
	}
	return page, nil, true
}

// HasStream reports whether the log has a stream of this name.
func (log *Log) HasStream(name identifier.Stream) bool { return log.streams[name] != nil }

// Counts returns the log's counters.
func (log *Log) Counts() Counts { return log.counts }

// advance sets the log's clock to now, unless it is already later, and returns it.
// Readers use the clock to determine the age of appends consistently.
func (log *Log) advance(now time.Time) time.Time {
	if now.After(log.newest) {
		log.newest = now
	}
	return log.newest
}

func (log *Log) trim(now time.Time, target *stream) {
	excess := 0
	for excess < len(target.appends) {
		oldest := target.appends[excess]
		if len(target.appends)-excess <= log.limits.RetainedAppends && now.Sub(oldest.AppendedAt) <= log.limits.Retention {
			break
		}
		excess++
	}
	if excess > 0 {
		// The copy releases the dropped payloads.
		target.appends = append([]Append(nil), target.appends[excess:]...)
	}
}
