// Package printer prints loadgen's table and lists the violations.
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

// Results holds everything that the table shows.
type Results struct {
	Summary *collector.Summary
	// NotSent is the number of calls that exceeded the capacity of loadgen itself.
	NotSent int
	Report  inquirer.Report
	// RanDespiteRefusal are calls that ran although they were refused as not run.
	RanDespiteRefusal []string
	InForce           inquirer.InForce
	Elapsed           time.Duration
}

// Violations returns the properties of the system that were violated.
func (results Results) Violations() []string {
	verdicts := results.Summary.Verdicts
	record := results.Report.Record
	var violations []string
	for _, check := range []struct {
		count int
		text  string
	}{
		{verdicts[caller.Lost], "calls lost without a response"},
		{verdicts[caller.Incomplete], "incomplete or unreadable answers delivered"},
		{verdicts[caller.Foreign], "answers of another caller delivered"},
		{int(record.KeysRunTwice + record.CallsRunTwice), "executions of calls that must not run twice"},
		{len(results.RanDespiteRefusal), "calls ran though refused as not run"},
		{len(results.Report.GangViolations), "gang tasks ran without their gang"},
		{len(results.InForce.Behind), "nodes without the newest configuration"},
	} {
		if check.count > 0 {
			violations = append(violations, fmt.Sprintf("%d %s", check.count, check.text))
		}
	}
	return violations
}

// Print writes the table.
func Print(writer io.Writer, results Results) error {
	table := tabwriter.NewWriter(writer, 0, 4, 2, ' ', 0)
	summary, verdicts := results.Summary, results.Summary.Verdicts
	row := func(name string, value any) { fmt.Fprintf(table, "%s\t%v\n", name, value) }
	row("elapsed", results.Elapsed.Round(100*time.Millisecond))
	row("sent", summary.SentCount())
	row("not sent, loadgen full", results.NotSent)
	row("complete answers", verdicts[caller.Answered])
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
	row("executions", results.Report.Record.Executions)
	row("run twice", results.Report.Record.KeysRunTwice+results.Report.Record.CallsRunTwice)
	row("refused as not run but ran", fmt.Sprintf("%d of %d", len(results.RanDespiteRefusal), len(summary.CertainlyNotRun)))
	row("gang parts without their gang", fmt.Sprintf("%d in %d audits", len(results.Report.GangViolations), results.Report.Audits))
	row("configuration in force", fmt.Sprintf("on %d of %d nodes", results.InForce.Current, results.InForce.Total))
	for _, class := range []planner.Class{planner.Short, planner.Long} {
		latency := summary.Latency(class)
		row(class.String()+" calls, latency", fmt.Sprintf("median %s, p99 %s, longest %s (%d complete)",
			round(latency.Median), round(latency.P99), round(latency.Longest), latency.Count))
	}
	return table.Flush()
}

func round(duration time.Duration) time.Duration { return duration.Round(100 * time.Microsecond) }
