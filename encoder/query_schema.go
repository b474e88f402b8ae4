package encoder

import "time"

//go:generate msgp -file query_schema.go -o query_schema_gen.go -tests=false -io=true

// The limits of arrays prevent a frame that declares a huge array from allocating it.
//msgp:limit arrays:1048576 maps:64
//msgp:timezone utc

// WireQuery is a querier.Query.
type WireQuery struct {
	Kind      uint8  `msg:"kind"`
	Subject   string `msg:"subject,omitempty"`
	Workspace string `msg:"workspace,omitempty"`
}

// WireAnswer is a querier.Answer.
type WireAnswer struct {
	Members       []WireMemberRow       `msg:"members,omitempty,limit=16384"`
	Configuration []WireOrganisationRow `msg:"configuration,omitempty,limit=16384"`
	Jobs          []WireJobRow          `msg:"jobs,omitempty,limit=16384"`
	Minions       []WireMinionRow       `msg:"minions,omitempty,limit=16384"`
	Workers       []WireWorkerRow       `msg:"workers,omitempty,limit=16384"`
	Decisions     []WireDecisionRow     `msg:"decisions,omitempty,limit=16384"`
	Shares        []WireShareRow        `msg:"shares,omitempty,limit=16384"`
	Gauges        []WireGaugeRow        `msg:"gauges,omitempty,limit=16384"`
	Submitted     []WireSubmittedRow    `msg:"submitted,omitempty,limit=16384"`
	Waiting       int                   `msg:"waiting,omitempty"`
	AsOf          time.Time             `msg:"as-of"`
	IsHolder      bool                  `msg:"is-holder,omitempty"`
	Explanations  []WireExplanationRow  `msg:"explanations,omitempty,limit=16384"`
	Pools         []WirePoolRow         `msg:"pools,omitempty,limit=16384"`
}

// WirePoolRow is a querier.Pool.
type WirePoolRow struct {
	Token                 uint64              `msg:"token"`
	AsOf                  time.Time           `msg:"as-of"`
	EvacuationsReadAt     time.Time           `msg:"evacuations-read-at"`
	Evacuations           []WireEvacuationRow `msg:"evacuations,omitempty,limit=16384"`
	Minions               []WireTallyRow      `msg:"minions,omitempty,limit=16384"`
	WaitingSteps          []WireTallyRow      `msg:"waiting-steps,omitempty,limit=16384"`
	GangReservations      int                 `msg:"gang-reservations"`
	ReclaimedReservations int                 `msg:"reclaimed-reservations"`
	AcceptedJobs          int                 `msg:"accepted-jobs"`
}

// WireEvacuationRow is a querier.Evacuation.
type WireEvacuationRow struct {
	Domain  string    `msg:"domain"`
	ReadAt  time.Time `msg:"read-at"`
	Minions int       `msg:"minions"`
	Runs    int       `msg:"runs"`
	IsEmpty bool      `msg:"is-empty"`
}

// WireTallyRow is a querier.Tally.
type WireTallyRow struct {
	Name  string `msg:"name"`
	Count int    `msg:"count"`
}

// WireExplanationRow is a querier.Explanation.
type WireExplanationRow struct {
	Job       string               `msg:"job"`
	Queue     string               `msg:"queue"`
	Workspace string               `msg:"workspace"`
	State     uint8                `msg:"state"`
	Failure   string               `msg:"failure,omitempty"`
	Token     uint64               `msg:"token"`
	AsOf      time.Time            `msg:"as-of"`
	Steps     []WireWaitingStepRow `msg:"steps,omitempty,limit=16384"`
	Omitted   int                  `msg:"omitted,omitempty"`
}

// WireWaitingStepRow is a querier.WaitingStep.
type WireWaitingStepRow struct {
	Occurrence     int       `msg:"occurrence"`
	Step           int       `msg:"step"`
	Tasks          int       `msg:"tasks"`
	Startable      int       `msg:"startable"`
	Reason         string    `msg:"reason"`
	Since          time.Time `msg:"since"`
	Place          int       `msg:"place"`
	Waiting        int       `msg:"waiting"`
	Late           bool      `msg:"late"`
	FittingMinions int       `msg:"fitting-minions"`
	ExpectedStart  time.Time `msg:"expected-start"`
	Basis          uint8     `msg:"basis"`
}

// WireSubmittedRow is a querier.SubmittedJob.
type WireSubmittedRow struct {
	Job       string `msg:"job"`
	Queue     string `msg:"queue"`
	Workspace string `msg:"workspace"`
	State     uint8  `msg:"state"`
	Reason    string `msg:"reason"`
}

// WireMemberRow is a querier.Member.
type WireMemberRow struct {
	Node          string `msg:"node"`
	Region        string `msg:"region"`
	FailureDomain string `msg:"failure-domain"`
	State         string `msg:"state"`
	Incarnation   uint64 `msg:"incarnation"`
	Configuration uint64 `msg:"configuration"`
}

// WireOrganisationRow is a querier.Organisation.
type WireOrganisationRow struct {
	Organisation string   `msg:"organisation"`
	Version      uint64   `msg:"version"`
	Pending      uint64   `msg:"pending,omitempty"`
	Missing      []string `msg:"missing,omitempty,limit=16384"`
}

// WireJobRow is a querier.Job.
type WireJobRow struct {
	Job       string    `msg:"job"`
	Workspace string    `msg:"workspace"`
	Region    string    `msg:"region"`
	State     string    `msg:"state"`
	Reason    string    `msg:"reason,omitempty"`
	Workers   []string  `msg:"workers,omitempty,limit=16384"`
	Since     time.Time `msg:"since"`
}

// WireMinionRow is a querier.Minion.
type WireMinionRow struct {
	Minion  string `msg:"minion"`
	Service string `msg:"service"`
	Busy    int    `msg:"busy"`
	Slots   int    `msg:"slots"`
	State   string `msg:"state"`
}

// WireWorkerRow is a querier.Worker.
type WireWorkerRow struct {
	Worker string `msg:"worker"`
	Rack   string `msg:"rack"`
	Free   int    `msg:"free"`
	Total  int    `msg:"total"`
	State  string `msg:"state"`
}

// WireDecisionRow is a querier.Decision.
type WireDecisionRow struct {
	At      time.Time `msg:"at"`
	Node    string    `msg:"node"`
	Subject string    `msg:"subject"`
	Reason  string    `msg:"reason"`
	Detail  string    `msg:"detail,omitempty"`
}

// WireShareRow is a querier.Share.
type WireShareRow struct {
	Workspace  string `msg:"workspace"`
	Guaranteed int    `msg:"guaranteed"`
	Used       int    `msg:"used"`
	Covered    bool   `msg:"covered"`
}

// WireGaugeRow is a querier.Gauge.
type WireGaugeRow struct {
	Name  string  `msg:"name"`
	Label string  `msg:"label,omitempty"`
	Value float64 `msg:"value"`
}
