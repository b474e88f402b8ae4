package planner

import (
	"fmt"
	"time"

	"corianderroad/accountant"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// What may be concluded from the lists of VMs.
const (
	// formerRequestTime is how long after a claim a request for maintenance that the
	// former holder has sent may still be carried out: orderLifetime, the timeout of the
	// call (1.5 s) and a margin.
	formerRequestTime = orderLifetime + 1700*time.Millisecond
	// minVMAbsence is the time for which all lists must lack a VM until it counts as
	// gone. The pages of a list are not a snapshot.
	minVMAbsence = 3 * vmListInterval
)

// vmMaintenance is the maintenance of one VM of a wave.
type vmMaintenance struct {
	state maintenanceState
	// since is when the VM entered the state.
	since           time.Time
	retryAt         time.Time
	requestInFlight bool
	// requested means that a request was sent, which may have been carried out.
	requested bool
	// closedMinion is the minion that takes no runs until the maintenance is done.
	closedMinion identifier.Minion
	// unconfirmed means that only a list shows the maintenance, which may be that of
	// another wave.
	unconfirmed bool
	// missingSince is the time since which all lists lack the VM, zero if the newest
	// has it. left means that it counts as gone.
	missingSince time.Time
	left         bool
}

type maintenanceState uint8

const (
	maintenanceWaiting  maintenanceState = iota
	maintenanceClearing                  // no run is started there; runs end or move
	maintenanceStarted
	maintenanceDone
)

// mayHaveBegun reports whether the maintenance may have begun and has not ended.
func (vm *vmMaintenance) mayHaveBegun() bool {
	return vm.state == maintenanceStarted || (vm.state == maintenanceClearing && vm.requested)
}

func (planner *Planner) setMaintenanceState(now time.Time, wave *wave, name identifier.VM, vm *vmMaintenance, state maintenanceState, reason string) {
	outcomes := [...]string{"upkeep-waits", "upkeep-clears", "upkeep-begun", "upkeep-done"}
	planner.emitDecision(string(name), outcomes[state], reason, fmt.Sprintf("wave=%d", wave.request.Wave), now.Sub(wave.firstHandledAt))
	vm.state, vm.since = state, now
	if minion, ok := planner.minions[vm.closedMinion]; ok && state == maintenanceDone {
		minion.closedForMaintenance = false
	}
}

// vmMaintenance returns the maintenance of a VM.
func (planner *Planner) vmMaintenance(now time.Time, wave *wave, name identifier.VM) *vmMaintenance {
	vm, ok := wave.vms[name]
	if !ok {
		vm = &vmMaintenance{}
		wave.vms[name] = vm
		planner.applyVMList(now, wave, name, vm)
	}
	return vm
}

// applyVMList applies the newest list to a VM of a wave.
func (planner *Planner) applyVMList(now time.Time, wave *wave, name identifier.VM, vm *vmMaintenance) {
	listedAt := planner.maintenance.listedAt
	report, listed := planner.maintenance.vms[name]
	if !listed {
		planner.applyAbsence(now, wave, name, vm)
		return
	}
	vm.missingSince = time.Time{}
	switch {
	case vm.left:
		vm.left = false
		planner.setMaintenanceState(now, wave, name, vm, maintenanceWaiting, "the VM is listed again")
	case report.State == messenger.VMInMaintenance && vm.state < maintenanceStarted:
		vm.unconfirmed = true
		planner.setMaintenanceState(now, wave, name, vm, maintenanceStarted, "the list shows it")
	case vm.state != maintenanceStarted || report.State != messenger.VMUp || !listedAt.After(vm.since):
	case vm.unconfirmed:
		vm.unconfirmed = false
		planner.setMaintenanceState(now, wave, name, vm, maintenanceClearing, "the platform must confirm its maintenance")
	default:
		planner.setMaintenanceState(now, wave, name, vm, maintenanceDone, "the VM is up again")
	}
}

// applyAbsence lets a VM count as gone once lists have lacked it for long enough. A VM
// that has left the pools needs no maintenance.
func (planner *Planner) applyAbsence(now time.Time, wave *wave, name identifier.VM, vm *vmMaintenance) {
	listedAt := planner.maintenance.listedAt
	if vm.missingSince.IsZero() {
		vm.missingSince = listedAt
	}
	if vm.state != maintenanceDone && listedAt.Sub(vm.missingSince) >= minVMAbsence {
		vm.left = true
		planner.setMaintenanceState(now, wave, name, vm, maintenanceDone, "the VM has left the pools")
	}
}

// clearVM closes a minion for new runs, stops runs that lose little work and reports
// whether the minion is certainly empty. When the wave would be late otherwise, it stops
// all runs, apart from those of steps of which no more tasks may be unavailable.
func (planner *Planner) clearVM(now time.Time, wave *wave, name identifier.VM, vm *vmMaintenance) bool {
	report, listed := planner.maintenance.vms[name]
	if !listed {
		return false // its minion is unknown
	}
	minion, ok := planner.minions[report.Minion]
	if !ok {
		return planner.mayRequestMaintenance(now, nil)
	}
	minion.closedForMaintenance, vm.closedMinion = true, minion.report.Minion
	if now.Sub(vm.since) <= planner.clearingTimeout(wave) {
		planner.clearMinion(now, minion, "its VM needs maintenance")
		return len(minion.runs) == 0 && planner.mayRequestMaintenance(now, minion)
	}
	for _, run := range minion.sortedRuns() {
		if planner.mayInterrupt(run) {
			planner.stopRun(now, run, accountant.StopForMaintenance, "its VM needs maintenance")
		}
	}
	return len(minion.runs) == 0 && planner.mayRequestMaintenance(now, minion)
}

// requestMaintenance requests the maintenance of an empty VM unless a request is pending
// or waits for its repetition.
func (planner *Planner) requestMaintenance(now time.Time, wave *wave, name identifier.VM, vm *vmMaintenance) {
	if vm.requestInFlight || now.Before(vm.retryAt) {
		return
	}
	vm.requestInFlight, vm.requested = true, true
	planner.emit(messenger.MaintainVM{VM: name, Wave: wave.request.Wave, Token: planner.holder.token, Expires: now.Add(orderLifetime)})
}

// mayRequestMaintenance reports whether maintenance ends no run that this holder does not
// know, and whether the newest list shows all that the former holder requested. The
// minion is nil if it is unknown.
func (planner *Planner) mayRequestMaintenance(now time.Time, minion *minion) bool {
	if planner.maintenance.listedAt.Before(planner.holder.claimedAt.Add(formerRequestTime)) {
		return false
	}
	return (minion != nil && minion.polled) || planner.formerLeasesExpired(now)
}

// clearMinion stops the runs of a minion that lose little work when stopped: those
// with checkpoints and the long-running ones.
func (planner *Planner) clearMinion(now time.Time, minion *minion, reason string) {
	for _, run := range minion.sortedRuns() {
		if run.state == running && (run.step.spec.Checkpoints || run.step.spec.LongRunning) && planner.mayInterrupt(run) {
			planner.stopRun(now, run, accountant.StopForMaintenance, reason)
		}
	}
}

// mayInterrupt reports whether one more long-running task of the run's step may
// be unavailable.
func (planner *Planner) mayInterrupt(run *run) bool {
	if !run.step.spec.LongRunning || run.step.spec.MaxUnavailable == 0 {
		return true
	}
	return run.step.unavailableTasks() < run.step.spec.MaxUnavailable
}

// unavailableTasks returns the number of long-running tasks of the step that are not ready.
func (step *step) unavailableTasks() int {
	unavailable := 0
	for index := range step.tasks {
		run := step.tasks[index].run
		if run == nil || run.state != running || run.progressPercent < readyPercent {
			unavailable++
		}
	}
	return unavailable
}

// readyPercent is the progress at which a long-running task is ready.
const readyPercent = 100
