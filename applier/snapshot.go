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
	// maxPart is the size above which a part of a snapshot takes no further item.
	// With one text of the largest size it stays below half a frame.
	maxPart = 192 << 10
	// maxPartItems stays below the limit of the wire form's lists.
	maxPartItems = 2048
	// maxParts bounds what an incomplete snapshot may hold.
	maxParts = 512
)

// snapshotSchedule says when the next snapshot of a stream is due.
type snapshotSchedule struct {
	// base is the log's time from which appends must not expire: that of the newest
	// snapshot, or of the first append if there is none.
	base time.Time
	// writing is when this node last wrote one.
	writing time.Time
}

func (schedule *snapshotSchedule) folded(at time.Time) {
	if schedule.base.IsZero() {
		schedule.base = at
	}
}

// due returns when the node with the given rank among the members writes. The
// ranks take turns from a quarter of the retention on, so that one node writes
// and another stands in for it before half of the retention has passed.
func (schedule *snapshotSchedule) due(retention time.Duration, rank int) time.Time {
	due := schedule.base.Add(retention/4 + time.Duration(min(rank, 15))*retention/64)
	return later(due, schedule.writing.Add(retention/64))
}

// writeSnapshots appends the snapshots that are due.
func (applier *Applier) writeSnapshots(now time.Time) {
	for _, stream := range applier.streams {
		if stream.name == identifier.Intents || !stream.current || stream.silent || stream.scanFrom > 0 || stream.applied == 0 {
			continue
		}
		if now.Before(stream.snapshot.due(applier.parameters.Retention, applier.peers.rank)) {
			continue
		}
		stream.snapshot.writing = now
		for _, part := range stream.parts() {
			applier.emit(messenger.AppendRecord{
				Stream: stream.name,
				Entry: messenger.Entry{
					ID: fmt.Sprintf("snapshot/%s/%d/%s/%d/%d", stream.name, part.Covered,
						applier.identity.Node, applier.identity.Incarnation, part.Part),
					Record: part,
				},
				Deadline: now.Add(applier.parameters.GiveUp),
			})
		}
	}
}

// parts returns the snapshot of the state. All nodes split a state alike, so
// that parts from different nodes fit together.
func (stream *stream) parts() []messenger.Snapshot {
	var states []messenger.State
	switch folder := stream.folder.(type) {
	case *configuration:
		states = folder.states()
	case *jobs:
		states = folder.states()
	}
	parts := make([]messenger.Snapshot, len(states))
	for i, state := range states {
		parts[i] = messenger.Snapshot{
			Covered: stream.applied, Digest: stream.folder.digest(), Part: i, Parts: len(states), State: state,
		}
	}
	return parts
}

// compare checks a snapshot from the log against the state that this node had
// at the covered offset.
func (applier *Applier) compare(stream *stream, read messenger.AppendRead, part messenger.Snapshot) {
	// Only a snapshot whose parts are all in the log covers anything.
	if stream.counted.add(messenger.Snapshot{Covered: part.Covered, Digest: part.Digest, Part: part.Part, Parts: part.Parts}) {
		stream.counted = assembler{}
		stream.snapshot.base = read.AppendedAt
	}
	at, found := slices.BinarySearchFunc(stream.digests, part.Covered,
		func(entry offsetDigest, covered identifier.Offset) int { return compareOffsets(entry.offset, covered) })
	if !found || stream.digests[at].digest == part.Digest || part.Part > 0 {
		return
	}
	stream.mismatches++
	applier.emit(
		messenger.Count{Counter: messenger.Transitions, Reason: "digest-mismatch"},
		messenger.Transition{
			Subject: "stream " + string(stream.name), From: "consistent", To: "inconsistent",
			Reason: fmt.Sprintf("digest at offset %d is %016x, the snapshot at offset %d has %016x",
				part.Covered, stream.digests[at].digest, read.Offset, part.Digest),
		},
	)
}

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

// scan looks for a snapshot in appends that can't be folded, because earlier
// ones are no longer retained.
func (applier *Applier) scan(now time.Time, stream *stream, read messenger.AppendRead) {
	if read.Reset {
		stream.scanFrom = read.Offset
		stream.fromLog = assembler{}
	}
	for _, entry := range read.Entries {
		part, ok := entry.Record.(messenger.Snapshot)
		// The appends after the covered offset must still be retained.
		if !ok || part.Covered+1 < stream.scanFrom {
			continue
		}
		if stream.fromLog.add(part) && applier.install(now, stream, &stream.fromLog) {
			stream.snapshot.base = read.AppendedAt
			return
		}
	}
}

// install replaces the state by a complete snapshot and makes the follower read
// what follows it.
func (applier *Applier) install(now time.Time, stream *stream, assembler *assembler) bool {
	covered, digest := assembler.covered, assembler.digest
	states := assembler.states()
	if covered <= stream.applied {
		return false
	}
	if !applier.restore(stream, states, digest) {
		applier.emit(messenger.Count{Counter: messenger.Transitions, Reason: "snapshot-refused"})
		return false
	}
	stream.applied = covered
	stream.scanFrom = 0
	stream.digests = []offsetDigest{{covered, digest}}
	stream.window = window{}
	stream.late.progress(now, covered)
	stream.rewound = now
	applier.advanced = true
	applier.emit(messenger.StreamAdvanced{Stream: stream.name, Applied: covered})
	return true
}

// restore builds the state anew and puts it into force if its digest is right.
func (applier *Applier) restore(stream *stream, states []messenger.State, digest uint64) bool {
	switch stream.name {
	case identifier.Configuration:
		restored := newConfiguration(applier.parameters)
		if !restored.restore(states) || restored.digest() != digest {
			return false
		}
		*applier.configuration = *restored
		if stream.current {
			applier.configuration.takeChanged()
			applier.emit(messenger.ConfigurationChanged{Configuration: applier.configuration.value()})
		}
	case identifier.Jobs:
		restored := newJobs()
		if !restored.restore(states) || restored.digest() != digest {
			return false
		}
		before := *applier.jobs
		*applier.jobs = *restored
		if stream.current {
			applier.emit(applier.jobs.announce(&before)...)
		}
	default:
		return false
	}
	return true
}

// assembler collects the parts of one snapshot, the newest that was begun.
type assembler struct {
	covered identifier.Offset
	digest  uint64
	count   int
	parts   map[int]messenger.State
}

// add returns true if the snapshot is complete.
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

// states returns the parts in their order and empties the assembler.
func (assembler *assembler) states() []messenger.State {
	var states []messenger.State
	for _, part := range slices.Sorted(maps.Keys(assembler.parts)) {
		states = append(states, assembler.parts[part])
	}
	assembler.parts, assembler.count = nil, 0
	return states
}
