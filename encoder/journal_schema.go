package encoder

//go:generate msgp -file journal_schema.go -o journal_schema_gen.go -tests=false -io=false
//go:generate gofumpt -w journal_schema_gen.go

// The limits prevent a corrupt length from allocating memory for elements that
// the record does not contain. Those in the tags are specifier.MaxSteps, that of
// arrays is specifier.MaxJobTasks.
//msgp:limit arrays:65536 maps:64

// JournalJob is specifier.Job on the wire.
type JournalJob struct {
	Queue       string        `msg:"queue"`
	Workspace   string        `msg:"workspace"`
	Payload     string        `msg:"payload"`
	Steps       []JournalStep `msg:"steps,limit=64"`
	Occurrences int           `msg:"occurrences"`
	First       int64         `msg:"first"`
	Interval    int64         `msg:"interval"`
	AcceptedAt  int64         `msg:"accepted-at"`
}

// JournalStep is specifier.Step on the wire. It is encoded as a tuple, because the
// names of its fields are longer than their values.
//
//msgp:tuple JournalStep
type JournalStep struct {
	Tasks            int    `msg:"tasks"`
	MilliCPU         int    `msg:"milli-cpu"`
	MemoryMB         int    `msg:"memory-mb"`
	Accelerators     int    `msg:"accelerators"`
	EstimatedRunTime int64  `msg:"estimated-run-time"`
	DependsOn        []int  `msg:"depends-on,limit=64"`
	Gang             bool   `msg:"gang"`
	SameRack         bool   `msg:"same-rack"`
	Label            string `msg:"label"`
	DataRack         string `msg:"data-rack"`
	MaxPerMinion     int    `msg:"max-per-minion"`
	Redundant        bool   `msg:"redundant"`
	Checkpoints      bool   `msg:"checkpoints"`
	LongRunning      bool   `msg:"long-running"`
	Image            string `msg:"image"`
	LatencyTarget    int64  `msg:"latency-target"`
	Backfill         bool   `msg:"backfill"`
	MaxUnavailable   int    `msg:"max-away"`
}

// JournalProgress is specifier.Progress on the wire.
type JournalProgress struct {
	State   uint8         `msg:"state"`
	EndedAt int64         `msg:"ended-at"`
	Reason  string        `msg:"reason,omitempty"`
	Tasks   []JournalTask `msg:"tasks"`
	// Restarts are left out if there are none. Earlier versions ignore them.
	Restarts []JournalRestart `msg:"restarts,omitempty"`
	// Crashes and Placements are in a part of their own, which earlier versions neither
	// read nor replace.
	Crashes    []JournalCrash     `msg:"crashes,omitempty"`
	Placements []JournalPlacement `msg:"placements,omitempty"`
	// Evidence has an element for each crash. Earlier versions write none.
	Evidence []JournalEvidence `msg:"evidence,omitempty"`
	// PlacementDetails has an element for each placement. Earlier versions write none.
	PlacementDetails []JournalPlacementDetail `msg:"placement-details,omitempty"`
}

// JournalRestart is specifier.TaskRestart on the wire.
//
//msgp:tuple JournalRestart
type JournalRestart struct {
	Occurrence int    `msg:"occurrence"`
	Step       int    `msg:"step"`
	Index      int    `msg:"index"`
	LatestRun  uint64 `msg:"latest-run"`
}

// JournalCrash is specifier.TaskCrash on the wire.
//
//msgp:tuple JournalCrash
type JournalCrash struct {
	Occurrence  int    `msg:"occurrence"`
	Step        int    `msg:"step"`
	Index       int    `msg:"index"`
	Run         uint64 `msg:"run"`
	Minion      string `msg:"minion"`
	Incarnation uint64 `msg:"incarnation"`
	Age         int64  `msg:"age"`
	OnTrial     bool   `msg:"on-trial"`
	Cleared     bool   `msg:"cleared"`
}

// JournalEvidence is what specifier.TaskCrash says about the evidence, on the wire.
//
//msgp:tuple JournalEvidence
type JournalEvidence struct {
	Kind            uint8  `msg:"kind"`
	SilentPeers     int    `msg:"silent-peers"`
	NextIncarnation uint64 `msg:"next-incarnation"`
	Address         []byte `msg:"address"`
}

// JournalPlacement is specifier.TaskPlacement on the wire.
//
//msgp:tuple JournalPlacement
type JournalPlacement struct {
	Occurrence  int    `msg:"occurrence"`
	Step        int    `msg:"step"`
	Index       int    `msg:"index"`
	Run         uint64 `msg:"run"`
	Minion      string `msg:"minion"`
	Incarnation uint64 `msg:"incarnation"`
}

// JournalPlacementDetail is the rest of specifier.TaskPlacement on the wire.
//
//msgp:tuple JournalPlacementDetail
type JournalPlacementDetail struct {
	Address  []byte `msg:"address"`
	PlacedAt int64  `msg:"placed-at"`
}

// JournalTask is specifier.TaskProgress on the wire.
//
//msgp:tuple JournalTask
type JournalTask struct {
	Occurrence int      `msg:"occurrence"`
	Step       int      `msg:"step"`
	Index      int      `msg:"index"`
	Done       bool     `msg:"done"`
	DoneRun    uint64   `msg:"done-run"`
	FailedRuns []uint64 `msg:"failed-runs"`
	Checkpoint string   `msg:"checkpoint"`
}

// JournalClaim is messenger.Claim on the wire.
type JournalClaim struct {
	Node        string `msg:"node"`
	Incarnation uint64 `msg:"incarnation"`
	Token       uint64 `msg:"token"`
	Serial      uint64 `msg:"serial"`
	Released    bool   `msg:"released"`
	// Waits is an encoded ClaimWaits, so that waits that can't be decoded do not make the claim
	// unreadable. It is left out if there are none. Earlier versions ignore it.
	Waits []byte `msg:"waits,omitempty"`
}

// ClaimWaits is messenger.QueueWaits on the wire.
type ClaimWaits struct {
	ComputedAt int64            `msg:"computed-at"`
	Queues     []ClaimQueueWait `msg:"queues,limit=16"`
}

// ClaimQueueWait is messenger.QueueWait on the wire. Its times are in milliseconds.
type ClaimQueueWait struct {
	Queue        string `msg:"queue"`
	TimelyWait   int64  `msg:"timely-wait"`
	Wait         int64  `msg:"wait"`
	RunTime      int64  `msg:"run-time"`
	Tasks        int    `msg:"tasks"`
	MilliCPU     int    `msg:"milli-cpu"`
	MemoryMB     int    `msg:"memory-mb"`
	Accelerators int    `msg:"accelerators"`
}
