package printer

import (
	"bytes"
	"testing"

	"github.com/frankban/quicktest"

	"corianderroad/cmd/loadgen/caller"
	"corianderroad/cmd/loadgen/collector"
	"corianderroad/identifier"
)

// TestViolationsCoverEveryCheck guards against a demo that succeeds in spite of a
// violation.
func TestViolationsCoverEveryCheck(t *testing.T) {
	c := quicktest.New(t)
	for _, violate := range []func(*Results){
		func(results *Results) { results.Summary.Add(caller.Result{Verdict: caller.Lost}) },
		func(results *Results) { results.Summary.Add(caller.Result{Verdict: caller.Incomplete}) },
		func(results *Results) { results.Summary.Add(caller.Result{Verdict: caller.Foreign}) },
		func(results *Results) { results.Report.Record.KeysRunTwice = 1 },
		func(results *Results) { results.Report.Record.CallsRunTwice = 1 },
		func(results *Results) { results.RanDespiteRefusal = []string{"a"} },
		func(results *Results) {
			results.Report.GangViolations = append(results.Report.GangViolations, struct {
				Worker  string `json:"worker"`
				Missing string `json:"missing"`
			}{})
		},
		func(results *Results) { results.InForce.Behind = []identifier.Node{"gulf-a-1"} },
	} {
		results := Results{Summary: collector.NewSummary()}
		results.Summary.Add(caller.Result{Verdict: caller.Answered})
		results.Summary.Add(caller.Result{Verdict: caller.Refused, Code: "queue-full"})
		results.Summary.Add(caller.Result{Verdict: caller.Broken})
		c.Assert(results.Violations(), quicktest.HasLen, 0)
		violate(&results)
		c.Check(results.Violations(), quicktest.HasLen, 1)
		var table bytes.Buffer
		c.Check(Print(&table, results), quicktest.IsNil)
		c.Check(table.String(), quicktest.Contains, "  queue-full")
	}
}
