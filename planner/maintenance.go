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
	// listedAt is when the newest list was requested.
	listedAt time.Time
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

func newMaintenance() maintenance {
	return maintenance{waves: make(map[identifier.Wave]*wave), vms: make(map[identifier.VM]messenger.VMReport)}
}

// reset discards the state that only the holder has. The platform reports to
// the next holder which VMs have had their maintenance.
func (maintenance *maintenance) reset() {
	maintenance.listInFlight = false
	maintenance.nextListAt, maintenance.listedAt = time.Time{}, time.Time{}
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
	planner.maintenance.listedAt = event.SentAt
	clear(planner.maintenance.vms)
	for _, report := range event.VMs {
		planner.maintenance.vms[report.VM] = report
	}
	for _, number := range slices.Sorted(maps.Keys(planner.maintenance.waves)) {
		wave := planner.maintenance.waves[number]
		for _, name := range wave.request.VMs {
			if vm, ok := wave.vms[name]; ok {
				planner.applyVMList(now, wave, name, vm)
			}
		}
	}
}

// advanceWave starts the maintenance of as many VMs of a wave as may be
// unavailable at a time.
func (planner *Planner) advanceWave(now time.Time, wave *wave) {
	unavailable, unfinished := 0, 0
	for _, name := range wave.request.VMs {
		vm := planner.vmMaintenance(now, wave, name)
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
	limit := max(1, wave.request.MaxUnavailable)
	for _, name := range planner.waitingVMsByLoad(wave) {
		if unavailable >= limit {
			break
		}
		planner.setMaintenanceState(now, wave, name, wave.vms[name], maintenanceClearing, "it is the next VM of the wave")
		unavailable++
	}
	for _, name := range wave.request.VMs {
		vm := wave.vms[name]
		if vm.state != maintenanceClearing || !planner.clearVM(now, wave, name, vm) {
			continue
		}
		// The list may have shown more VMs in maintenance meanwhile.
		if vm.mayHaveBegun() || wave.countBegun() < limit {
			planner.requestMaintenance(now, wave, name, vm)
		}
	}
}

// countBegun returns the number of VMs whose maintenance may have begun and has not
// ended.
func (wave *wave) countBegun() int {
	count := 0
	for _, vm := range wave.vms {
		if vm.mayHaveBegun() {
			count++
		}
	}
	return count
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
		return minion.used.Weight()
	}
	slices.SortStableFunc(names, func(one, other identifier.VM) int { return cmp.Compare(load(one), load(other)) })
	return names
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
		vm.unconfirmed = false
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
