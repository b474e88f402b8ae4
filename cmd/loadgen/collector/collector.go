// Package collector counts the results of calls.
package collector

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"corianderroad/buffer"
	"corianderroad/cmd/loadgen/caller"
	"corianderroad/cmd/loadgen/planner"
)

const (
	// Latencies are kept in microseconds up to an hour with 3 digits.
	maxLatency = int64(time.Hour / time.Microsecond)
	digits     = 3
	// maxRefused bounds the calls whose execution is checked afterwards.
	maxRefused = 200_000
)

// Summary is the count of all results. It is not safe for concurrent use.
type Summary struct {
	Verdicts map[caller.Verdict]int
	Refusals map[string]int
	// Losses are the calls without a whole answer or a refusal, by the last fault.
	Losses  map[string]int
	Retries map[string]int
	// SurelyNotRun are the IDs of calls that were refused as not run.
	SurelyNotRun []string
	latencies    map[planner.Class]*hdrhistogram.Histogram
}

// NewSummary returns an empty summary.
func NewSummary() *Summary {
	return &Summary{
		Verdicts: make(map[caller.Verdict]int),
		Refusals: make(map[string]int),
		Losses:   make(map[string]int),
		Retries:  make(map[string]int),
		latencies: map[planner.Class]*hdrhistogram.Histogram{
			planner.Short: hdrhistogram.New(1, maxLatency, digits),
			planner.Long:  hdrhistogram.New(1, maxLatency, digits),
		},
	}
}

// Add counts one result.
func (summary *Summary) Add(result caller.Result) {
	summary.Verdicts[result.Verdict]++
	for _, reason := range result.Retries {
		summary.Retries[reason]++
	}
	switch result.Verdict {
	case caller.Whole:
		latency := min(max(result.Latency.Microseconds(), 1), maxLatency)
		// The value is within the histogram's bounds, so it can't be refused.
		_ = summary.latencies[result.Call.Kind.Class].RecordValue(latency)
	case caller.Lost, caller.Broken, caller.Incomplete, caller.Foreign:
		summary.Losses[result.Code]++
	case caller.Refused:
		summary.Refusals[result.Code]++
		if result.SurelyNotRun && len(summary.SurelyNotRun) < maxRefused {
			summary.SurelyNotRun = append(summary.SurelyNotRun, result.Call.ID)
		}
	}
}

// Sent returns the number of calls with a verdict.
func (summary *Summary) Sent() int {
	sent := 0
	for _, count := range summary.Verdicts {
		sent += count
	}
	return sent
}

// Repetitions returns how often calls were sent again.
func (summary *Summary) Repetitions() int {
	repetitions := 0
	for _, count := range summary.Retries {
		repetitions += count
	}
	return repetitions
}

// Latency is the distribution of the whole answers of one class.
type Latency struct {
	Class                planner.Class
	Count                int64
	Median, P99, Longest time.Duration
}

// Latency returns the distribution of a class.
func (summary *Summary) Latency(class planner.Class) Latency {
	histogram := summary.latencies[class]
	at := func(quantile float64) time.Duration {
		return time.Duration(histogram.ValueAtQuantile(quantile)) * time.Microsecond
	}
	return Latency{
		Class:   class,
		Count:   histogram.TotalCount(),
		Median:  at(50),
		P99:     at(99),
		Longest: time.Duration(histogram.Max()) * time.Microsecond,
	}
}

// Collect is the duty that owns the summary. It reports progress in every
// period and returns the summary when ended is done, which says that all
// callers have put their last result.
func Collect(ended context.Context, results *buffer.Ring[caller.Result], period time.Duration, progress func(*Summary)) *Summary {
	summary := NewSummary()
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case result := <-results.Entries():
			summary.Add(result)
		case <-ticker.C:
			progress(summary)
		case <-ended.Done():
			for results.Depth() > 0 {
				summary.Add(<-results.Entries())
			}
			return summary
		}
	}
}
