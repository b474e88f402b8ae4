package auditor

import (
	"context"
	"time"
)

const (
	period = 500 * time.Millisecond
	// maxParts bounds the findings.
	maxParts = 1000
)

// Findings is what audits have found. It is not safe for concurrent use.
type Findings struct {
	seen map[Part]struct{}
	// Parts are the first parts found, each once.
	Parts []Part
	// Audits is the number of audits that were made.
	Audits int
}

// NewFindings returns empty findings.
func NewFindings() *Findings { return &Findings{seen: make(map[Part]struct{})} }

// Add records the parts of one audit.
func (findings *Findings) Add(parts []Part) {
	findings.Audits++
	for _, part := range parts {
		if _, known := findings.seen[part]; known || len(findings.seen) >= maxParts {
			continue
		}
		findings.seen[part] = struct{}{}
		findings.Parts = append(findings.Parts, part)
	}
}

// Source reads the runs of all workers.
type Source interface {
	Runs(ctx context.Context) []Run
}

// Watch is the duty that audits the source twice a second until the context ends.
func Watch(ctx context.Context, source Source, lease time.Duration, report func(context.Context, []Part)) error {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			// The time is taken first: a run that is still going on after it
			// must not be judged by a later time.
			now := time.Now()
			report(ctx, Audit(now, lease, source.Runs(ctx)))
		}
	}
}
