package checker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/cmd/loadgen/checker"
	"corianderroad/cmd/loadgen/planner"
	"corianderroad/cmd/standins/minion"
)

// TestAnswerTellsWholeFromForeign guards against a load tool that takes the
// answer to another call, or a part of an answer, for the right one.
func TestAnswerTellsWholeFromForeign(t *testing.T) {
	c := quicktest.New(t)
	call := planner.Call{
		Kind: planner.Kind{Method: "swap"}, Workspace: planner.Workspace{Name: "county"}, Body: []byte(`{"call":"a"}`),
	}
	answer := func(body, workspace, method string) []byte {
		return fmt.Appendf(nil, `{"request-digest":%q,"workspace":%q,"method":%q}`, minion.Digest([]byte(body)), workspace, method)
	}
	own := answer(`{"call":"a"}`, "county", "swap")
	c.Check(checker.Answer(call, own), quicktest.Equals, checker.Whole)
	for length := range own {
		c.Check(checker.Answer(call, own[:length]), quicktest.Equals, checker.Incomplete)
	}
	c.Check(checker.Answer(call, answer(`{"call":"b"}`, "county", "swap")), quicktest.Equals, checker.Foreign)
	c.Check(checker.Answer(call, answer(`{"call":"a"}`, "seaside", "swap")), quicktest.Equals, checker.Foreign)
	c.Check(checker.Answer(call, answer(`{"call":"a"}`, "county", "draw")), quicktest.Equals, checker.Foreign)
}

// TestRefusedReadsRefusals guards against refusals whose fate is guessed.
func TestRefusedReadsRefusals(t *testing.T) {
	c := quicktest.New(t)
	refusal, ok := checker.Refused([]byte(`{"code":301,"name":"queue-full","message":"","ran":"not-run","retry-after":"1.5s"}`))
	c.Check(ok, quicktest.IsTrue)
	c.Check(refusal, quicktest.Equals, checker.Refusal{Name: "queue-full", Ran: "not-run", RetryAfter: 1500 * time.Millisecond})
	_, ok = checker.Refused([]byte(`<html>`))
	c.Check(ok, quicktest.IsFalse)
}
