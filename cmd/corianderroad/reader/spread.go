package reader

import (
	"context"
	"fmt"
	"io"
	"time"

	"corianderroad/identifier"
	"corianderroad/requester"
	"corianderroad/responder"
)

// pollInterval is the time between two looks at the deployment's status.
const pollInterval = 200 * time.Millisecond

// Spread says on which nodes a version is in force.
type Spread struct {
	Version identifier.Offset `json:"version"`
	InForce []identifier.Node `json:"in-force"`
	Behind  []identifier.Node `json:"behind"`
	Silent  []identifier.Node `json:"silent"`
}

// Write writes the spread for a person.
func (spread Spread) Write(out io.Writer) {
	total := len(spread.InForce) + len(spread.Behind) + len(spread.Silent)
	fmt.Fprintf(out, "version %d is in force on %d of %d nodes\n", spread.Version, len(spread.InForce), total)
	for _, node := range spread.Behind {
		fmt.Fprintf(out, "not yet in force on %s\n", node)
	}
	for _, node := range spread.Silent {
		fmt.Fprintf(out, "no answer from %s\n", node)
	}
}

// AwaitSpread asks for the status until the version of the organisation is in
// force on all nodes or the limit has passed, and returns the last spread.
func AwaitSpread(ctx context.Context, requester *requester.Requester, organisation identifier.Organisation,
	version identifier.Offset, limit time.Duration,
) (Spread, error) {
	deadline := time.NewTimer(limit)
	defer deadline.Stop()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		var report responder.Report
		if err := requester.Get(ctx, "/v1/queries/status", &report); err != nil {
			return Spread{}, err
		}
		spread := spreadOf(report, organisation, version)
		if len(spread.Behind)+len(spread.Silent) == 0 {
			return spread, nil
		}
		select {
		case <-ticker.C:
		case <-deadline.C:
			return spread, nil
		case <-ctx.Done():
			return spread, ctx.Err()
		}
	}
}

func spreadOf(report responder.Report, organisation identifier.Organisation, version identifier.Offset) Spread {
	spread := Spread{Version: version, Silent: report.Silent}
	for _, node := range report.Nodes {
		applied := false
		for _, text := range node.Configuration {
			applied = applied || text.Organisation == organisation && text.Version >= version
		}
		if applied {
			spread.InForce = append(spread.InForce, node.Node)
		} else {
			spread.Behind = append(spread.Behind, node.Node)
		}
	}
	return spread
}
