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

// pollInterval is the time between two queries for the deployment's status.
const pollInterval = 200 * time.Millisecond

// Rollout reports on which nodes a version is in force.
type Rollout struct {
	Version      identifier.Offset `json:"version"`
	InForce      []identifier.Node `json:"in-force"`
	Behind       []identifier.Node `json:"behind"`
	Unresponsive []identifier.Node `json:"silent"`
}

// Write writes the rollout in readable form.
func (rollout Rollout) Write(out io.Writer) {
	total := len(rollout.InForce) + len(rollout.Behind) + len(rollout.Unresponsive)
	fmt.Fprintf(out, "version %d is in force on %d of %d nodes\n", rollout.Version, len(rollout.InForce), total)
	for _, node := range rollout.Behind {
		fmt.Fprintf(out, "not yet in force on %s\n", node)
	}
	for _, node := range rollout.Unresponsive {
		fmt.Fprintf(out, "no answer from %s\n", node)
	}
}

// AwaitRollout polls the status until the version of the organisation is in force
// on all nodes or the time limit has passed. It returns the last rollout.
func AwaitRollout(ctx context.Context, requester *requester.Requester, organisation identifier.Organisation,
	version identifier.Offset, limit time.Duration,
) (Rollout, error) {
	deadline := time.NewTimer(limit)
	defer deadline.Stop()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		var report responder.Report
		if err := requester.Get(ctx, "/v1/queries/status", &report); err != nil {
			return Rollout{}, err
		}
		rollout := newRollout(report, organisation, version)
		if len(rollout.Behind)+len(rollout.Unresponsive) == 0 {
			return rollout, nil
		}
		select {
		case <-ticker.C:
		case <-deadline.C:
			return rollout, nil
		case <-ctx.Done():
			return rollout, ctx.Err()
		}
	}
}

func newRollout(report responder.Report, organisation identifier.Organisation, version identifier.Offset) Rollout {
	rollout := Rollout{Version: version, Unresponsive: report.Unresponsive}
	for _, node := range report.Nodes {
		inForce := false
		for _, text := range node.Configuration {
			inForce = inForce || text.Organisation == organisation && text.Version >= version
		}
		if inForce {
			rollout.InForce = append(rollout.InForce, node.Node)
		} else {
			rollout.Behind = append(rollout.Behind, node.Node)
		}
	}
	return rollout
}
