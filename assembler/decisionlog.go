package assembler

import (
	"bufio"
	"io"
	"time"

	"github.com/phuslu/log"

	"corianderroad/buffer"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

const (
	// logCapacity limits the lines that wait to be written. Further lines are dropped
	// and counted, so that decisions do not block if the reader of standard output
	// stops reading.
	logCapacity = 4096
	// outputBufferBytes is the size that a pipe accepts in one atomic write, about
	// 15 lines.
	outputBufferBytes = 4 << 10
	// closeTimeout limits the time for writing the last lines.
	closeTimeout = 300 * time.Millisecond
)

// decisionLog writes one structured line for each decision and each change of the
// process or of a dependency. Its methods are safe for concurrent use. Except for
// close, they do not wait for the output.
type decisionLog struct {
	node   identifier.Node
	lines  *buffer.Ring[line]
	logger log.Logger
	// output buffers lines, so that lines that wait together need one write.
	output *bufio.Writer
	// closing is closed when no more lines are added. written is closed when all
	// lines are written.
	closing, written chan struct{}
}

// line is a line of the log before it is encoded.
type line struct {
	message  string
	decision messenger.Decision
	topic    string
	dropped  uint64
}

// newDecisionLog returns a decisionLog whose writing goroutine runs until close.
func newDecisionLog(node identifier.Node, output io.Writer) *decisionLog {
	buffered := bufio.NewWriterSize(output, outputBufferBytes)
	decisionLog := &decisionLog{
		node: node, lines: buffer.New[line]("log-lines", logCapacity), output: buffered,
		logger:  log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: buffered}},
		closing: make(chan struct{}), written: make(chan struct{}),
	}
	go decisionLog.writeLines()
	return decisionLog
}

func (decisionLog *decisionLog) enqueue(line line) {
	line.dropped = decisionLog.lines.Refused()
	_ = decisionLog.lines.Offer(line) // the ring counts what it refuses
}

// logDecision logs a decision with its inputs.
func (decisionLog *decisionLog) logDecision(decision messenger.Decision) {
	decisionLog.enqueue(line{message: "decided", decision: decision})
}

// logDependency logs that reads of a topic of the store began to fail or to succeed
// again.
func (decisionLog *decisionLog) logDependency(change, topic, reason string, outage time.Duration) {
	decisionLog.enqueue(line{message: "dependency " + change, topic: topic, decision: messenger.Decision{Reason: reason, Age: outage}})
}

// logState logs a change of the state of the process.
func (decisionLog *decisionLog) logState(state, reason, detail string) {
	decisionLog.enqueue(line{message: "node " + state, decision: messenger.Decision{Reason: reason, Detail: detail}})
}

// close writes the waiting lines. It returns after closeTimeout even if lines
// remain, because the reader of the output may have stopped reading.
func (decisionLog *decisionLog) close() {
	close(decisionLog.closing)
	select {
	case <-decisionLog.written:
	case <-time.After(closeTimeout):
	}
}

func (decisionLog *decisionLog) writeLines() {
	defer close(decisionLog.written)
	for {
		select {
		case line := <-decisionLog.lines.Entries():
			decisionLog.encode(line)
			if decisionLog.lines.Depth() == 0 {
				decisionLog.flush()
			}
		case <-decisionLog.closing:
			for decisionLog.lines.Depth() > 0 {
				decisionLog.encode(<-decisionLog.lines.Entries())
			}
			decisionLog.flush()
			return
		}
	}
}

// flush writes the buffered lines. A failed write can't be logged.
func (decisionLog *decisionLog) flush() { _ = decisionLog.output.Flush() }

func (decisionLog *decisionLog) encode(line line) {
	entry := decisionLog.logger.Info().Str("node", string(decisionLog.node))
	for _, field := range [...][2]string{
		{"topic", line.topic},
		{"subject", line.decision.Subject},
		{"outcome", line.decision.Outcome},
		{"reason", line.decision.Reason},
		{"inputs", line.decision.Detail},
	} {
		if field[1] != "" {
			entry = entry.Str(field[0], field[1])
		}
	}
	if line.decision.Age != 0 {
		entry = entry.Int64("age-ms", line.decision.Age.Milliseconds())
	}
	if line.decision.Version != 0 {
		entry = entry.Int64("version", line.decision.Version)
	}
	if line.dropped > 0 {
		entry = entry.Uint64("lines-dropped", line.dropped)
	}
	entry.Msg(line.message)
}
