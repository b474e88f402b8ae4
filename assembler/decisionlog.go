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
	// logCapacity bounds the lines that wait to be written. A line that finds no
	// room is dropped and counted, so that a reader of standard output that stops
	// reading stops no decision.
	logCapacity = 4096
	// outputBuffer is what a pipe takes in one piece, about 15 lines.
	outputBuffer = 4 << 10
	// closeTimeout bounds the writing of the last lines.
	closeTimeout = 300 * time.Millisecond
)

// journal writes one structured line for each decision. Its methods are safe
// for concurrent use and do not wait for the output.
type journal struct {
	node   identifier.Node
	lines  *buffer.Ring[line]
	logger log.Logger
	// output collects lines, so that those of one moment take one write.
	output *bufio.Writer
	// last is closed when no more lines come, written when all are written.
	last, written chan struct{}
}

// line is a line of the log before it is encoded.
type line struct {
	message string
	decided messenger.Decision
	topic   string
	dropped uint64
}

// newJournal returns a journal whose writer runs until close.
func newJournal(node identifier.Node, output io.Writer) *journal {
	collected := bufio.NewWriterSize(output, outputBuffer)
	journal := &journal{
		node: node, lines: buffer.New[line]("log-lines", logCapacity), output: collected,
		logger: log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: collected}},
		last:   make(chan struct{}), written: make(chan struct{}),
	}
	go journal.write()
	return journal
}

func (journal *journal) offer(line line) {
	line.dropped = journal.lines.Refused()
	_ = journal.lines.Offer(line) // the ring counts what it refuses
}

// decided writes a decision with the inputs that decided it.
func (journal *journal) decided(decided messenger.Decision) {
	journal.offer(line{message: "decided", decided: decided})
}

// dependency writes that a topic of the store can or can't be read any more.
func (journal *journal) dependency(change, topic, reason string, gap time.Duration) {
	journal.offer(line{message: "dependency " + change, topic: topic, decided: messenger.Decision{Reason: reason, Age: gap}})
}

// state writes a change of the process itself.
func (journal *journal) state(state, reason, detail string) {
	journal.offer(line{message: "node " + state, decided: messenger.Decision{Reason: reason, Detail: detail}})
}

// close writes what waits. It gives up after a while, because the reader of the
// output may have stopped reading.
func (journal *journal) close() {
	close(journal.last)
	select {
	case <-journal.written:
	case <-time.After(closeTimeout):
	}
}

func (journal *journal) write() {
	defer close(journal.written)
	for {
		select {
		case line := <-journal.lines.Entries():
			journal.encode(line)
			if journal.lines.Depth() == 0 {
				journal.flush()
			}
		case <-journal.last:
			for journal.lines.Depth() > 0 {
				journal.encode(<-journal.lines.Entries())
			}
			journal.flush()
			return
		}
	}
}

// flush writes the collected lines. A failed write can't be logged.
func (journal *journal) flush() { _ = journal.output.Flush() }

func (journal *journal) encode(line line) {
	entry := journal.logger.Info().Str("node", string(journal.node))
	for _, field := range [...][2]string{
		{"topic", line.topic},
		{"subject", line.decided.Subject},
		{"outcome", line.decided.Outcome},
		{"reason", line.decided.Reason},
		{"inputs", line.decided.Detail},
	} {
		if field[1] != "" {
			entry = entry.Str(field[0], field[1])
		}
	}
	if line.decided.Age != 0 {
		entry = entry.Int64("age-ms", line.decided.Age.Milliseconds())
	}
	if line.decided.Version != 0 {
		entry = entry.Int64("version", line.decided.Version)
	}
	if line.dropped > 0 {
		entry = entry.Uint64("lines-dropped", line.dropped)
	}
	entry.Msg(line.message)
}
