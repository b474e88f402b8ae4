package controller_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"corianderroad/classifier"
	"corianderroad/controller"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// TestInvalidAnswerIsRefused guards against an answer with numbers that no worker has: a
// term above all real ones makes every holder of the region step down, and sums of
// capacity and of lease times overflow.
func TestInvalidAnswerIsRefused(t *testing.T) {
	const largest = "9223372036854775807"
	answer := func(change ...string) string {
		body := `{"worker":"w1","term":12,"mark":"1s","accelerators":8,` +
			`"tasks":[{"gang":{"job":"j","placement":1},"state":"running","accelerators":4,"members":["w1"],"progress":"1s"}]}`
		return strings.NewReplacer(change...).Replace(body)
	}
	for reason, body := range map[string]string{
		"largest term":            answer(`"term":12`, `"term":18446744073709551615`),
		"term out of range":       answer(`"term":12`, `"term":18446744073709551616`),
		"negative term":           answer(`"term":12`, `"term":-1`),
		"largest capacity":        answer(`"accelerators":8`, `"accelerators":`+largest),
		"negative capacity":       answer(`"accelerators":8`, `"accelerators":-1`),
		"largest mark":            answer(`"mark":"1s"`, `"mark":"`+largest+`ns"`),
		"negative mark":           answer(`"mark":"1s"`, `"mark":"-1s"`),
		"mark out of range":       answer(`"mark":"1s"`, `"mark":"`+largest+`h"`),
		"task's largest capacity": answer(`"accelerators":4`, `"accelerators":`+largest),
		"task's capacity":         answer(`"accelerators":4`, `"accelerators":-4`),
		"largest progress":        answer(`"progress":"1s"`, `"progress":"`+largest+`ns"`),
		"negative progress":       answer(`"progress":"1s"`, `"progress":"-1s"`),
		"placement out of range":  answer(`"placement":1`, `"placement":4294967296`),
		"member of another type":  answer(`["w1"]`, `[1]`),
		"too many members":        answer(`["w1"]`, `["w1"`+strings.Repeat(`,"w"`, 128)+`]`),
		"deep nesting":            answer(`"term":12`, `"term":12,"other":`+strings.Repeat("[", 20_000)+strings.Repeat("]", 20_000)),
	} {
		decoded := controller.Decode(messenger.CallWorker{Worker: "w1"}, 200, []byte(body))
		quicktest.Assert(t, decoded.Err != nil, quicktest.IsTrue, quicktest.Commentf("%s", reason))
		quicktest.Assert(t, decoded.Err.Code, quicktest.Equals, classifier.OutcomeUnknown, quicktest.Commentf("%s", reason))
		quicktest.Assert(t, decoded.HighestTerm, quicktest.Equals, identifier.Term(0), quicktest.Commentf("%s", reason))
	}
	refused := controller.Decode(messenger.CallWorker{Worker: "w1"}, 409, []byte(fmt.Sprintf(`{"code":704,"term":%d}`, uint64(1)<<63)))
	quicktest.Assert(t, refused.Err.Code, quicktest.Equals, classifier.OutcomeUnknown)
	quicktest.Assert(t, refused.HighestTerm, quicktest.Equals, identifier.Term(0))
	valid := controller.Decode(messenger.CallWorker{Worker: "w1"}, 200, []byte(answer()))
	quicktest.Assert(t, valid.Err == nil, quicktest.IsTrue)
	quicktest.Assert(t, valid.Tasks, quicktest.HasLen, 1)
}
