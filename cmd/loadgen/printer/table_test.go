package printer

import (
	"bytes"
	"testing"

	"github.com/frankban/quicktest"

	"corianderroad/cmd/loadgen/caller"
	"corianderroad/cmd/loadgen/collector"
	"corianderroad/identifier"
)

// TestBrokenNamesEveryPromise guards against a demo that passes although a
// promise was broken.
func TestBrokenNamesEveryPromise(t *testing.T) {
	c := quicktest.New(t)
	for _, spoil := range []func(*Evidence){
		func(evidence *Evidence) { evidence.Summary.Add(caller.Result{Verdict: caller.Lost}) },
		func(evidence *Evidence) { evidence.Summary.Add(caller.Result{Verdict: caller.Incomplete}) },
		func(evidence *Evidence) { evidence.Summary.Add(caller.Result{Verdict: caller.Foreign}) },
		func(evidence *Evidence) { evidence.Report.Record.KeysTwice = 1 },
		func(evidence *Evidence) { evidence.Report.Record.CallsTwice = 1 },
		func(evidence *Evidence) { evidence.RanThoughRefused = []string{"a"} },
		func(evidence *Evidence) {
			evidence.Report.PartsAlone = append(evidence.Report.PartsAlone, struct {
				Worker  string `json:"worker"`
				Missing string `json:"missing"`
			}{})
		},
		func(evidence *Evidence) { evidence.InForce.Behind = []identifier.Node{"gulf-a-1"} },
	} {
		evidence := Evidence{Summary: collector.NewSummary()}
		evidence.Summary.Add(caller.Result{Verdict: caller.Whole})
		evidence.Summary.Add(caller.Result{Verdict: caller.Refused, Code: "queue-full"})
		evidence.Summary.Add(caller.Result{Verdict: caller.Broken})
		c.Assert(evidence.Broken(), quicktest.HasLen, 0)
		spoil(&evidence)
		c.Check(evidence.Broken(), quicktest.HasLen, 1)
		var table bytes.Buffer
		c.Check(Print(&table, evidence), quicktest.IsNil)
		c.Check(table.String(), quicktest.Contains, "  queue-full")
	}
}
