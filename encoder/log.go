package encoder

import (
	"time"

	"github.com/tinylib/msgp/msgp"

	"corianderroad/classifier"
	"corianderroad/commander"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// MarshalBatch encodes entries as the payload of one append.
func MarshalBatch(entries []messenger.Entry) ([]byte, error) {
	batch := LogBatch{Entries: make([]LogEntry, len(entries))}
	for i, entry := range entries {
		wire, err := entryToWire(entry)
		if err != nil {
			return nil, err
		}
		batch.Entries[i] = wire
	}
	payload, err := batch.MarshalMsg(nil)
	if err != nil {
		return nil, classifier.New(classifier.Internal, "batch of %d entries: %v", len(entries), err)
	}
	return payload, nil
}

// Batch is the content of an append's payload.
type Batch struct {
	Entries []messenger.Entry
	// Refused holds an error with code BadFrame for each entry that is not in
	// Entries, because it can't be decoded or its record is out of bounds.
	Refused []error
}

// UnmarshalBatch decodes the entries of an append's payload. An entry that can't be
// decoded is refused alone. The error has code BadFrame if the payload is not a batch.
func UnmarshalBatch(payload []byte) (Batch, error) {
	var wire LogRawBatch
	if err := unmarshal(payload, &wire); err != nil {
		return Batch{}, classifier.New(classifier.BadFrame, "log payload of %d bytes: %v", len(payload), err)
	}
	batch := Batch{Entries: make([]messenger.Entry, 0, len(wire.Entries))}
	for index, raw := range wire.Entries {
		entry, err := unmarshalEntry(raw)
		if err != nil {
			batch.Refused = append(batch.Refused, classifier.New(classifier.BadFrame, "entry %d of %d: %v", index, len(wire.Entries), err))
			continue
		}
		batch.Entries = append(batch.Entries, entry)
	}
	return batch, nil
}

func unmarshalEntry(raw msgp.Raw) (messenger.Entry, error) {
	var wire LogEntry
	if _, err := wire.UnmarshalMsg(raw); err != nil {
		return messenger.Entry{}, err
	}
	return wire.decode()
}

// entryToWire returns the wire form of an entry.
func entryToWire(entry messenger.Entry) (LogEntry, error) {
	wire := LogEntry{ID: entry.ID}
	switch record := entry.Record.(type) {
	case messenger.Publication:
		wire.Publication = &LogPublication{string(record.Organisation), uint64(record.Base), record.Text}
	case messenger.Approval:
		wire.Approval = &LogApproval{string(record.Organisation), uint64(record.Publication)}
	case messenger.Submission:
		spec := jobSpecToWire(record.Spec)
		wire.Submission = &spec
	case messenger.Cancellation:
		wire.Cancellation = &LogCancellation{string(record.Job), string(record.Workspace)}
	case messenger.Outcome:
		outcome := outcomeToWire(record)
		wire.Outcome = &outcome
	case messenger.RegionClaim:
		claim := regionClaimToWire(record)
		wire.RegionClaim = &claim
	case messenger.Intent:
		wire.Intent = &LogIntent{string(record.Key), string(record.Request), string(record.Node), uint64(record.Incarnation)}
	case messenger.Snapshot:
		snapshot, err := snapshotToWire(record)
		if err != nil {
			return LogEntry{}, err
		}
		wire.Snapshot = &snapshot
	default:
		return LogEntry{}, classifier.New(classifier.Internal, "record %T has no wire form", record)
	}
	return wire, nil
}

// decode returns the entry. The error has code BadFrame if the entry does not
// contain exactly one record.
func (wire *LogEntry) decode() (messenger.Entry, error) {
	if err := wire.checkNames(); err != nil {
		return messenger.Entry{}, err
	}
	var records []messenger.Record
	if publication := wire.Publication; publication != nil {
		records = append(records, messenger.Publication{
			Organisation: identifier.Organisation(publication.Organisation),
			Base:         identifier.Offset(publication.Base), Text: publication.Text,
		})
	}
	if approval := wire.Approval; approval != nil {
		records = append(records, messenger.Approval{
			Organisation: identifier.Organisation(approval.Organisation), Publication: identifier.Offset(approval.Publication),
		})
	}
	if wire.Submission != nil {
		spec, err := wire.Submission.decode()
		if err != nil {
			return messenger.Entry{}, err
		}
		records = append(records, messenger.Submission{Spec: spec})
	}
	if wire.Cancellation != nil {
		records = append(records, messenger.Cancellation{
			Job: identifier.Job(wire.Cancellation.Job), Workspace: identifier.Workspace(wire.Cancellation.Workspace),
		})
	}
	if wire.Outcome != nil {
		records = append(records, wire.Outcome.decode())
	}
	if wire.RegionClaim != nil {
		records = append(records, wire.RegionClaim.decode())
	}
	if intent := wire.Intent; intent != nil {
		records = append(records, messenger.Intent{
			Key: identifier.Key(intent.Key), Request: identifier.Request(intent.Request),
			Node: identifier.Node(intent.Node), Incarnation: identifier.Incarnation(intent.Incarnation),
		})
	}
	if wire.Snapshot != nil {
		snapshot, err := wire.Snapshot.decode()
		if err != nil {
			return messenger.Entry{}, err
		}
		records = append(records, snapshot)
	}
	if len(records) != 1 {
		return messenger.Entry{}, classifier.New(classifier.BadFrame, "entry %q contains %d records, want 1", wire.ID, len(records))
	}
	return messenger.Entry{ID: wire.ID, Record: records[0]}, nil
}

// checkNames returns an error with code BadFrame if the ID or a name of the entry is
// too long.
func (wire *LogEntry) checkNames() error {
	names := []string{wire.ID}
	if publication := wire.Publication; publication != nil {
		names = append(names, publication.Organisation)
	}
	if approval := wire.Approval; approval != nil {
		names = append(names, approval.Organisation)
	}
	if cancellation := wire.Cancellation; cancellation != nil {
		names = append(names, cancellation.Job, cancellation.Workspace)
	}
	if outcome := wire.Outcome; outcome != nil {
		names = append(names, outcome.Job)
		if len(outcome.Reason) > messenger.MaxReasonBytes {
			return classifier.New(classifier.BadFrame, "reason of %d bytes, at most %d are allowed", len(outcome.Reason), messenger.MaxReasonBytes)
		}
	}
	if claim := wire.RegionClaim; claim != nil {
		names = append(names, claim.Region, claim.Node)
	}
	if intent := wire.Intent; intent != nil {
		names = append(names, intent.Key, intent.Request, intent.Node)
	}
	for _, name := range names {
		if len(name) > messenger.MaxEntryNameBytes {
			return classifier.New(classifier.BadFrame, "name of %d bytes, at most %d are allowed", len(name), messenger.MaxEntryNameBytes)
		}
	}
	return nil
}

func jobSpecToWire(spec commander.JobSpec) LogJobSpec {
	return LogJobSpec{
		Job: string(spec.Job), Workspace: string(spec.Workspace), Region: string(spec.Region),
		Members: spec.Shape.Members, Accelerators: spec.Shape.Accelerators, Adjacency: uint8(spec.Shape.Adjacency),
		RunTime: int64(spec.RunTime), Urgent: spec.Urgent,
	}
}

// decode returns the specification of a job. It applies the checks of a caller's
// command, on whose bounds the placement relies.
func (wire *LogJobSpec) decode() (commander.JobSpec, error) {
	spec := commander.JobSpec{
		Job: identifier.Job(wire.Job), Workspace: identifier.Workspace(wire.Workspace), Region: identifier.Region(wire.Region),
		Shape: commander.Shape{
			Members: wire.Members, Accelerators: wire.Accelerators, Adjacency: commander.Adjacency(wire.Adjacency),
		},
		RunTime: time.Duration(wire.RunTime), Urgent: wire.Urgent,
	}
	if err := (commander.Submit{Workspace: spec.Workspace, Job: spec}).Check(); err != nil {
		return commander.JobSpec{}, classifier.New(classifier.BadFrame, "job %.128q: %v", spec.Job, err)
	}
	return spec, nil
}

func outcomeToWire(outcome messenger.Outcome) LogOutcome {
	return LogOutcome{string(outcome.Job), uint16(outcome.Code), outcome.Reason, outcome.Cancelled}
}

func (wire *LogOutcome) decode() messenger.Outcome {
	return messenger.Outcome{
		Job: identifier.Job(wire.Job), Code: classifier.Code(wire.Code), Reason: wire.Reason, Cancelled: wire.Cancelled,
	}
}

func regionClaimToWire(claim messenger.RegionClaim) LogRegionClaim {
	return LogRegionClaim{string(claim.Region), string(claim.Node), uint64(claim.Incarnation)}
}

func (wire *LogRegionClaim) decode() messenger.RegionClaim {
	return messenger.RegionClaim{
		Region: identifier.Region(wire.Region), Node: identifier.Node(wire.Node),
		Incarnation: identifier.Incarnation(wire.Incarnation),
	}
}
