package auditor

import (
	"context"
	"time"
)

const (
	auditPeriod = 500 * time.Millisecond
	// maxViolations bounds the findings that are retained.
	maxViolations = 1000
)

// Findings collects the results of audits. It is not safe for concurrent use.
type Findings struct {
	seen map[Violation]struct{}
	// Violations are the first violations found, without duplicates.
	Violations []Violation
	// Audits is the number of completed audits.
	Audits int
}

// NewFindings returns empty findings.
func NewFindings() *Findings { return &Findings{seen: make(map[Violation]struct{})} }

// Add records the violations that one audit found.
func (findings *Findings) Add(violations []Violation) {
	findings.Audits++
	for _, violation := range violations {
		if _, seen := findings.seen[violation]; seen || len(findings.seen) >= maxViolations {
			continue
		}
		findings.seen[violation] = struct{}{}
		findings.Violations = append(findings.Violations, violation)
	}
}

// Source reads the runs of all workers.
type Source interface {
	Runs(ctx context.Context) []Run
}

// Watch is the duty that audits the source twice a second until the context ends.
func Watch(ctx context.Context, source Source, lease time.Duration, report func(context.Context, []Violation)) error {
	ticker := time.NewTicker(auditPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			// The clock is read before the runs: a run that is still active
			// when it is read must not be judged by a later time.
			now := time.Now()
			report(ctx, Audit(now, lease, source.Runs(ctx)))
		}
	}
}
