package reader

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"

	"corianderroad/identifier"
	"corianderroad/responder"
)

// explanation is one reported fact about a subject. Equal facts of several nodes
// share a line.
type explanation struct {
	at      time.Time
	subject string
	reason  string
	detail  string
}

// writeExplanation writes the decisions of the nodes about a subject in
// chronological order. A decision that several nodes report is one line.
func writeExplanation(out io.Writer, report responder.Report) {
	nodes := make(map[explanation][]identifier.Node)
	for _, node := range report.Nodes {
		for _, job := range node.Jobs {
			line := explanation{job.Since.UTC(), string(job.Job), job.State, job.Reason}
			nodes[line] = append(nodes[line], node.Node)
		}
		for _, decision := range node.Decisions {
			line := explanation{decision.At.UTC(), decision.Subject, decision.Reason, decision.Detail}
			nodes[line] = append(nodes[line], node.Node)
		}
	}
	lines := make([]explanation, 0, len(nodes))
	for line := range nodes {
		lines = append(lines, line)
	}
	slices.SortFunc(lines, func(a, b explanation) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.subject, b.subject), cmp.Compare(a.reason, b.reason), cmp.Compare(a.detail, b.detail))
	})
	fmt.Fprintln(out, "AT\tNODE\tSUBJECT\tREASON\tDETAIL")
	for _, line := range lines {
		reporter := string(nodes[line][0])
		if count := len(nodes[line]); count > 1 {
			reporter = fmt.Sprintf("%d nodes", count)
		}
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%s\n",
			line.at.Format("2006-01-02T15:04:05.000Z"), reporter, line.subject, line.reason, line.detail)
	}
}
