package assembler

import (
	"io"
	"strings"
	"sync"
	"testing"

	"github.com/frankban/quicktest"

	"corianderroad/messenger"
)

// stuckOutput is an output whose reader has stopped reading.
type stuckOutput struct {
	release chan struct{}
}

func (output stuckOutput) Write(line []byte) (int, error) {
	<-output.release
	return len(line), nil
}

// minLineBytes is a lower bound for the length of the test's lines.
const minLineBytes = 100

// TestLogNeverBlocks guards against decisions, and against an end of the process,
// that block because the reader of standard output has stopped reading.
func TestLogNeverBlocks(t *testing.T) {
	c := quicktest.New(t)
	output := stuckOutput{make(chan struct{})}
	defer close(output.release)
	decisionLog := newDecisionLog("n", output)
	const lines = 3 * logCapacity
	for range lines {
		decisionLog.logDecision(messenger.Decision{Subject: "a", Outcome: "start"})
	}
	// The lines that are not refused are in the ring, in the buffer of the output and
	// in the pending write.
	c.Assert(decisionLog.lines.Refused() >= lines-logCapacity-outputBufferBytes/minLineBytes-2, quicktest.IsTrue)
	decisionLog.close()
}

// recordedOutput is an output that records what is written.
type recordedOutput struct {
	mutex sync.Mutex
	text  strings.Builder
}

var _ io.Writer = (*recordedOutput)(nil)

func (recordedOutput *recordedOutput) Write(line []byte) (int, error) {
	recordedOutput.mutex.Lock()
	defer recordedOutput.mutex.Unlock()
	return recordedOutput.text.Write(line)
}

// TestLogLineContainsInputs guards against log lines of decisions that lack the
// decision's inputs.
func TestLogLineContainsInputs(t *testing.T) {
	c := quicktest.New(t)
	output := &recordedOutput{}
	decisionLog := newDecisionLog("n", output)
	decisionLog.logDecision(messenger.Decision{Subject: "a", Outcome: "start", Reason: "placed", Detail: "run=1", Age: 5_000_000, Version: 7})
	decisionLog.close()
	output.mutex.Lock()
	defer output.mutex.Unlock()
	for _, part := range []string{`"node":"n"`, `"subject":"a"`, `"outcome":"start"`, `"reason":"placed"`, `"inputs":"run=1"`, `"age-ms":5`, `"version":7`} {
		c.Assert(output.text.String(), quicktest.Contains, part)
	}
}
