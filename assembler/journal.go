package assembler

import (
	"os"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"corianderroad/identifier"
	"corianderroad/messenger"
)

// logCapacity bounds the lines that wait to be written. A line that finds no
// room is dropped and counted, so that a reader of standard output that stops
// reading stops no decision.
const logCapacity = 4096

// journal writes one structured line for each decision.
type journal struct {
	node    identifier.Node
	writer  *log.AsyncWriter
	logger  log.Logger
	dropped atomic.Uint64
}

func newJournal(node identifier.Node) *journal {
	writer := &log.AsyncWriter{ChannelSize: logCapacity, DiscardOnFull: true, Writer: &log.IOWriter{Writer: os.Stdout}}
	journal := &journal{node: node, writer: writer}
	journal.logger = log.Logger{Level: log.InfoLevel, Writer: journal}
	return journal
}

// WriteEntry implements log.Writer and counts what the ring refuses.
func (journal *journal) WriteEntry(entry *log.Entry) (int, error) {
	written, err := journal.writer.WriteEntry(entry)
	if err != nil {
		journal.dropped.Add(1)
	}
	return written, err
}

// decided writes a decision with the inputs that decided it.
func (journal *journal) decided(decided messenger.Decided) {
	line := journal.logger.Info().Str("node", string(journal.node)).
		Str("subject", decided.Subject).Str("outcome", decided.Outcome)
	if decided.Reason != "" {
		line = line.Str("reason", decided.Reason)
	}
	if decided.Detail != "" {
		line = line.Str("inputs", decided.Detail)
	}
	if decided.Age != 0 {
		line = line.Int64("age-ms", decided.Age.Milliseconds())
	}
	if decided.Version != 0 {
		line = line.Int64("version", decided.Version)
	}
	line.Msg("decided")
}

// dependency writes that a topic of the store can or can't be read any more.
func (journal *journal) dependency(change string, topic identifier.Topic, reason string, gap time.Duration) {
	journal.logger.Warn().Str("node", string(journal.node)).Str("topic", string(topic)).Str("reason", reason).
		Int64("gap-ms", gap.Milliseconds()).Uint64("lines-dropped", journal.dropped.Load()).Msg("dependency " + change)
}

// state writes a change of the process itself.
func (journal *journal) state(state, reason, detail string) {
	journal.logger.Info().Str("node", string(journal.node)).Str("reason", reason).Str("inputs", detail).
		Uint64("lines-dropped", journal.dropped.Load()).Msg("node " + state)
}

func (journal *journal) close() {
	// Nothing is left to tell the failure of the last lines to.
	_ = journal.writer.Close()
}
