package assembler

import (
	"io"
	"strings"
	"sync"
	"testing"

	"github.com/frankban/quicktest"

	"corianderroad/messenger"
)

// stuckOutput is a reader of the log that has stopped reading.
type stuckOutput struct {
	release chan struct{}
}

func (output stuckOutput) Write(line []byte) (int, error) {
	<-output.release
	return len(line), nil
}

// shortestLine is the length in bytes that no line of the test falls below.
const shortestLine = 100

// TestLogNeverBlocks guards against decisions, and against an end of the
// process, that wait for a reader of standard output.
func TestLogNeverBlocks(t *testing.T) {
	c := quicktest.New(t)
	output := stuckOutput{make(chan struct{})}
	defer close(output.release)
	journal := newJournal("n", output)
	const lines = 3 * logCapacity
	for range lines {
		journal.decided(messenger.Decision{Subject: "a", Outcome: "start"})
	}
	// The ring, the buffer of the output and the line under way hold the rest.
	c.Assert(journal.lines.Refused() >= lines-logCapacity-outputBuffer/shortestLine-2, quicktest.IsTrue)
	journal.close()
}

// collected is an output that keeps what is written.
type collected struct {
	mutex sync.Mutex
	text  strings.Builder
}

var _ io.Writer = (*collected)(nil)

func (collected *collected) Write(line []byte) (int, error) {
	collected.mutex.Lock()
	defer collected.mutex.Unlock()
	return collected.text.Write(line)
}

// TestLogLineHoldsTheInputs guards against a decision whose line does not tell
// what decided it.
func TestLogLineHoldsTheInputs(t *testing.T) {
	c := quicktest.New(t)
	output := &collected{}
	journal := newJournal("n", output)
	journal.decided(messenger.Decision{Subject: "a", Outcome: "start", Reason: "placed", Detail: "run=1", Age: 5_000_000, Version: 7})
	journal.close()
	output.mutex.Lock()
	defer output.mutex.Unlock()
	for _, part := range []string{`"node":"n"`, `"subject":"a"`, `"outcome":"start"`, `"reason":"placed"`, `"inputs":"run=1"`, `"age-ms":5`, `"version":7`} {
		c.Assert(output.text.String(), quicktest.Contains, part)
	}
}
