package estimator

import (
	"container/list"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"corianderroad/identifier"
)

// Bounds of an Estimator.
const (
	maxSubjects = 4096
	// minSamples is the minimum number of run times for an estimate.
	minSamples = 8
	// window is the number of run times after which older ones are discarded, so
	// that an estimate follows a change of the work.
	window = 128
	// minRunTime and maxRunTime bound the run times that are distinguished.
	minRunTime = time.Millisecond
	maxRunTime = 24 * time.Hour
	// significantFigures is the precision of a histogram. With one significant
	// figure it stays below 4 KB, and no decision needs more.
	significantFigures = 1
)

// Subject identifies the requests whose run times are estimated together.
type Subject struct {
	Workspace identifier.Workspace
	Service   identifier.Service
	Method    identifier.Method
}

// Estimator estimates run times from observed ones. It stores a bounded number of
// subjects and evicts the least recently observed one. It is not safe for
// concurrent use.
type Estimator struct {
	histories map[Subject]*history
	recency   *list.List
}

// history holds the observed run times of a subject.
type history struct {
	subject  Subject
	position *list.Element
	// current receives up to window run times, then it becomes previous.
	current, previous *hdrhistogram.Histogram
	// typical and high are stored, so that an estimate does not scan a histogram.
	typical, high time.Duration
}

// New returns an Estimator without observations.
func New() *Estimator {
	return &Estimator{histories: map[Subject]*history{}, recency: list.New()}
}

// Observe records a run time. An abandoned request counts with the time that it
// had run, so that stragglers are included.
func (estimator *Estimator) Observe(subject Subject, runTime time.Duration) {
	history := estimator.histories[subject]
	if history == nil {
		history = estimator.add(subject)
	}
	estimator.recency.MoveToFront(history.position)
	value := min(max(runTime, minRunTime), maxRunTime)
	// The value is within the histogram's range.
	_ = history.current.RecordValue(value.Milliseconds())
	history.update()
	if history.current.TotalCount() < window {
		return
	}
	if history.previous == nil {
		history.previous = newHistogram()
	}
	history.current, history.previous = history.previous, history.current
	history.current.Reset()
}

func (estimator *Estimator) add(subject Subject) *history {
	if len(estimator.histories) >= maxSubjects {
		oldest := estimator.recency.Remove(estimator.recency.Back()).(*history)
		delete(estimator.histories, oldest.subject)
	}
	added := &history{subject: subject, current: newHistogram()}
	added.position = estimator.recency.PushFront(added)
	estimator.histories[subject] = added
	return added
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minRunTime.Milliseconds(), maxRunTime.Milliseconds(), significantFigures)
}

// update computes the estimates after every run time at first, then after every
// eighth.
func (history *history) update() {
	count := history.current.TotalCount()
	if count > minSamples && count%minSamples != 0 {
		return
	}
	source := history.current
	if count < window/2 && history.previous != nil {
		source = history.previous
	}
	if source.TotalCount() < minSamples {
		return
	}
	history.typical = time.Duration(source.ValueAtQuantile(50)) * time.Millisecond
	history.high = time.Duration(source.ValueAtQuantile(75)) * time.Millisecond
}

// Estimate is the expected run time of a request.
type Estimate struct {
	// Typical is the median, from which waits are estimated.
	Typical time.Duration
	// High is the upper quartile, by which requests are classified: a few
	// stragglers do not make a method long.
	High time.Duration
}

// Estimate returns the estimate for a subject, or the declared run time if there
// are too few observations.
func (estimator *Estimator) Estimate(subject Subject, declared time.Duration) Estimate {
	history := estimator.histories[subject]
	if history == nil || history.high == 0 {
		return Estimate{declared, declared}
	}
	return Estimate{history.typical, history.high}
}

// Len returns the number of stored subjects.
func (estimator *Estimator) Len() int { return len(estimator.histories) }
