package encoder

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// Prefixes of the keys in the journal. A job, its cancellation and its progress
// have separate keys, because different writers write them.
const (
	jobPrefix       = "job/"
	cancelPrefix    = "cancel/"
	tombstonePrefix = "tombstone/"
	progressPrefix  = "progress/"
)

// cancelValue is the only byte of the value of a cancellation and of a tombstone.
const cancelValue = 1

// KeyedRecord is a record of a topic that retains the newest record of each key.
// A nil value deletes the key.
type KeyedRecord struct {
	Key   string
	Value []byte
}

// MarshalJournalEntry encodes a journal entry.
func MarshalJournalEntry(entry messenger.JournalEntry) (KeyedRecord, error) {
	switch entry := entry.(type) {
	case messenger.Submitted:
		value, err := jobToWire(&entry.Job).MarshalMsg(nil)
		return KeyedRecord{jobPrefix + string(entry.Job.ID), value}, err
	case messenger.Withdrawn:
		return KeyedRecord{cancelPrefix + string(entry.Job), []byte{cancelValue}}, nil
	case messenger.Tombstone:
		return KeyedRecord{tombstoneKey(entry), []byte{cancelValue}}, nil
	case messenger.Progressed:
		value, err := progressToWire(entry.Progress).MarshalMsg(nil)
		return KeyedRecord{progressKey(messenger.ProgressPart{Job: entry.Job, Part: entry.Part}), value}, err
	default:
		return KeyedRecord{}, classifier.New(classifier.Internal, "no record for a journal entry of type %T", entry)
	}
}

// tombstoneKey returns the key of a tombstone, which holds all of it. Workspaces thus can't
// replace each other's.
func tombstoneKey(tombstone messenger.Tombstone) string {
	return tombstonePrefix + string(tombstone.Job) + "/" + string(tombstone.Workspace)
}

// TombstoneDeletionRecord returns the record that deletes a tombstone.
func TombstoneDeletionRecord(tombstone messenger.Tombstone) KeyedRecord {
	return KeyedRecord{Key: tombstoneKey(tombstone)}
}

// progressKey returns the key of a part of a job's progress. The first part has no number
// in its key. Earlier versions recorded all tasks under that key.
func progressKey(part messenger.ProgressPart) string {
	if part.Part == 0 {
		return progressPrefix + string(part.Job)
	}
	return progressPrefix + string(part.Job) + "/" + strconv.Itoa(part.Part)
}

// progressPart returns the part that a key without its prefix names.
func progressPart(name string) (messenger.ProgressPart, error) {
	job, number, isNumbered := strings.Cut(name, "/")
	part := messenger.ProgressPart{Job: identifier.Job(job)}
	if err := messenger.CheckJobID(part.Job); err != nil || !isNumbered {
		return part, err
	}
	var err error
	if part.Part, err = strconv.Atoi(number); err != nil || part.Part < 1 || strconv.Itoa(part.Part) != number {
		return part, errors.Errorf("the number of the part is %.20q", number)
	}
	return part, nil
}

// ProgressDeletionRecord returns the record that deletes a part of a job's progress.
func ProgressDeletionRecord(part messenger.ProgressPart) KeyedRecord {
	return KeyedRecord{Key: progressKey(part)}
}

// DeletionRecords returns the records that delete all keys of a job in the journal. The
// key of the job itself is deleted first: without it the other keys have no effect.
func DeletionRecords(job identifier.Job) []KeyedRecord {
	return []KeyedRecord{
		{Key: jobPrefix + string(job)},
		{Key: cancelPrefix + string(job)},
		ProgressDeletionRecord(messenger.ProgressPart{Job: job}),
	}
}

// UnmarshalJournalEntry decodes a record. It returns nil for the deletion of any
// key other than that of a job or a tombstone, which has no effect of its own. For a record that
// can't be decoded the error has code BadFrame and names the key. Such a record has
// no effect: the caller keeps what it knows of the key from earlier records.
func UnmarshalJournalEntry(record KeyedRecord) (messenger.JournalEntry, error) {
	entry, err := decodeJournalEntry(record)
	if err != nil {
		return nil, classifier.New(classifier.BadFrame, "record %q of the journal: %v", record.Key, err)
	}
	return entry, nil
}

func decodeJournalEntry(record KeyedRecord) (messenger.JournalEntry, error) {
	prefix, name, _ := strings.Cut(record.Key, "/")
	isDeletion := len(record.Value) == 0
	if prefix+"/" == progressPrefix {
		part, err := progressPart(name)
		if err != nil || isDeletion {
			return nil, err
		}
		return progressedFromWire(part, record.Value)
	}
	if prefix+"/" == tombstonePrefix {
		return tombstoneFromWire(name, record.Value)
	}
	job := identifier.Job(name)
	if err := messenger.CheckJobID(job); err != nil {
		return nil, err
	}
	switch prefix + "/" {
	case jobPrefix:
		if isDeletion {
			return messenger.Deleted{Job: job}, nil
		}
		return submittedFromWire(job, record.Value)
	case cancelPrefix:
		if isDeletion {
			return nil, nil
		}
		return withdrawnFromWire(job, record.Value)
	default:
		return nil, errors.New("unknown kind of key")
	}
}

func submittedFromWire(id identifier.Job, value []byte) (messenger.JournalEntry, error) {
	var wire JournalJob
	if err := unmarshal(value, &wire); err != nil {
		return nil, err
	}
	job := jobFromWire(id, &wire)
	if err := job.Check(); err != nil {
		return nil, err
	}
	submitted := messenger.Submitted{Job: job}
	if err := submitted.CheckLimits(); err != nil {
		return nil, err
	}
	return submitted, nil
}

func withdrawnFromWire(job identifier.Job, value []byte) (messenger.JournalEntry, error) {
	if err := checkCancelValue(value); err != nil {
		return nil, err
	}
	return messenger.Withdrawn{Job: job}, nil
}

func checkCancelValue(value []byte) error {
	if len(value) != 1 || value[0] != cancelValue {
		return errors.Errorf("the value of %d bytes is not that of a cancellation", len(value))
	}
	return nil
}

func tombstoneFromWire(name string, value []byte) (messenger.JournalEntry, error) {
	job, workspace, isComplete := strings.Cut(name, "/")
	tombstone := messenger.Tombstone{Job: identifier.Job(job), Workspace: identifier.Workspace(workspace)}
	if !isComplete {
		return nil, errors.New("the key names no workspace")
	}
	if err := tombstone.Check(); err != nil {
		return nil, err
	}
	if len(value) == 0 {
		return messenger.TombstoneDeleted{Tombstone: tombstone}, nil
	}
	return tombstone, checkCancelValue(value)
}

func progressedFromWire(part messenger.ProgressPart, value []byte) (messenger.JournalEntry, error) {
	var wire JournalProgress
	if err := unmarshal(value, &wire); err != nil {
		return nil, err
	}
	progress := specifier.Progress{State: specifier.State(wire.State), EndedAt: timeFromWire(wire.EndedAt), Reason: wire.Reason}
	for _, task := range wire.Tasks {
		progress.Tasks = append(progress.Tasks, specifier.TaskProgress(task))
	}
	for _, restart := range wire.Restarts {
		progress.Restarts = append(progress.Restarts, specifier.TaskRestart(restart))
	}
	progress.Crashes = crashesFromWire(&wire)
	progress.Placements = placementsFromWire(&wire)
	progressed := messenger.Progressed{Job: part.Job, Part: part.Part, Progress: progress}
	if err := progressed.Check(); err != nil {
		return nil, err
	}
	return progressed, nil
}

// optionalAddressFromWire returns an address, an invalid one if it is not known.
func optionalAddressFromWire(wire []byte) netip.AddrPort {
	address, err := addressFromWire(wire)
	if err != nil {
		return netip.AddrPort{}
	}
	return address
}

// placementsFromWire returns the placements of a progress. Those of an earlier version have
// no details.
func placementsFromWire(wire *JournalProgress) []specifier.TaskPlacement {
	var placements []specifier.TaskPlacement
	hasDetails := len(wire.PlacementDetails) == len(wire.Placements)
	for index, placement := range wire.Placements {
		decoded := specifier.TaskPlacement{
			Occurrence: placement.Occurrence, Step: placement.Step, Index: placement.Index, Run: placement.Run,
			Minion: identifier.Minion(placement.Minion), Incarnation: identifier.Incarnation(placement.Incarnation),
		}
		if hasDetails {
			detail := wire.PlacementDetails[index]
			decoded.Address, decoded.PlacedAt = optionalAddressFromWire(detail.Address), timeFromWire(detail.PlacedAt)
		}
		placements = append(placements, decoded)
	}
	return placements
}

// crashesFromWire returns the crashes of a progress. Those of an earlier version have no
// evidence: it counted a crash of which nothing was known as well as a restart.
func crashesFromWire(wire *JournalProgress) []specifier.TaskCrash {
	var crashes []specifier.TaskCrash
	hasEvidence := len(wire.Evidence) == len(wire.Crashes)
	for index, crash := range wire.Crashes {
		decoded := specifier.TaskCrash{
			Occurrence: crash.Occurrence, Step: crash.Step, Index: crash.Index, Run: crash.Run, Minion: identifier.Minion(crash.Minion),
			Incarnation: identifier.Incarnation(crash.Incarnation), Age: time.Duration(crash.Age), OnTrial: crash.OnTrial, Cleared: crash.Cleared,
			Evidence: specifier.Restarted,
		}
		if hasEvidence {
			evidence := wire.Evidence[index]
			decoded.Evidence, decoded.SilentPeers = specifier.CrashEvidence(evidence.Kind), evidence.SilentPeers
			decoded.NextIncarnation = identifier.Incarnation(evidence.NextIncarnation)
			decoded.Address = optionalAddressFromWire(evidence.Address)
		}
		crashes = append(crashes, decoded)
	}
	return crashes
}

func progressToWire(progress specifier.Progress) *JournalProgress {
	wire := &JournalProgress{State: uint8(progress.State), EndedAt: timeToWire(progress.EndedAt), Reason: progress.Reason}
	for _, task := range progress.Tasks {
		wire.Tasks = append(wire.Tasks, JournalTask(task))
	}
	for _, restart := range progress.Restarts {
		wire.Restarts = append(wire.Restarts, JournalRestart(restart))
	}
	for _, crash := range progress.Crashes {
		wire.Crashes = append(wire.Crashes, JournalCrash{
			Occurrence: crash.Occurrence, Step: crash.Step, Index: crash.Index, Run: crash.Run, Minion: string(crash.Minion),
			Incarnation: uint64(crash.Incarnation), Age: int64(crash.Age), OnTrial: crash.OnTrial, Cleared: crash.Cleared,
		})
		wire.Evidence = append(wire.Evidence, JournalEvidence{
			Kind: uint8(crash.Evidence), SilentPeers: crash.SilentPeers, NextIncarnation: uint64(crash.NextIncarnation), Address: addressToWire(crash.Address),
		})
	}
	for _, placement := range progress.Placements {
		wire.Placements = append(wire.Placements, JournalPlacement{
			Occurrence: placement.Occurrence, Step: placement.Step, Index: placement.Index, Run: placement.Run,
			Minion: string(placement.Minion), Incarnation: uint64(placement.Incarnation),
		})
		wire.PlacementDetails = append(wire.PlacementDetails, JournalPlacementDetail{
			Address: addressToWire(placement.Address), PlacedAt: timeToWire(placement.PlacedAt),
		})
	}
	return wire
}

func jobToWire(job *specifier.Job) *JournalJob {
	wire := &JournalJob{
		Queue: string(job.Queue), Workspace: string(job.Workspace), Payload: job.Payload,
		AcceptedAt: timeToWire(job.AcceptedAt),
	}
	if job.Schedule != nil {
		wire.Occurrences = job.Schedule.Occurrences
		wire.First = timeToWire(job.Schedule.First)
		wire.Interval = int64(job.Schedule.Interval)
	}
	for _, step := range job.Steps {
		wire.Steps = append(wire.Steps, JournalStep{
			Tasks: step.Tasks, MilliCPU: step.Request.MilliCPU, MemoryMB: step.Request.MemoryMB,
			Accelerators: step.Request.Accelerators, EstimatedRunTime: int64(step.EstimatedRunTime),
			DependsOn: step.DependsOn, Gang: step.Gang, SameRack: step.SameRack, Label: step.Label,
			DataRack: string(step.DataRack), MaxPerMinion: step.MaxPerMinion, Redundant: step.Redundant,
			Checkpoints: step.Checkpoints, LongRunning: step.LongRunning, Image: step.Image,
			LatencyTarget: int64(step.LatencyTarget), Backfill: step.Backfill, MaxUnavailable: step.MaxUnavailable,
		})
	}
	return wire
}

func jobFromWire(id identifier.Job, wire *JournalJob) specifier.Job {
	job := specifier.Job{
		ID: id, Queue: identifier.Queue(wire.Queue), Workspace: identifier.Workspace(wire.Workspace),
		Payload: wire.Payload, AcceptedAt: timeFromWire(wire.AcceptedAt),
	}
	if wire.Occurrences > 0 {
		job.Schedule = &specifier.Schedule{
			Occurrences: wire.Occurrences, First: timeFromWire(wire.First), Interval: time.Duration(wire.Interval),
		}
	}
	for _, step := range wire.Steps {
		job.Steps = append(job.Steps, specifier.Step{
			Tasks: step.Tasks, Request: specifier.Resources{
				MilliCPU: step.MilliCPU, MemoryMB: step.MemoryMB, Accelerators: step.Accelerators,
			},
			EstimatedRunTime: time.Duration(step.EstimatedRunTime), DependsOn: step.DependsOn, Gang: step.Gang,
			SameRack: step.SameRack, Label: step.Label, DataRack: identifier.Rack(step.DataRack),
			MaxPerMinion: step.MaxPerMinion, Redundant: step.Redundant, Checkpoints: step.Checkpoints,
			LongRunning: step.LongRunning, Image: step.Image, LatencyTarget: time.Duration(step.LatencyTarget),
			Backfill: step.Backfill, MaxUnavailable: step.MaxUnavailable,
		})
	}
	return job
}
