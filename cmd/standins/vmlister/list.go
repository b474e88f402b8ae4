// Package vmlister is the stand-in of the platform's list of VMs.
package vmlister

import (
	"net/netip"
	"time"

	"corianderroad/identifier"
)

// VM is one entry of the list.
type VM struct {
	Name          string                   `json:"name"`
	Role          string                   `json:"role"`
	Address       netip.AddrPort           `json:"address"`
	State         string                   `json:"state"`
	Region        identifier.Region        `json:"region"`
	FailureDomain identifier.FailureDomain `json:"failure-domain"`
	Rack          identifier.Rack          `json:"rack,omitempty"`
	Service       identifier.Service       `json:"service,omitempty"`
	Accelerators  int                      `json:"accelerators,omitempty"`
}

// States of a VM. A VM that is gone is not listed.
const (
	Live    = "live"
	Leaving = "leaving"
	Gone    = "gone"
)

type change struct {
	visibleAt time.Time
	name      string
	state     string
}

// List is a list of VMs that shows changes after a lag. It is not safe for
// concurrent use.
type List struct {
	lag     time.Duration
	vms     []VM
	pending []change
	frozen  bool
}

// NewList returns a list that shows all VMs as live. A change is shown after lag.
func NewList(vms []VM, lag time.Duration) *List {
	list := &List{lag: lag, vms: append([]VM(nil), vms...)}
	for index := range list.vms {
		list.vms[index].State = Live
	}
	return list
}

// Change records a new state of a VM. It returns false if the list has no VM of
// this name.
func (list *List) Change(now time.Time, name, state string) bool {
	for _, vm := range list.vms {
		if vm.Name == name {
			list.pending = append(list.pending, change{visibleAt: now.Add(list.lag), name: name, state: state})
			return true
		}
	}
	return false
}

// SetFrozen suspends or resumes the application of changes to the list.
func (list *List) SetFrozen(frozen bool) { list.frozen = frozen }

// VMs returns the VMs that are visible at now.
func (list *List) VMs(now time.Time) []VM {
	for !list.frozen && len(list.pending) > 0 && !now.Before(list.pending[0].visibleAt) {
		list.apply(list.pending[0])
		list.pending = list.pending[1:]
	}
	shown := make([]VM, 0, len(list.vms))
	for _, vm := range list.vms {
		if vm.State != Gone {
			shown = append(shown, vm)
		}
	}
	return shown
}

func (list *List) apply(due change) {
	for index := range list.vms {
		if list.vms[index].Name == due.name {
			list.vms[index].State = due.state
		}
	}
}
