// Package printer prints loadgen's table and names the promises that were broken.
package printer

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"corianderroad/cmd/loadgen/caller"
	"corianderroad/cmd/loadgen/collector"
	"corianderroad/cmd/loadgen/inquirer"
	"corianderroad/cmd/loadgen/planner"
)

// Evidence is everything that the table shows.
type Evidence struct {
	Summary *collector.Summary
	// NotSent are calls for which loadgen itself had no room.
	NotSent int
	Report  inquirer.Report
	// RanThoughRefused are calls that ran although they were refused as not run.
	RanThoughRefused []string
	InForce          inquirer.InForce
	Elapsed          time.Duration
}

// Broken returns the promises that were broken, none if all were kept.
func (evidence Evidence) Broken() []string {
	verdicts := evidence.Summary.Verdicts
	record := evidence.Report.Record
	var broken []string
	for _, promise := range []struct {
		count int
		text  string
	}{
		{verdicts[caller.Lost], "calls lost without a word"},
		{verdicts[caller.Incomplete], "incomplete or unreadable answers delivered"},
		{verdicts[caller.Foreign], "answers of another caller delivered"},
		{int(record.KeysTwice + record.CallsTwice), "executions of calls that must not run twice"},
		{len(evidence.RanThoughRefused), "calls ran though refused as not run"},
		{len(evidence.Report.PartsAlone), "gang parts ran without their gang"},
		{len(evidence.InForce.Behind), "nodes without the newest configuration"},
	} {
		if promise.count > 0 {
			broken = append(broken, fmt.Sprintf("%d %s", promise.count, promise.text))
		}
	}
	return broken
}

// Print writes the table.
func Print(writer io.Writer, evidence Evidence) error {
	table := tabwriter.NewWriter(writer, 0, 4, 2, ' ', 0)
	summary, verdicts := evidence.Summary, evidence.Summary.Verdicts
	row := func(name string, value any) { fmt.Fprintf(table, "%s\t%v\n", name, value) }
	row("elapsed", evidence.Elapsed.Round(100*time.Millisecond))
	row("sent", summary.Sent())
	row("not sent, loadgen full", evidence.NotSent)
	row("whole answers", verdicts[caller.Whole])
	row("refused", verdicts[caller.Refused])
	for _, code := range slices.Sorted(maps.Keys(summary.Refusals)) {
		row("  "+code, summary.Refusals[code])
	}
	for _, reason := range slices.Sorted(maps.Keys(summary.Retries)) {
		row("retried after "+reason, summary.Retries[reason])
	}
	row("entry failed, not repeatable", verdicts[caller.Broken])
	row("abandoned by loadgen", verdicts[caller.Abandoned])
	row("lost", verdicts[caller.Lost])
	for _, code := range slices.Sorted(maps.Keys(summary.Losses)) {
		row("  without an answer, "+code, summary.Losses[code])
	}
	row("incomplete answers", verdicts[caller.Incomplete])
	row("answers of another caller", verdicts[caller.Foreign])
	row("executions", evidence.Report.Record.Executions)
	row("run twice", evidence.Report.Record.KeysTwice+evidence.Report.Record.CallsTwice)
	row("refused as not run but ran", fmt.Sprintf("%d of %d", len(evidence.RanThoughRefused), len(summary.SurelyNotRun)))
	row("gang parts without their gang", fmt.Sprintf("%d in %d audits", len(evidence.Report.PartsAlone), evidence.Report.Audits))
	row("configuration in force", fmt.Sprintf("on %d of %d nodes", evidence.InForce.Nodes, evidence.InForce.Of))
	for _, class := range []planner.Class{planner.Short, planner.Long} {
		latency := summary.Latency(class)
		row(class.String()+" calls, latency", fmt.Sprintf("median %s, p99 %s, longest %s (%d whole)",
			round(latency.Median), round(latency.P99), round(latency.Longest), latency.Count))
	}
	return table.Flush()
}

func round(duration time.Duration) time.Duration { return duration.Round(100 * time.Microsecond) }
