package applier

import (
	"fmt"
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// effect is the result of applying a record.
type effect struct {
	err     *classifier.Error
	offset  identifier.Offset
	actions []messenger.Action
	// subject and detail describe the decision for explain queries.
	subject, detail string
}

// streamState is the state of one stream.
type streamState interface {
	// apply applies one record. The effect depends only on this record and earlier
	// ones.
	apply(read messenger.AppendRead, entry messenger.Entry) effect
	// expire is called after the records of an append. It deletes state that is
	// obsolete at the log's time.
	expire(read messenger.AppendRead)
	// digest returns the digest of the state.
	digest() uint64
	// restartAt is called when the appends before the given one can no longer be
	// read. It returns false if the state can't be built without them.
	restartAt(read messenger.AppendRead) bool
}

const (
	// rewindInterval is the minimum time between two rewinds. Without it, each
	// append that the follower has already delivered would cause another rewind.
	rewindInterval = 5 * time.Second
	// maxDigests is the minimum number of appends whose digests are retained. The
	// parts of a snapshot reach the log soon after the offset that they cover.
	maxDigests = 1024
)

// stream is the state of one stream of the log and this node's position in it.
type stream struct {
	name  identifier.Stream
	state streamState

	// applied is the offset up to which the state is complete.
	applied   identifier.Offset
	appliedAt time.Time
	// caughtUp is true once the state has reached the end of the stream.
	caughtUp bool
	// logUnavailable is true while the log does not respond.
	logUnavailable bool
	// scanFrom is the offset from which the log is searched for a snapshot. It is
	// zero unless the append after applied is no longer in the log.
	scanFrom  identifier.Offset
	rewoundAt time.Time

	digests  []offsetDigest
	window   window
	snapshot snapshotSchedule
	// countedParts records which parts of the newest snapshot are in the log. It does not
	// store their states.
	countedParts assembler
	logParts     assembler
	peerParts    assembler
	lag          lagDetector
	// digestMismatches counts the snapshots whose digest differs from this node's.
	digestMismatches uint64
}

type offsetDigest struct {
	offset identifier.Offset
	digest uint64
}

func newStream(name identifier.Stream, state streamState) *stream {
	return &stream{name: name, state: state}
}

func (applier *Applier) handleAppendRead(now time.Time, read messenger.AppendRead) {
	stream := applier.stream(read.Stream)
	if stream == nil {
		return
	}
	applier.lastContactAt = now
	stream.logUnavailable = false
	applier.reportRefused(stream, read)
	switch {
	case read.Offset <= stream.applied:
	case read.Offset == stream.applied+1:
		applier.applyAppend(now, stream, read)
	case read.Reset && stream.state.restartAt(read):
		stream.applied = read.Offset - 1
		applier.applyAppend(now, stream, read)
	case read.Reset || stream.scanFrom > 0:
		applier.scanForSnapshot(now, stream, read)
	default:
		applier.rewind(now, stream)
	}
}

// reportRefused counts and logs the entries of an append that could not be decoded.
// They have no effect on any node.
func (applier *Applier) reportRefused(stream *stream, read messenger.AppendRead) {
	for _, err := range read.Refused {
		applier.emit(messenger.Transition{
			Subject: "stream " + string(stream.name), From: "read", To: "ignored", Reason: "record-unreadable",
			Detail: fmt.Sprintf("offset=%d error=%q", read.Offset, err.Error()),
		})
	}
}

func (applier *Applier) handleStreamEndReached(now time.Time, read messenger.StreamEndReached) {
	stream := applier.stream(read.Stream)
	if stream == nil {
		return
	}
	applier.lastContactAt = now
	stream.logUnavailable = false
	switch {
	case read.Next <= stream.applied+1:
		applier.setCaughtUp(stream)
	case stream.scanFrom > 0:
	case !read.Reset:
		applier.rewind(now, stream)
	case stream.state.restartAt(messenger.AppendRead{Offset: read.Next, AppendedAt: read.At.Add(-emptyCoverage)}):
		stream.applied = read.Next - 1
		applier.setCaughtUp(stream)
	default:
		stream.scanFrom = read.Next
	}
}

// rewind makes the follower continue at the append after the applied offset.
func (applier *Applier) rewind(now time.Time, stream *stream) {
	if now.Sub(stream.rewoundAt) < rewindInterval {
		return
	}
	stream.rewoundAt = now
	applier.emit(messenger.StreamAdvanced{Stream: stream.name, Applied: stream.applied})
}

// applyAppend applies the append that follows the applied offset.
func (applier *Applier) applyAppend(now time.Time, stream *stream, read messenger.AppendRead) {
	for _, entry := range read.Entries {
		if snapshot, ok := entry.Record.(messenger.Snapshot); ok {
			applier.checkSnapshot(stream, read, snapshot)
			continue
		}
		effect := stream.state.apply(read, entry)
		if stream.caughtUp || stream.name == identifier.Intents {
			applier.emit(effect.actions...)
		}
		if effect.subject != "" {
			applier.recordDecision(read.AppendedAt, effect)
		}
		applier.answerCommand(entry.ID, effect)
	}
	stream.state.expire(read)
	stream.applied, stream.appliedAt = read.Offset, read.AppendedAt
	if stream.scanFrom > 0 && stream.applied >= stream.scanFrom-1 {
		stream.scanFrom = 0
	}
	stream.digests = append(stream.digests, offsetDigest{read.Offset, stream.state.digest()})
	if len(stream.digests) > 2*maxDigests {
		stream.digests = append(stream.digests[:0], stream.digests[maxDigests:]...)
	}
	stream.window.add(read)
	stream.snapshot.appendApplied(read.AppendedAt)
	stream.lag.recordProgress(now, stream.applied)
	applier.offsetsChanged = true
	if stream.name == identifier.Configuration && stream.caughtUp && applier.configuration.resetChanged() {
		applier.emit(messenger.ConfigurationChanged{Configuration: applier.configuration.value()})
	}
}

// recordDecision stores the effect of a log record for explain queries.
func (applier *Applier) recordDecision(at time.Time, effect effect) {
	reason, detail := classifier.OK.Name(), effect.detail
	if effect.err != nil {
		reason = effect.err.Code.Name()
		detail += ": " + effect.err.Message
	}
	applier.decisions.Record(at, effect.subject, "", reason, detail)
}

// setCaughtUp sends the state to the other state machines when it is complete for
// the first time. They do not receive the earlier changes, because a job that ended
// long ago must not be placed.
func (applier *Applier) setCaughtUp(stream *stream) {
	if stream.caughtUp {
		return
	}
	stream.caughtUp = true
	switch stream.name {
	case identifier.Configuration:
		applier.configuration.resetChanged()
		applier.emit(messenger.ConfigurationChanged{Configuration: applier.configuration.value()})
	case identifier.Jobs:
		applier.emit(applier.jobs.changesSince(nil)...)
		applier.emit(messenger.JobsCaughtUp{})
	}
}
