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
	// Latencies are recorded in microseconds, up to an hour and with 3 digits.
	maxLatency = int64(time.Hour / time.Microsecond)
	digits     = 3
	// maxCertainlyNotRun bounds the calls whose execution is checked afterwards.
	maxCertainlyNotRun = 200_000
)

// Summary counts all results. It is not safe for concurrent use.
type Summary struct {
	Verdicts map[caller.Verdict]int
	Refusals map[string]int
	// Losses counts the calls without a complete answer or a refusal, by the code of
	// the last failure.
	Losses  map[string]int
	Retries map[string]int
	// CertainlyNotRun are the IDs of calls that were refused as not run.
	CertainlyNotRun []string
	latencies       map[planner.Class]*hdrhistogram.Histogram
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
	case caller.Answered:
		latency := min(max(result.Latency.Microseconds(), 1), maxLatency)
		// The value is within the histogram's bounds, so that this cannot fail.
		_ = summary.latencies[result.Call.Kind.Class].RecordValue(latency)
	case caller.Lost, caller.Broken, caller.Incomplete, caller.Foreign:
		summary.Losses[result.Code]++
	case caller.Refused:
		summary.Refusals[result.Code]++
		if result.CertainlyNotRun && len(summary.CertainlyNotRun) < maxCertainlyNotRun {
			summary.CertainlyNotRun = append(summary.CertainlyNotRun, result.Call.ID)
		}
	}
}

// SentCount returns the number of calls with a verdict.
func (summary *Summary) SentCount() int {
	sent := 0
	for _, count := range summary.Verdicts {
		sent += count
	}
	return sent
}

// RetryCount returns the number of retries of all calls.
func (summary *Summary) RetryCount() int {
	retries := 0
	for _, count := range summary.Retries {
		retries += count
	}
	return retries
}

// Latency is the latency distribution of the answered calls of one class.
type Latency struct {
	Class                planner.Class
	Count                int64
	Median, P99, Longest time.Duration
}

// Latency returns the latency distribution of a class.
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

// Collect is the duty that owns the summary. It reports progress once per period.
// It returns the summary when ended is done, which means that all callers have
// delivered their last result.
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
