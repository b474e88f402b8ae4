package encoder

import "github.com/tinylib/msgp/msgp"

//go:generate msgp -file log_schema.go -o log_schema_gen.go -tests=false -io=true
//go:generate gofumpt -w log_schema_gen.go

// The limits prevent a corrupt length from allocating memory for elements that
// the payload does not contain.
//msgp:limit arrays:8192 maps:64

// LogBatch is the payload of one append.
type LogBatch struct {
	Entries []LogEntry `msg:"entries"`
}

// LogRawBatch is a LogBatch whose entries are not decoded, so that each entry can be
// refused alone.
type LogRawBatch struct {
	Entries []msgp.Raw `msg:"entries"`
}

// LogEntry is one record with its ID. Exactly one of the pointers is set.
type LogEntry struct {
	ID           string           `msg:"id"`
	Publication  *LogPublication  `msg:"publication,omitempty"`
	Approval     *LogApproval     `msg:"approval,omitempty"`
	Submission   *LogJobSpec      `msg:"submission,omitempty"`
	Cancellation *LogCancellation `msg:"cancellation,omitempty"`
	Outcome      *LogOutcome      `msg:"outcome,omitempty"`
	RegionClaim  *LogRegionClaim  `msg:"region-claim,omitempty"`
	Intent       *LogIntent       `msg:"intent,omitempty"`
	Snapshot     *LogSnapshot     `msg:"snapshot,omitempty"`
}

// LogPublication is messenger.Publication on the wire.
type LogPublication struct {
	Organisation string `msg:"organisation"`
	Base         uint64 `msg:"base"`
	Text         []byte `msg:"text,limit=262144"`
}

// LogApproval is messenger.Approval on the wire.
type LogApproval struct {
	Organisation string `msg:"organisation"`
	Publication  uint64 `msg:"publication"`
}

// LogJobSpec is commander.JobSpec on the wire.
type LogJobSpec struct {
	Job          string `msg:"job"`
	Workspace    string `msg:"workspace"`
	Region       string `msg:"region"`
	Members      int    `msg:"members"`
	Accelerators int    `msg:"accelerators"`
	Adjacency    uint8  `msg:"adjacency"`
	RunTime      int64  `msg:"run-time"`
	Urgent       bool   `msg:"urgent"`
}

// LogCancellation is messenger.Cancellation on the wire.
type LogCancellation struct {
	Job       string `msg:"job"`
	Workspace string `msg:"workspace,omitempty"`
}

// LogOutcome is messenger.Outcome on the wire.
type LogOutcome struct {
	Job       string `msg:"job"`
	Code      uint16 `msg:"code"`
	Reason    string `msg:"reason"`
	Cancelled bool   `msg:"cancelled"`
}

// LogRegionClaim is messenger.RegionClaim on the wire.
type LogRegionClaim struct {
	Region      string `msg:"region"`
	Node        string `msg:"node"`
	Incarnation uint64 `msg:"incarnation"`
}

// LogIntent is messenger.Intent on the wire.
type LogIntent struct {
	Key         string `msg:"key"`
	Request     string `msg:"request"`
	Node        string `msg:"node"`
	Incarnation uint64 `msg:"incarnation"`
}

// LogSnapshot is messenger.Snapshot on the wire. Exactly one of Configuration
// and Jobs is set.
type LogSnapshot struct {
	Covered       uint64                 `msg:"covered"`
	Digest        uint64                 `msg:"digest"`
	Part          int                    `msg:"part"`
	Parts         int                    `msg:"parts"`
	Configuration *LogConfigurationState `msg:"configuration,omitempty"`
	Jobs          *LogJobsState          `msg:"jobs,omitempty"`
}

// LogConfigurationState is messenger.ConfigurationState on the wire.
type LogConfigurationState struct {
	Version       uint64             `msg:"version"`
	Organisations []LogPublishedText `msg:"organisations"`
	Pending       []LogPendingText   `msg:"pending"`
	Applied       []LogAppliedEntry  `msg:"folded"`
}

// LogPublishedText is messenger.PublishedText on the wire.
type LogPublishedText struct {
	Organisation string `msg:"organisation"`
	Version      uint64 `msg:"version"`
	Text         []byte `msg:"text,limit=262144"`
}

// LogPendingText is messenger.PendingText on the wire.
type LogPendingText struct {
	Publication  uint64   `msg:"publication"`
	Organisation string   `msg:"organisation"`
	Text         []byte   `msg:"text,limit=262144"`
	Approvals    []string `msg:"approvals"`
}

// LogJobsState is messenger.JobsState on the wire.
type LogJobsState struct {
	Jobs    []LogJobState     `msg:"jobs"`
	Claims  []LogClaimState   `msg:"claims"`
	Applied []LogAppliedEntry `msg:"folded"`
}

// LogJobState is messenger.JobState on the wire. Times are Unix nanoseconds,
// zero for none.
type LogJobState struct {
	Spec        LogJobSpec  `msg:"spec"`
	Offset      uint64      `msg:"offset"`
	AcceptedAt  int64       `msg:"accepted-at"`
	CancelledAt uint64      `msg:"cancelled-at"`
	EndedAt     int64       `msg:"ended-at"`
	Outcome     *LogOutcome `msg:"outcome,omitempty"`
}

// LogClaimState is messenger.ClaimState on the wire.
type LogClaimState struct {
	Claim LogRegionClaim `msg:"claim"`
	Term  uint64         `msg:"term"`
}

// LogAppliedEntry is messenger.AppliedEntry on the wire.
type LogAppliedEntry struct {
	ID string `msg:"id"`
	At int64  `msg:"at"`
}
