package planner

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// Maintenance of VMs.
const (
	// vmListInterval is the time between two requests for the VM list during a
	// wave.
	vmListInterval = 700 * time.Millisecond
	// waveReserve is the time at the end of a wave that is reserved for delays.
	waveReserve = 2 * time.Second
	// maintenanceRetryDelay is the time before a refused maintenance is requested
	// again.
	maintenanceRetryDelay = 300 * time.Millisecond
)

// maintenance holds the waves that the operator requested.
type maintenance struct {
	waves        map[identifier.Wave]*wave
	listInFlight bool
	nextListAt   time.Time
	vms          map[identifier.VM]messenger.VMReport
}

type wave struct {
	request messenger.Wave
	// firstHandledAt is when this node first handled the request as the holder.
	firstHandledAt time.Time
	vms            map[identifier.VM]*vmMaintenance
	reported       bool
	reportInFlight bool
	// reportRetryAt is when a refused report may be repeated.
	reportRetryAt time.Time
}

// vmMaintenance is the maintenance of one VM of a wave.
type vmMaintenance struct {
	state maintenanceState
	// since is when the VM entered the state.
	since           time.Time
	retryAt         time.Time
	requestInFlight bool
	// closedMinion is the minion that takes no runs until the maintenance is done.
	closedMinion identifier.Minion
}

type maintenanceState uint8

const (
	maintenanceWaiting  maintenanceState = iota
	maintenanceClearing                  // no run is started there; runs end or move
	maintenanceStarted
	maintenanceDone
)

func newMaintenance() maintenance {
	return maintenance{waves: make(map[identifier.Wave]*wave), vms: make(map[identifier.VM]messenger.VMReport)}
}

// reset discards the state that only the holder has. The platform reports to
// the next holder which VMs have had their maintenance.
func (maintenance *maintenance) reset() {
	maintenance.listInFlight = false
	maintenance.nextListAt = time.Time{}
	clear(maintenance.vms)
	for _, wave := range maintenance.waves {
		clear(wave.vms)
		wave.reportInFlight = false
	}
}

func (planner *Planner) handleWaveRequests(event messenger.WavesRead) {
	for _, request := range event.Waves {
		if _, exists := planner.maintenance.waves[request.Wave]; !exists {
			planner.maintenance.waves[request.Wave] = &wave{request: request, vms: make(map[identifier.VM]*vmMaintenance)}
		}
	}
	planner.passNeeded = true
}

// advanceWaves advances the incomplete waves and requests the VM list while there
// are any.
func (planner *Planner) advanceWaves(now time.Time) {
	maintenance := &planner.maintenance
	incomplete := false
	for _, number := range slices.Sorted(maps.Keys(maintenance.waves)) {
		wave := maintenance.waves[number]
		if wave.reported {
			continue
		}
		incomplete = true
		if wave.firstHandledAt.IsZero() {
			wave.firstHandledAt = now
		}
		if len(maintenance.vms) > 0 {
			planner.advanceWave(now, wave)
		}
	}
	if incomplete && !maintenance.listInFlight && !now.Before(maintenance.nextListAt) {
		maintenance.listInFlight = true
		planner.emit(messenger.ListPoolVMs{})
	}
}

func (planner *Planner) handleVMList(now time.Time, event messenger.PoolVMsListed) {
	planner.maintenance.listInFlight = false
	planner.maintenance.nextListAt = now.Add(vmListInterval)
	if event.Err != nil {
		planner.emit(messenger.Count{Counter: messenger.Retries, Reason: "list-vms-" + event.Err.Code.Name()})
		return
	}
	clear(planner.maintenance.vms)
	for _, report := range event.VMs {
		planner.maintenance.vms[report.VM] = report
	}
	for _, wave := range planner.maintenance.waves {
		for name, vm := range wave.vms {
			report, listed := planner.maintenance.vms[name]
			if vm.state == maintenanceStarted && event.SentAt.After(vm.since) && (!listed || report.State == messenger.VMUp) {
				planner.setMaintenanceState(now, wave, name, vm, maintenanceDone, "the VM is up again")
			}
		}
	}
}

func (planner *Planner) setMaintenanceState(now time.Time, wave *wave, name identifier.VM, vm *vmMaintenance, state maintenanceState, reason string) {
	outcomes := [...]string{"upkeep-waits", "upkeep-clears", "upkeep-begun", "upkeep-done"}
	planner.emitDecision(string(name), outcomes[state], reason, fmt.Sprintf("wave=%d", wave.request.Wave), now.Sub(wave.firstHandledAt))
	vm.state, vm.since = state, now
	if minion, ok := planner.minions[vm.closedMinion]; ok && state == maintenanceDone {
		minion.closedForMaintenance = false
	}
}

// advanceWave starts the maintenance of as many VMs of a wave as may be
// unavailable at a time.
func (planner *Planner) advanceWave(now time.Time, wave *wave) {
	unavailable, unfinished := 0, 0
	for _, name := range wave.request.VMs {
		vm := planner.vmMaintenance(wave, name)
		if vm.state != maintenanceDone {
			unfinished++
		}
		if vm.state == maintenanceClearing || vm.state == maintenanceStarted {
			unavailable++
		}
	}
	if unfinished == 0 {
		planner.reportWave(now, wave)
		return
	}
	for _, name := range planner.waitingVMsByLoad(wave) {
		if unavailable >= max(1, wave.request.MaxUnavailable) {
			break
		}
		planner.setMaintenanceState(now, wave, name, wave.vms[name], maintenanceClearing, "it is the next VM of the wave")
		unavailable++
	}
	for _, name := range wave.request.VMs {
		if vm := wave.vms[name]; vm.state == maintenanceClearing {
			planner.clearVM(now, wave, name, vm)
		}
	}
}

// vmMaintenance returns the maintenance of a VM. A VM that has left the pools
// needs none.
func (planner *Planner) vmMaintenance(wave *wave, name identifier.VM) *vmMaintenance {
	vm, ok := wave.vms[name]
	if !ok {
		vm = &vmMaintenance{}
		wave.vms[name] = vm
		if planner.maintenance.vms[name].State == messenger.VMInMaintenance {
			vm.state = maintenanceStarted
		}
	}
	if _, listed := planner.maintenance.vms[name]; !listed && vm.state == maintenanceWaiting {
		vm.state = maintenanceDone
	}
	return vm
}

// waitingVMsByLoad returns the VMs of a wave that wait, those with the least
// work first.
func (planner *Planner) waitingVMsByLoad(wave *wave) []identifier.VM {
	var names []identifier.VM
	for _, name := range wave.request.VMs {
		if wave.vms[name].state == maintenanceWaiting && planner.maintenance.vms[name].State == messenger.VMUp {
			names = append(names, name)
		}
	}
	load := func(name identifier.VM) int {
		minion, ok := planner.minions[planner.maintenance.vms[name].Minion]
		if !ok {
			return 0
		}
		return minion.used.MilliCPU + minion.used.Accelerators*acceleratorWeight
	}
	slices.SortStableFunc(names, func(one, other identifier.VM) int { return cmp.Compare(load(one), load(other)) })
	return names
}

// clearVM closes a minion for new runs and stops runs that lose little work. It
// requests the maintenance when no run is left there. It stops all runs when
// the wave would be late otherwise.
func (planner *Planner) clearVM(now time.Time, wave *wave, name identifier.VM, vm *vmMaintenance) {
	minion, ok := planner.minions[planner.maintenance.vms[name].Minion]
	if ok {
		minion.closedForMaintenance, vm.closedMinion = true, minion.report.Minion
		if now.Sub(vm.since) > planner.clearingTimeout(wave) {
			for _, run := range minion.sortedRuns() {
				planner.stopRun(now, run, "its VM needs maintenance")
			}
		} else {
			planner.evacuate(now, minion, "its VM needs maintenance")
		}
		if len(minion.runs) > 0 {
			return
		}
	}
	if vm.requestInFlight || now.Before(vm.retryAt) {
		return
	}
	vm.requestInFlight = true
	planner.emit(messenger.MaintainVM{VM: name, Wave: wave.request.Wave, Token: planner.holder.token})
}

// clearingTimeout returns how long each VM of a wave may take to become empty.
func (planner *Planner) clearingTimeout(wave *wave) time.Duration {
	rounds := (len(wave.request.VMs) + max(1, wave.request.MaxUnavailable) - 1) / max(1, wave.request.MaxUnavailable)
	roundTime := (wave.request.Duration - waveReserve) / time.Duration(max(1, rounds))
	return max(roundTime-planner.bounds.MaintenanceTime-planner.bounds.StopTimeout-vmListInterval, 0)
}

func (planner *Planner) handleMaintenanceAnswer(now time.Time, event messenger.VMMaintained) {
	wave, ok := planner.maintenance.waves[event.Sent.Wave]
	if !ok || wave.vms[event.Sent.VM] == nil || event.Sent.Token != planner.holder.token {
		return
	}
	vm := wave.vms[event.Sent.VM]
	vm.requestInFlight = false
	if event.Err == nil {
		planner.setMaintenanceState(now, wave, event.Sent.VM, vm, maintenanceStarted, "the platform has started it")
		return
	}
	planner.emit(messenger.Count{Counter: messenger.Retries, Reason: "maintain-" + event.Err.Code.Name()})
	switch event.Err.Code {
	case classifier.StaleTerm:
		planner.emit(messenger.HolderFenced{Token: planner.holder.token})
		planner.stepDown()
	case classifier.Infeasible, classifier.UnknownNode:
		planner.setMaintenanceState(now, wave, event.Sent.VM, vm, maintenanceDone, event.Err.Message)
	default:
		vm.retryAt = now.Add(maintenanceRetryDelay)
	}
}

func (planner *Planner) reportWave(now time.Time, wave *wave) {
	if wave.reportInFlight || wave.reported || now.Before(wave.reportRetryAt) {
		return
	}
	wave.reportInFlight = true
	planner.emit(messenger.ReportWave{Wave: wave.request.Wave, Completed: true})
}

func (planner *Planner) handleWaveReported(now time.Time, event messenger.WaveReported) {
	wave, ok := planner.maintenance.waves[event.Sent.Wave]
	if !ok {
		return
	}
	wave.reportInFlight = false
	if event.Err != nil {
		wave.reportRetryAt = now.Add(maintenanceRetryDelay)
		planner.emit(messenger.Count{Counter: messenger.Retries, Reason: "report-wave-" + event.Err.Code.Name()})
		return
	}
	wave.reported = event.Sent.Completed
	planner.emitDecision(fmt.Sprintf("wave-%d", event.Sent.Wave), "wave-completed", "all VMs have had their maintenance", "", 0)
}

// evacuate stops the runs of a minion that lose little work when stopped: those
// with checkpoints and the long-running ones.
func (planner *Planner) evacuate(now time.Time, minion *minion, reason string) {
	for _, run := range minion.sortedRuns() {
		if run.state == running && (run.step.spec.Checkpoints || run.step.spec.LongRunning) && planner.mayInterrupt(run) {
			planner.stopRun(now, run, reason)
		}
	}
}

// mayInterrupt reports whether one more long-running task of the run's step may
// be unavailable.
func (planner *Planner) mayInterrupt(run *run) bool {
	if !run.step.spec.LongRunning || run.step.spec.MaxUnavailable == 0 {
		return true
	}
	unavailable := 0
	for index := range run.step.tasks {
		other := run.step.tasks[index].run
		if other == nil || other.state != running || other.progressPercent < readyPercent {
			unavailable++
		}
	}
	return unavailable < run.step.spec.MaxUnavailable
}

// readyPercent is the progress at which a long-running task is ready.
const readyPercent = 100
