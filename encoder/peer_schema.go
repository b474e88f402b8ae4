package encoder

import "time"

//go:generate msgp -file peer_schema.go -o peer_schema_gen.go -tests=false -io=true

// The limit 1,048,576 applies to byte strings too and is the size limit of a frame.
// The lower limits in the tags prevent a frame that declares a huge array from
// allocating it: 1,024 is the largest number of members.
//msgp:limit arrays:1048576 maps:64
//msgp:timezone utc

// WirePeer is a peer message. Exactly one field is set.
type WirePeer struct {
	Probe           *WireProbe           `msg:"probe,omitempty"`
	ProbeAnswer     *WireProbe           `msg:"probe-answer,omitempty"`
	ProbeRequest    *WireProbeRequest    `msg:"probe-request,omitempty"`
	ProbeReport     *WireProbeReport     `msg:"probe-report,omitempty"`
	EntriesRequest  *WireEntriesRequest  `msg:"entries-request,omitempty"`
	EntriesResponse *WireEntriesResponse `msg:"entries-response,omitempty"`
	Forward         *WireForward         `msg:"forward,omitempty"`
	ForwardAnswer   *WireForwardAnswer   `msg:"forward-answer,omitempty"`
	ForwardCancel   *WireForwardCancel   `msg:"forward-cancel,omitempty"`
	OutcomeRequest  *WireOutcomeRequest  `msg:"outcome-request,omitempty"`
	OutcomeResponse *WireOutcomeResponse `msg:"outcome-response,omitempty"`
}

// WireMember is a messenger.Member. The address is in the binary form of
// netip.AddrPort.
type WireMember struct {
	Node          string `msg:"node"`
	Address       []byte `msg:"address"`
	Region        string `msg:"region"`
	FailureDomain string `msg:"failure-domain"`
	Incarnation   uint64 `msg:"incarnation"`
	Refutations   uint32 `msg:"refutations,omitempty"`
	State         uint8  `msg:"state,omitempty"`
	Configuration uint64 `msg:"configuration,omitempty"`
	Jobs          uint64 `msg:"jobs,omitempty"`
	Intents       uint64 `msg:"intents,omitempty"`
	Queued        int    `msg:"queued,omitempty"`
	FreeSlots     int    `msg:"free-slots,omitempty"`
}

// WireProbe is a messenger.Probe or a messenger.ProbeAnswer.
type WireProbe struct {
	Sequence uint64       `msg:"sequence"`
	From     WireMember   `msg:"from"`
	Changes  []WireMember `msg:"changes,omitempty,limit=1024"`
}

// WireProbeRequest is a messenger.ProbeRequest.
type WireProbeRequest struct {
	Sequence uint64     `msg:"sequence"`
	Target   WireMember `msg:"target"`
}

// WireProbeReport is a messenger.ProbeReport.
type WireProbeReport struct {
	Sequence uint64     `msg:"sequence"`
	Target   WireMember `msg:"target"`
}

// WireEntriesRequest is a messenger.EntriesRequest.
type WireEntriesRequest struct {
	Stream string `msg:"stream"`
	From   uint64 `msg:"from"`
}

// WireEntriesResponse is a messenger.EntriesResponse.
type WireEntriesResponse struct {
	Stream  string       `msg:"stream"`
	Appends []WireAppend `msg:"appends,omitempty,limit=8192"`
	// Snapshot is a batch with one snapshot record, or empty if there is none.
	Snapshot []byte `msg:"snapshot,omitempty"`
}

// WireAppend is a messenger.AppendRead. The batch has the same form as in the log.
type WireAppend struct {
	Stream     string    `msg:"stream"`
	Offset     uint64    `msg:"offset"`
	AppendedAt time.Time `msg:"appended-at"`
	Batch      []byte    `msg:"batch"`
	Reset      bool      `msg:"reset,omitempty"`
}

// WireCall is a commander.Call.
type WireCall struct {
	Workspace  string        `msg:"workspace"`
	Service    string        `msg:"service"`
	Method     string        `msg:"method"`
	Key        string        `msg:"key,omitempty"`
	Idempotent bool          `msg:"idempotent,omitempty"`
	RunTime    time.Duration `msg:"run-time,omitempty"`
	Deadline   time.Time     `msg:"deadline"`
	Body       []byte        `msg:"body"`
}

// WireError is a classifier.Error.
type WireError struct {
	Code       uint16        `msg:"code"`
	Message    string        `msg:"message"`
	RetryAfter time.Duration `msg:"retry-after,omitempty"`
	MayHaveRun bool          `msg:"may-have-run,omitempty"`
}

// WireForward is a messenger.Forward.
type WireForward struct {
	Request          string    `msg:"request"`
	Attempt          uint32    `msg:"attempt"`
	OwnerIncarnation uint64    `msg:"owner"`
	SentAt           time.Time `msg:"sent"`
	Call             WireCall  `msg:"call"`
}

// WireForwardAnswer is a messenger.ForwardAnswer.
type WireForwardAnswer struct {
	Request   string     `msg:"request"`
	Attempt   uint32     `msg:"attempt"`
	Err       *WireError `msg:"err,omitempty"`
	Body      []byte     `msg:"body"`
	Queued    int        `msg:"queued"`
	FreeSlots int        `msg:"free-slots"`
}

// WireForwardCancel is a messenger.ForwardCancel.
type WireForwardCancel struct {
	Request string `msg:"request"`
	Attempt uint32 `msg:"attempt"`
}

// WireOutcomeRequest is a messenger.OutcomeRequest.
type WireOutcomeRequest struct {
	Key         string `msg:"key"`
	Request     string `msg:"request"`
	Workspace   string `msg:"workspace"`
	Fingerprint uint64 `msg:"fingerprint"`
}

// WireOutcomeResponse is a messenger.OutcomeResponse.
type WireOutcomeResponse struct {
	Key     string     `msg:"key"`
	Request string     `msg:"request"`
	Err     *WireError `msg:"err,omitempty"`
	Body    []byte     `msg:"body"`
}
