package applier

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"corianderroad/identifier"
	"corianderroad/messenger"
)

const (
	// maxPartSize bounds a part of a snapshot that holds more than one item. Even a
	// part with one text of the largest size stays below half a frame.
	maxPartSize = 192 << 10
	// maxPartItems is below the wire format's limit on the length of lists.
	maxPartItems = 2048
	// maxParts bounds the memory of an incomplete snapshot.
	maxParts = 512
)

// snapshotSteps is the number of parts of the retention by which snapshots are
// scheduled. The parts of a snapshot may be appended until this node would write the
// next one: if they expired sooner, a large snapshot would begin again each time.
const snapshotSteps = 64

// snapshotSchedule determines when the next snapshot of a stream is due.
type snapshotSchedule struct {
	// base is the log's time of the newest snapshot, or of the first append if there
	// is no snapshot. The next snapshot must be written before the appends since
	// then expire.
	base time.Time
	// writtenAt is when this node last wrote a snapshot.
	writtenAt time.Time
}

func (schedule *snapshotSchedule) appendApplied(at time.Time) {
	if schedule.base.IsZero() {
		schedule.base = at
	}
}

// dueTime returns when the node with the given rank among the members writes the
// next snapshot. The node of rank 0 writes after a quarter of the retention. Each
// further rank up to 15 writes another 1/64 later if no snapshot has appeared, so
// that another node replaces a failed one before half of the retention has passed.
func (schedule *snapshotSchedule) dueTime(retention time.Duration, rank int) time.Time {
	dueTime := schedule.base.Add(retention/4 + time.Duration(min(rank, 15))*retention/snapshotSteps)
	return later(dueTime, schedule.writtenAt.Add(retention/snapshotSteps))
}

// writeSnapshots appends the snapshots that are due.
func (applier *Applier) writeSnapshots(now time.Time) {
	for _, stream := range applier.streams {
		if stream.name == identifier.Intents || !stream.caughtUp || stream.logUnavailable || stream.scanFrom > 0 || stream.applied == 0 {
			continue
		}
		if now.Before(stream.snapshot.dueTime(applier.parameters.Retention, applier.peers.rank)) {
			continue
		}
		stream.snapshot.writtenAt = now
		for _, part := range stream.snapshotParts() {
			applier.emit(messenger.AppendRecord{
				Stream: stream.name,
				Entry: messenger.Entry{
					ID: fmt.Sprintf("snapshot/%s/%d/%s/%d/%d", stream.name, part.Covered,
						applier.identity.Node, applier.identity.Incarnation, part.Part),
					Record: part,
				},
				Deadline: now.Add(max(applier.parameters.AppendTimeout, applier.parameters.Retention/snapshotSteps)),
			})
		}
	}
}

// snapshotParts returns the parts of a snapshot of the state. All nodes split a
// state in the same way, so that parts from different nodes can be combined.
func (stream *stream) snapshotParts() []messenger.Snapshot {
	var states []messenger.State
	switch state := stream.state.(type) {
	case *configuration:
		states = state.states()
	case *jobs:
		states = state.states()
	}
	parts := make([]messenger.Snapshot, len(states))
	for i, state := range states {
		parts[i] = messenger.Snapshot{
			Covered: stream.applied, Digest: stream.state.digest(), Part: i, Parts: len(states), State: state,
		}
	}
	return parts
}

// checkSnapshot compares the digest of a snapshot from the log with that of this
// node's state at the covered offset.
func (applier *Applier) checkSnapshot(stream *stream, read messenger.AppendRead, part messenger.Snapshot) {
	if !isBefore(part, read.Offset) {
		return
	}
	// A snapshot replaces older appends only once all of its parts are in the log.
	if stream.countedParts.add(messenger.Snapshot{Covered: part.Covered, Digest: part.Digest, Part: part.Part, Parts: part.Parts}) {
		stream.countedParts = assembler{}
		stream.snapshot.base = read.AppendedAt
	}
	index, found := slices.BinarySearchFunc(stream.digests, part.Covered,
		func(entry offsetDigest, covered identifier.Offset) int { return compareOffsets(entry.offset, covered) })
	if !found || stream.digests[index].digest == part.Digest || part.Part > 0 {
		return
	}
	stream.digestMismatches++
	applier.emit(
		messenger.Count{Counter: messenger.Transitions, Reason: "digest-mismatch"},
		messenger.Transition{
			Subject: "stream " + string(stream.name), From: "consistent", To: "inconsistent",
			Reason: fmt.Sprintf("digest at offset %d is %016x, the snapshot at offset %d has %016x",
				part.Covered, stream.digests[index].digest, read.Offset, part.Digest),
		},
	)
}

// isBefore reports whether a part of a snapshot covers only appends before its own.
// Any other part is not from a node, and would outrank the real ones.
func isBefore(part messenger.Snapshot, offset identifier.Offset) bool { return part.Covered < offset }

func compareOffsets(a, b identifier.Offset) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// scanForSnapshot searches for a snapshot in appends that can't be applied, because
// earlier ones are no longer retained.
func (applier *Applier) scanForSnapshot(now time.Time, stream *stream, read messenger.AppendRead) {
	if read.Reset {
		stream.scanFrom = read.Offset
		stream.logParts = assembler{}
	}
	for _, entry := range read.Entries {
		part, ok := entry.Record.(messenger.Snapshot)
		// The appends after the covered offset must still be retained.
		if !ok || !isBefore(part, read.Offset) || part.Covered+1 < stream.scanFrom {
			continue
		}
		if stream.logParts.add(part) && applier.installSnapshot(now, stream, &stream.logParts) {
			stream.snapshot.base = read.AppendedAt
			return
		}
	}
}

// installSnapshot replaces the state by a complete snapshot and makes the follower
// continue after the covered offset. It returns false if the snapshot is not newer
// than the state or its digest is wrong.
func (applier *Applier) installSnapshot(now time.Time, stream *stream, assembler *assembler) bool {
	covered, digest := assembler.covered, assembler.digest
	states := assembler.takeStates()
	if covered <= stream.applied {
		return false
	}
	if !applier.restoreState(stream, states, digest) {
		applier.emit(messenger.Count{Counter: messenger.Transitions, Reason: "snapshot-refused"})
		return false
	}
	stream.applied = covered
	stream.scanFrom = 0
	stream.digests = []offsetDigest{{covered, digest}}
	stream.window = window{}
	stream.lag.recordProgress(now, covered)
	stream.rewoundAt = now
	applier.offsetsChanged = true
	applier.emit(messenger.StreamAdvanced{Stream: stream.name, Applied: covered})
	return true
}

// restoreState builds a state from the parts of a snapshot and puts it into force if
// its digest matches.
func (applier *Applier) restoreState(stream *stream, states []messenger.State, digest uint64) bool {
	switch stream.name {
	case identifier.Configuration:
		restored := newConfiguration(applier.parameters)
		if !restored.restore(states) || restored.digest() != digest {
			return false
		}
		*applier.configuration = *restored
		if stream.caughtUp {
			applier.configuration.resetChanged()
			applier.emit(messenger.ConfigurationChanged{Configuration: applier.configuration.value()})
		}
	case identifier.Jobs:
		restored := newJobs()
		if !restored.restore(states) || restored.digest() != digest {
			return false
		}
		before := *applier.jobs
		*applier.jobs = *restored
		if stream.caughtUp {
			applier.emit(applier.jobs.changesSince(&before)...)
		}
	default:
		return false
	}
	return true
}

// assembler collects the parts of the newest snapshot of which it has received a
// part.
type assembler struct {
	covered identifier.Offset
	digest  uint64
	count   int
	parts   map[int]messenger.State
}

// add stores a part. It returns true if the snapshot is complete.
func (assembler *assembler) add(part messenger.Snapshot) bool {
	if part.Covered < assembler.covered || part.Parts < 1 || part.Parts > maxParts || part.Part < 0 || part.Part >= part.Parts {
		return false
	}
	if part.Covered != assembler.covered || part.Digest != assembler.digest || part.Parts != assembler.count {
		assembler.covered, assembler.digest, assembler.count = part.Covered, part.Digest, part.Parts
		assembler.parts = map[int]messenger.State{}
	}
	assembler.parts[part.Part] = part.State
	return len(assembler.parts) == assembler.count
}

// takeStates returns the states of the parts in order and empties the assembler.
func (assembler *assembler) takeStates() []messenger.State {
	var states []messenger.State
	for _, part := range slices.Sorted(maps.Keys(assembler.parts)) {
		states = append(states, assembler.parts[part])
	}
	assembler.parts, assembler.count = nil, 0
	return states
}
