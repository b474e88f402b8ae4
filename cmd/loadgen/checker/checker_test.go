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

// TestCheckAnswerDetectsIncompleteAndForeignAnswers guards against a load generator
// that accepts the answer to another call or an incomplete answer.
func TestCheckAnswerDetectsIncompleteAndForeignAnswers(t *testing.T) {
	c := quicktest.New(t)
	call := planner.Call{
		Kind: planner.Kind{Method: "swap"}, Workspace: planner.Workspace{Name: "county"}, Body: []byte(`{"call":"a"}`),
	}
	answer := func(body, workspace, method string) []byte {
		return fmt.Appendf(nil, `{"request-digest":%q,"workspace":%q,"method":%q}`, minion.Digest([]byte(body)), workspace, method)
	}
	valid := answer(`{"call":"a"}`, "county", "swap")
	c.Check(checker.CheckAnswer(call, valid), quicktest.Equals, checker.Valid)
	for length := range valid {
		c.Check(checker.CheckAnswer(call, valid[:length]), quicktest.Equals, checker.Incomplete)
	}
	c.Check(checker.CheckAnswer(call, answer(`{"call":"b"}`, "county", "swap")), quicktest.Equals, checker.Foreign)
	c.Check(checker.CheckAnswer(call, answer(`{"call":"a"}`, "seaside", "swap")), quicktest.Equals, checker.Foreign)
	c.Check(checker.CheckAnswer(call, answer(`{"call":"a"}`, "county", "draw")), quicktest.Equals, checker.Foreign)
}

// TestParseRefusal guards against a refusal that is misread, or assumed where there
// is none.
func TestParseRefusal(t *testing.T) {
	c := quicktest.New(t)
	refusal, ok := checker.ParseRefusal([]byte(`{"code":301,"name":"queue-full","message":"","ran":"not-run","retry-after":"1.5s"}`))
	c.Check(ok, quicktest.IsTrue)
	c.Check(refusal, quicktest.Equals, checker.Refusal{Name: "queue-full", Ran: "not-run", RetryAfter: 1500 * time.Millisecond})
	_, ok = checker.ParseRefusal([]byte(`<html>`))
	c.Check(ok, quicktest.IsFalse)
}
