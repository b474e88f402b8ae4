package applier

import (
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// verdict is what a record did when it was folded.
type verdict struct {
	err     *classifier.Error
	offset  identifier.Offset
	actions []messenger.Action
	// subject and detail describe the decision for explain.
	subject, detail string
}

// folder is the state of one stream.
type folder interface {
	// fold applies one record. Only the record and earlier ones decide its effect.
	fold(read messenger.AppendRead, entry messenger.Entry) verdict
	// advance ends an append: state that the log's time made obsolete is dropped.
	advance(read messenger.AppendRead)
	// digest returns the digest of the state.
	digest() uint64
	// restart is called when earlier appends can no longer be read. It returns
	// false if the state can't go on without them.
	restart(read messenger.AppendRead) bool
}

const (
	// rewindPeriod keeps the appends that the follower already delivered from
	// causing a rewind each.
	rewindPeriod = 5 * time.Second
	// maxDigests is the number of appends for which the digest is kept. The parts
	// of a snapshot reach the log soon after the offset that they cover.
	maxDigests = 1024
)

// stream is the position in one stream of the log.
type stream struct {
	name   identifier.Stream
	folder folder

	// applied is the offset up to which the state is complete.
	applied   identifier.Offset
	appliedAt time.Time
	// current says that the end of the stream was reached since the start.
	current bool
	// silent says that the log has not answered for a while.
	silent bool
	// scanFrom is set while the appends after applied can't be read: the offset
	// from which the log is read in search of a snapshot.
	scanFrom identifier.Offset
	rewound  time.Time

	digests  []offsetDigest
	window   window
	snapshot snapshotSchedule
	// counted collects the parts of the newest snapshot without their state.
	counted  assembler
	fromLog  assembler
	fromPeer assembler
	late     lateness
	// mismatches counts the snapshots with another digest than this node's.
	mismatches uint64
}

type offsetDigest struct {
	offset identifier.Offset
	digest uint64
}

func newStream(name identifier.Stream, folder folder) *stream {
	return &stream{name: name, folder: folder}
}

func (applier *Applier) appendRead(now time.Time, read messenger.AppendRead) {
	stream := applier.stream(read.Stream)
	if stream == nil {
		return
	}
	applier.heardAt = now
	stream.silent = false
	switch {
	case read.Offset <= stream.applied:
	case read.Offset == stream.applied+1:
		applier.fold(now, stream, read)
	case read.Reset && stream.folder.restart(read):
		stream.applied = read.Offset - 1
		applier.fold(now, stream, read)
	case read.Reset || stream.scanFrom > 0:
		applier.scan(now, stream, read)
	default:
		applier.rewind(now, stream)
	}
}

// streamRead handles the end of a stream.
func (applier *Applier) streamRead(now time.Time, read messenger.StreamEndReached) {
	stream := applier.stream(read.Stream)
	if stream == nil {
		return
	}
	applier.heardAt = now
	stream.silent = false
	switch {
	case read.Next <= stream.applied+1:
		applier.setCurrent(stream)
	case stream.scanFrom > 0:
	case !read.Reset:
		applier.rewind(now, stream)
	case stream.folder.restart(messenger.AppendRead{Offset: read.Next, AppendedAt: read.At.Add(-emptyCoverage)}):
		stream.applied = read.Next - 1
		applier.setCurrent(stream)
	default:
		stream.scanFrom = read.Next
	}
}

// rewind makes the follower read the append after the applied one.
func (applier *Applier) rewind(now time.Time, stream *stream) {
	if now.Sub(stream.rewound) < rewindPeriod {
		return
	}
	stream.rewound = now
	applier.emit(messenger.StreamAdvanced{Stream: stream.name, Applied: stream.applied})
}

// fold applies the append that follows the applied one.
func (applier *Applier) fold(now time.Time, stream *stream, read messenger.AppendRead) {
	for _, entry := range read.Entries {
		if snapshot, ok := entry.Record.(messenger.Snapshot); ok {
			applier.compare(stream, read, snapshot)
			continue
		}
		verdict := stream.folder.fold(read, entry)
		if stream.current || stream.name == identifier.Intents {
			applier.emit(verdict.actions...)
		}
		if verdict.subject != "" {
			applier.record(read.AppendedAt, verdict)
		}
		applier.answer(entry.ID, verdict)
	}
	stream.folder.advance(read)
	stream.applied, stream.appliedAt = read.Offset, read.AppendedAt
	if stream.scanFrom > 0 && stream.applied >= stream.scanFrom-1 {
		stream.scanFrom = 0
	}
	stream.digests = append(stream.digests, offsetDigest{read.Offset, stream.folder.digest()})
	if len(stream.digests) > 2*maxDigests {
		stream.digests = append(stream.digests[:0], stream.digests[maxDigests:]...)
	}
	stream.window.add(read)
	stream.snapshot.folded(read.AppendedAt)
	stream.late.progress(now, stream.applied)
	applier.advanced = true
	if stream.name == identifier.Configuration && stream.current && applier.configuration.takeChanged() {
		applier.emit(messenger.ConfigurationChanged{Configuration: applier.configuration.value()})
	}
}

// record keeps the effect of a log record for explain.
func (applier *Applier) record(at time.Time, verdict verdict) {
	reason, detail := classifier.OK.Name(), verdict.detail
	if verdict.err != nil {
		reason = verdict.err.Code.Name()
		detail += ": " + verdict.err.Message
	}
	applier.decisions.Record(at, verdict.subject, "", reason, detail)
}

// setCurrent sends the state to the other state machines when it is complete for
// the first time. They get no history: a job that ended long ago must not be placed.
func (applier *Applier) setCurrent(stream *stream) {
	if stream.current {
		return
	}
	stream.current = true
	switch stream.name {
	case identifier.Configuration:
		applier.configuration.takeChanged()
		applier.emit(messenger.ConfigurationChanged{Configuration: applier.configuration.value()})
	case identifier.Jobs:
		applier.emit(applier.jobs.announce(nil)...)
	}
}
