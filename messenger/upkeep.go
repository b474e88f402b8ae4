package messenger

import (
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
)

// Wave is the operator's request that VMs have their upkeep.
type Wave struct {
	Wave     identifier.Wave
	VMs      []identifier.VM
	Duration time.Duration
	// MaxUnavailable bounds the VMs of the wave that are down at the same time.
	MaxUnavailable int
}

// WavesRead delivers new requests for upkeep.
type WavesRead struct {
	Waves []Wave
}

// VMState is the state of a VM in the platform's list.
type VMState uint8

// States of a VM.
const (
	VMOther VMState = iota
	VMUp
	VMMoving
	VMInMaintenance
	VMDown
)

// VMReport is a VM of the platform's list.
type VMReport struct {
	VM     identifier.VM
	Pool   identifier.Service
	State  VMState
	Minion identifier.Minion
}

// ListPoolVMs asks for the platform's list of VMs.
type ListPoolVMs struct{}

// PoolVMsListed is the one answer to ListPoolVMs.
type PoolVMsListed struct {
	VMs    []VMReport
	SentAt time.Time
	Err    *classifier.Error
}

// MaintainVM begins the upkeep of a VM. All that runs there ends.
type MaintainVM struct {
	VM    identifier.VM
	Wave  identifier.Wave
	Token identifier.Term
}

// VMMaintained is the one answer to MaintainVM. Code MinionBusy means that the
// VM cannot begin now.
type VMMaintained struct {
	Sent MaintainVM
	Err  *classifier.Error
}

// ReportWave tells the operator how far a wave is.
type ReportWave struct {
	Wave      identifier.Wave
	Completed bool
}

// WaveReported is the one answer to ReportWave.
type WaveReported struct {
	Sent ReportWave
	Err  *classifier.Error
}

// RequestAdvice asks which minions may run the tasks of a step.
type RequestAdvice struct {
	Job     identifier.Job
	Step    int
	Minions []identifier.Minion
	// Occurrence is part of the step's name.
	Occurrence int
	// Timeout bounds the wait for the answer.
	Timeout time.Duration
}

// Ticket lets a minion run a step.
type Ticket struct {
	Minion identifier.Minion
	Ticket string
}

// AdviceReceived is the one answer to RequestAdvice.
type AdviceReceived struct {
	Sent     RequestAdvice
	SentAt   time.Time
	Tickets  []Ticket
	Validity time.Duration
	Err      *classifier.Error
}

func (WavesRead) event()      {}
func (PoolVMsListed) event()  {}
func (VMMaintained) event()   {}
func (WaveReported) event()   {}
func (AdviceReceived) event() {}

func (ListPoolVMs) action()   {}
func (MaintainVM) action()    {}
func (ReportWave) action()    {}
func (RequestAdvice) action() {}
