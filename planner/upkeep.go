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

// Upkeep of VMs.
const (
	// listEvery is the time between two readings of the VM list during a wave.
	listEvery = 700 * time.Millisecond
	// upkeepReserve is kept at the end of a wave for what goes wrong.
	upkeepReserve = 2 * time.Second
	// maintainRetry is the time before a refused upkeep is asked for again.
	maintainRetry = 300 * time.Millisecond
)

// upkeep is the waves that the operator asked for.
type upkeep struct {
	waves   map[identifier.Wave]*wave
	listing bool
	listAt  time.Time
	vms     map[identifier.VM]messenger.VMReport
}

type wave struct {
	request messenger.Wave
	// firstSeen is when this node read the request.
	firstSeen time.Time
	vms       map[identifier.VM]*vmUpkeep
	reported  bool
	reporting bool
}

// vmUpkeep is the upkeep of one VM of a wave.
type vmUpkeep struct {
	state upkeepState
	// since is when the state began.
	since    time.Time
	notUntil time.Time
	asked    bool
}

type upkeepState uint8

const (
	upkeepWaits  upkeepState = iota
	upkeepClears             // nothing new starts there; runs end or move
	upkeepBegun
	upkeepDone
)

func newUpkeep() upkeep {
	return upkeep{waves: make(map[identifier.Wave]*wave), vms: make(map[identifier.VM]messenger.VMReport)}
}

// resign forgets what only the holder did. The platform tells the next holder
// what has been done.
func (upkeep *upkeep) resign() {
	upkeep.listing = false
	upkeep.listAt = time.Time{}
	clear(upkeep.vms)
	for _, wave := range upkeep.waves {
		clear(wave.vms)
		wave.reporting = false
	}
}

func (planner *Planner) readWaves(event messenger.WavesRead) {
	for _, request := range event.Waves {
		if _, known := planner.upkeep.waves[request.Wave]; !known {
			planner.upkeep.waves[request.Wave] = &wave{request: request, vms: make(map[identifier.VM]*vmUpkeep)}
		}
	}
	planner.changed = true
}

// maintain drives the waves.
func (planner *Planner) maintain(now time.Time) {
	upkeep := &planner.upkeep
	open := false
	for _, number := range slices.Sorted(maps.Keys(upkeep.waves)) {
		wave := upkeep.waves[number]
		if wave.reported {
			continue
		}
		open = true
		if wave.firstSeen.IsZero() {
			wave.firstSeen = now
		}
		if len(upkeep.vms) > 0 {
			planner.drive(now, wave)
		}
	}
	if open && !upkeep.listing && !now.Before(upkeep.listAt) {
		upkeep.listing = true
		planner.emit(messenger.ListPoolVMs{})
	}
}

func (planner *Planner) listedVMs(now time.Time, event messenger.PoolVMsListed) {
	planner.upkeep.listing = false
	planner.upkeep.listAt = now.Add(listEvery)
	if event.Err != nil {
		planner.emit(messenger.Count{Counter: messenger.Retries, Reason: "list-vms-" + event.Err.Code.Name()})
		return
	}
	clear(planner.upkeep.vms)
	for _, report := range event.VMs {
		planner.upkeep.vms[report.VM] = report
	}
	for _, wave := range planner.upkeep.waves {
		for name, vm := range wave.vms {
			report, listed := planner.upkeep.vms[name]
			if vm.state == upkeepBegun && event.SentAt.After(vm.since) && (!listed || report.State == messenger.VMUp) {
				planner.moveUpkeep(now, wave, name, vm, upkeepDone, "the VM is back")
			}
		}
	}
}

func (planner *Planner) moveUpkeep(now time.Time, wave *wave, name identifier.VM, vm *vmUpkeep, state upkeepState, reason string) {
	names := [...]string{"upkeep-waits", "upkeep-clears", "upkeep-begun", "upkeep-done"}
	planner.decide(string(name), names[state], reason, fmt.Sprintf("wave=%d", wave.request.Wave), now.Sub(wave.firstSeen))
	vm.state, vm.since = state, now
}

// drive lets as many VMs of a wave have their upkeep as may be away.
func (planner *Planner) drive(now time.Time, wave *wave) {
	away, left := 0, 0
	for _, name := range wave.request.VMs {
		vm := planner.vmOf(wave, name)
		if vm.state != upkeepDone {
			left++
		}
		if vm.state == upkeepClears || vm.state == upkeepBegun {
			away++
		}
	}
	if left == 0 {
		planner.reportWave(wave)
		return
	}
	for _, name := range planner.leastBusy(wave) {
		if away >= max(1, wave.request.MaxUnavailable) {
			break
		}
		planner.moveUpkeep(now, wave, name, wave.vms[name], upkeepClears, "its turn has come")
		away++
	}
	for _, name := range wave.request.VMs {
		if vm := wave.vms[name]; vm.state == upkeepClears {
			planner.clearVM(now, wave, name, vm)
		}
	}
}

// vmOf returns the upkeep of a VM. One that has left the pools needs none.
func (planner *Planner) vmOf(wave *wave, name identifier.VM) *vmUpkeep {
	vm, ok := wave.vms[name]
	if !ok {
		vm = &vmUpkeep{}
		wave.vms[name] = vm
		if planner.upkeep.vms[name].State == messenger.VMInMaintenance {
			vm.state = upkeepBegun
		}
	}
	if _, listed := planner.upkeep.vms[name]; !listed && vm.state == upkeepWaits {
		vm.state = upkeepDone
	}
	return vm
}

// leastBusy returns the VMs of a wave that wait, those with the least work first.
func (planner *Planner) leastBusy(wave *wave) []identifier.VM {
	var names []identifier.VM
	for _, name := range wave.request.VMs {
		if wave.vms[name].state == upkeepWaits && planner.upkeep.vms[name].State == messenger.VMUp {
			names = append(names, name)
		}
	}
	load := func(name identifier.VM) int {
		minion, ok := planner.minions[planner.upkeep.vms[name].Minion]
		if !ok {
			return 0
		}
		return minion.used.MilliCPU + minion.used.Accelerators*acceleratorWeight
	}
	slices.SortStableFunc(names, func(one, other identifier.VM) int { return cmp.Compare(load(one), load(other)) })
	return names
}

// clearVM closes a minion, moves what can move and begins the upkeep when
// nothing runs there any more, or when the wave would be late otherwise.
func (planner *Planner) clearVM(now time.Time, wave *wave, name identifier.VM, vm *vmUpkeep) {
	minion, ok := planner.minions[planner.upkeep.vms[name].Minion]
	if ok {
		minion.closed = true
		if now.Sub(vm.since) > planner.patience(wave) {
			for _, run := range minion.sortedRuns() {
				planner.stop(now, run, "its VM has upkeep")
			}
		} else {
			planner.evacuate(now, minion, "its VM has upkeep")
		}
		if len(minion.runs) > 0 {
			return
		}
	}
	if vm.asked || now.Before(vm.notUntil) {
		return
	}
	vm.asked = true
	planner.emit(messenger.MaintainVM{VM: name, Wave: wave.request.Wave, Token: planner.hold.token})
}

// patience is how long each VM of a wave may take to become empty.
func (planner *Planner) patience(wave *wave) time.Duration {
	rounds := (len(wave.request.VMs) + max(1, wave.request.MaxUnavailable) - 1) / max(1, wave.request.MaxUnavailable)
	share := (wave.request.Duration - upkeepReserve) / time.Duration(max(1, rounds))
	return max(share-planner.bounds.Upkeep-planner.bounds.StopTimeout-listEvery, 0)
}

func (planner *Planner) maintained(now time.Time, event messenger.VMMaintained) {
	wave, ok := planner.upkeep.waves[event.Sent.Wave]
	if !ok || wave.vms[event.Sent.VM] == nil || event.Sent.Token != planner.hold.token {
		return
	}
	vm := wave.vms[event.Sent.VM]
	vm.asked = false
	if event.Err == nil {
		planner.moveUpkeep(now, wave, event.Sent.VM, vm, upkeepBegun, "the platform has begun it")
		return
	}
	planner.emit(messenger.Count{Counter: messenger.Retries, Reason: "maintain-" + event.Err.Code.Name()})
	switch event.Err.Code {
	case classifier.StaleTerm:
		planner.emit(messenger.HolderFenced{Token: planner.hold.token})
		planner.resign()
	case classifier.Infeasible, classifier.UnknownNode:
		planner.moveUpkeep(now, wave, event.Sent.VM, vm, upkeepDone, event.Err.Message)
	default:
		vm.notUntil = now.Add(maintainRetry)
	}
}

func (planner *Planner) reportWave(wave *wave) {
	if wave.reporting || wave.reported {
		return
	}
	wave.reporting = true
	planner.emit(messenger.ReportWave{Wave: wave.request.Wave, Completed: true})
}

func (planner *Planner) reported(event messenger.WaveReported) {
	wave, ok := planner.upkeep.waves[event.Sent.Wave]
	if !ok {
		return
	}
	wave.reporting = false
	if event.Err != nil {
		planner.emit(messenger.Count{Counter: messenger.Retries, Reason: "report-wave-" + event.Err.Code.Name()})
		return
	}
	wave.reported = event.Sent.Completed
	planner.decide(fmt.Sprintf("wave-%d", event.Sent.Wave), "wave-completed", "all VMs have had their upkeep", "", 0)
}

// evacuate stops the runs of a minion that lose little by it: those with
// checkpoints and those that last.
func (planner *Planner) evacuate(now time.Time, minion *minion, reason string) {
	for _, run := range minion.sortedRuns() {
		if run.state == working && (run.step.spec.Checkpoints || run.step.spec.LongRunning) && planner.mayMiss(run) {
			planner.stop(now, run, reason)
		}
	}
}

// mayMiss reports whether one more long-running task of the run's step may be
// away from work.
func (planner *Planner) mayMiss(run *run) bool {
	if !run.step.spec.LongRunning || run.step.spec.MaxUnavailable == 0 {
		return true
	}
	away := 0
	for index := range run.step.tasks {
		other := run.step.tasks[index].run
		if other == nil || other.state != working || other.percent < atWork {
			away++
		}
	}
	return away < run.step.spec.MaxUnavailable
}

// atWork is the percentage at which a long-running task is at work.
const atWork = 100
