package estimator

import (
	"container/list"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"corianderroad/identifier"
)

// Bounds of what is learned.
const (
	maxEntries = 4096
	// enough is the number of run times from which an estimate is taken.
	enough = 8
	// window is the number of run times after which older ones are given up, so
	// that an estimate follows a change of the work.
	window = 128
	// lowest and highest bound the run times that are told apart.
	lowest  = time.Millisecond
	highest = 24 * time.Hour
	// figures is the number of significant figures: one keeps a histogram
	// below 4 KB, and no decision needs more.
	figures = 1
)

// Subject is what run times are learned for.
type Subject struct {
	Workspace identifier.Workspace
	Service   identifier.Service
	Method    identifier.Method
}

// Estimator learns run times. It keeps a bounded number of subjects and gives
// up the one that was used least recently. It is not safe for concurrent use.
type Estimator struct {
	bySubject map[Subject]*history
	recent    *list.List
}

type history struct {
	subject  Subject
	position *list.Element
	// current fills up to window run times, then it becomes previous.
	current, previous *hdrhistogram.Histogram
	// typical and high are kept so that an estimate costs no scan.
	typical, high time.Duration
}

// New returns an Estimator that has learned nothing.
func New() *Estimator {
	return &Estimator{bySubject: map[Subject]*history{}, recent: list.New()}
}

// Observe learns a run time. A request that was given up counts with the time
// that it had run, so that stragglers are not left out.
func (estimator *Estimator) Observe(subject Subject, runTime time.Duration) {
	known := estimator.bySubject[subject]
	if known == nil {
		known = estimator.add(subject)
	}
	estimator.recent.MoveToFront(known.position)
	value := min(max(runTime, lowest), highest)
	// The value is within the histogram's range.
	_ = known.current.RecordValue(value.Milliseconds())
	known.update()
	if known.current.TotalCount() < window {
		return
	}
	if known.previous == nil {
		known.previous = newHistogram()
	}
	known.current, known.previous = known.previous, known.current
	known.current.Reset()
}

func (estimator *Estimator) add(subject Subject) *history {
	if len(estimator.bySubject) >= maxEntries {
		oldest := estimator.recent.Remove(estimator.recent.Back()).(*history)
		delete(estimator.bySubject, oldest.subject)
	}
	added := &history{subject: subject, current: newHistogram()}
	added.position = estimator.recent.PushFront(added)
	estimator.bySubject[subject] = added
	return added
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowest.Milliseconds(), highest.Milliseconds(), figures)
}

// update renews the estimates after every run time at first, then after each
// eighth.
func (history *history) update() {
	count := history.current.TotalCount()
	if count > enough && count%enough != 0 {
		return
	}
	source := history.current
	if count < window/2 && history.previous != nil {
		source = history.previous
	}
	if source.TotalCount() < enough {
		return
	}
	history.typical = time.Duration(source.ValueAtQuantile(50)) * time.Millisecond
	history.high = time.Duration(source.ValueAtQuantile(75)) * time.Millisecond
}

// Estimate is the expected run time of a request.
type Estimate struct {
	// Typical is the median, by which waits are estimated.
	Typical time.Duration
	// High is the upper quartile, by which requests are classed: a few
	// stragglers do not make a method long.
	High time.Duration
}

// Estimate returns what was learned for a subject, or the declared run time if
// too little was learned.
func (estimator *Estimator) Estimate(subject Subject, declared time.Duration) Estimate {
	known := estimator.bySubject[subject]
	if known == nil || known.high == 0 {
		return Estimate{declared, declared}
	}
	return Estimate{known.typical, known.high}
}

// Len returns the number of subjects for which something was learned.
func (estimator *Estimator) Len() int { return len(estimator.bySubject) }
