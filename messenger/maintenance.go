package messenger

import (
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
)

// Wave is the operator's request for the maintenance of VMs.
type Wave struct {
	Wave     identifier.Wave
	VMs      []identifier.VM
	Duration time.Duration
	// MaxUnavailable limits the number of the wave's VMs that are unavailable at the same time.
	MaxUnavailable int
}

// WavesRead delivers new maintenance waves.
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

// ListPoolVMs requests the platform's list of VMs.
type ListPoolVMs struct{}

// PoolVMsListed is the one answer to ListPoolVMs.
type PoolVMsListed struct {
	VMs    []VMReport
	SentAt time.Time
	Err    *classifier.Error
}

// MaintainVM begins the maintenance of a VM, which ends all runs on it.
type MaintainVM struct {
	VM    identifier.VM
	Wave  identifier.Wave
	Token identifier.Term
	// Expires is when the request is no longer sent, because another holder may have
	// claimed since.
	Expires time.Time
}

// VMMaintained is the one answer to MaintainVM. Code MinionBusy means that the
// maintenance can't begin now.
type VMMaintained struct {
	Sent MaintainVM
	Err  *classifier.Error
}

// ReportWave reports the progress of a wave to the operator.
type ReportWave struct {
	Wave      identifier.Wave
	Completed bool
}

// WaveReported is the one answer to ReportWave.
type WaveReported struct {
	Sent ReportWave
	Err  *classifier.Error
}

// RequestAdvice asks the advice service which minions may run the tasks of a step.
type RequestAdvice struct {
	Job     identifier.Job
	Step    int
	Minions []identifier.Minion
	// Occurrence identifies the step together with Job and Step.
	Occurrence int
	// Timeout limits the wait for the answer.
	Timeout time.Duration
}

// Ticket permits a minion to run a step.
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
