package scheduler_test

import (
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// vm is a fake worker that implements docs/WORKER-PROTOCOL.md.
type vm struct {
	simulation   *simulation
	name         identifier.Worker
	accelerators int
	up, broken   bool
	bootedAt     time.Time
	highestTerm  identifier.Term
	tasks        []*task
	tombstones   map[messenger.Gang]time.Time
}

// task is a task on a vm.
type task struct {
	messenger.Task
	startedAt     time.Time
	startProgress time.Duration
	expiry        time.Time
}

func (vm *vm) find(gang messenger.Gang) *task {
	for _, task := range vm.tasks {
		if task.Gang == gang {
			return task
		}
	}
	return nil
}

func (vm *vm) handle(request messenger.CallWorker) messenger.WorkerAnswered {
	if request.Term < vm.highestTerm {
		refused := request.Refusal(classifier.New(classifier.StaleTerm, "term %d is below %d", request.Term, vm.highestTerm))
		refused.HighestTerm = vm.highestTerm
		return refused
	}
	vm.highestTerm = request.Term
	if code := vm.apply(request); code != classifier.OK {
		refused := request.Refusal(classifier.New(code, "refused"))
		refused.HighestTerm = vm.highestTerm
		return refused
	}
	answer := request.Refusal(nil)
	answer.Accelerators, answer.HighestTerm, answer.WorkerClock = vm.accelerators, vm.highestTerm, vm.simulation.now.Sub(vm.bootedAt)
	for _, task := range vm.tasks {
		answer.Tasks = append(answer.Tasks, task.Task)
		if request.Kind != messenger.ReadState {
			answer.Tasks[len(answer.Tasks)-1].Members = nil
		}
	}
	return answer
}

func (vm *vm) apply(request messenger.CallWorker) classifier.Code {
	now := vm.simulation.now
	existing := vm.find(request.Gang)
	switch request.Kind {
	case messenger.ReserveTask:
		return vm.reserve(request, existing)
	case messenger.StartTask:
		return vm.start(request, existing)
	case messenger.RenewTasks:
		for _, gang := range request.Gangs {
			expiry := vm.bootedAt.Add(request.WorkerClock + request.Lease)
			if task := vm.find(gang); task != nil && task.State == messenger.Running && expiry.After(task.expiry) && request.WorkerClock <= now.Sub(vm.bootedAt) {
				task.expiry = expiry
			}
		}
	case messenger.CheckpointTask:
		if existing != nil && existing.State == messenger.Running {
			existing.Progress = existing.startProgress + now.Sub(existing.startedAt)
		}
	case messenger.ReleaseTask:
		if existing != nil {
			vm.end(existing, 0)
		}
		if vm.tombstones == nil {
			vm.tombstones = make(map[messenger.Gang]time.Time)
		}
		vm.tombstones[request.Gang] = now.Add(time.Minute)
	}
	return classifier.OK
}

func (vm *vm) reserve(request messenger.CallWorker, existing *task) classifier.Code {
	if existing != nil {
		return classifier.OK
	}
	if vm.simulation.now.Before(vm.tombstones[request.Gang]) {
		return classifier.LeaseExpired
	}
	used := request.Accelerators
	for _, task := range vm.tasks {
		if task.State != messenger.Expired {
			used += task.Accelerators
		}
	}
	if used > vm.accelerators {
		return classifier.NoCapacity
	}
	reserved := &task{Task: messenger.Task{Gang: request.Gang, State: messenger.Reserved, Accelerators: request.Accelerators, Members: request.Members}}
	vm.tasks = append(vm.tasks, reserved)
	vm.simulation.after(request.Lease, func() {
		if reserved.State == messenger.Reserved && vm.find(request.Gang) == reserved {
			vm.end(reserved, 0)
		}
	})
	return classifier.OK
}

func (vm *vm) start(request messenger.CallWorker, existing *task) classifier.Code {
	simulation := vm.simulation
	expiry := vm.bootedAt.Add(request.WorkerClock + request.Lease)
	if existing == nil || (existing.State == messenger.Reserved && (!simulation.now.Before(expiry) || request.WorkerClock > simulation.now.Sub(vm.bootedAt))) {
		return classifier.LeaseExpired
	}
	if existing.State != messenger.Reserved {
		return classifier.OK
	}
	existing.State, existing.Progress, existing.startedAt, existing.startProgress, existing.expiry = messenger.Running, request.Progress, simulation.now, request.Progress, expiry
	simulation.recordTaskStart(existing, vm.name)
	vm.scheduleExpiry(existing)
	actual := simulation.behaviours[request.Gang.Job]
	// The members of a gang end at different times.
	if actual.crashesWorkers {
		simulation.after(crashDelay, vm.crash)
		simulation.after(crashDelay+crashDowntime, vm.restart)
	}
	remaining, state := max(0, actual.runTime-request.Progress)+simulation.delay(20*time.Second), messenger.Completed
	if vm.broken || actual.fails {
		remaining, state = time.Second, messenger.Failed
	}
	simulation.after(remaining, func() {
		if vm.up && vm.find(request.Gang) == existing && existing.State == messenger.Running {
			existing.Progress = existing.startProgress + remaining
			vm.end(existing, state)
		}
	})
	return classifier.OK
}

// scheduleExpiry ends the task when its lease expires.
func (vm *vm) scheduleExpiry(task *task) {
	vm.simulation.after(task.expiry.Sub(vm.simulation.now), func() {
		if vm.find(task.Gang) != task || task.State != messenger.Running {
			return
		}
		if task.expiry.After(vm.simulation.now) {
			vm.scheduleExpiry(task)
			return
		}
		vm.end(task, messenger.Expired)
	})
}

// end sets the state of an ended task, or removes the task if the state is zero.
func (vm *vm) end(ended *task, state messenger.TaskState) {
	if ended.State == messenger.Running {
		vm.simulation.recordTaskEnd(ended, vm.name, state == messenger.Completed)
	}
	ended.State = state
	if state == 0 {
		kept := vm.tasks[:0]
		for _, task := range vm.tasks {
			if task != ended {
				kept = append(kept, task)
			}
		}
		vm.tasks = kept
	}
}

// crash ends the vm's process and all tasks.
func (vm *vm) crash() {
	for len(vm.tasks) > 0 {
		vm.end(vm.tasks[0], 0)
	}
	vm.up = false
}

func (vm *vm) restart() { vm.up, vm.bootedAt = true, vm.simulation.now }

// recordTaskStart and recordTaskEnd track the running gangs. A part of a gang may
// run for at most one lease while other members do not run.
func (simulation *simulation) recordTaskStart(task *task, worker identifier.Worker) {
	observed, ok := simulation.gangs[task.Gang]
	if !ok {
		observed = &observedGang{size: len(task.Members), running: make(map[identifier.Worker]bool), done: make(map[identifier.Worker]bool)}
		simulation.gangs[task.Gang] = observed
	}
	observed.running[worker] = true
	for gang, other := range simulation.gangs {
		// An earlier gang must have ended, also if its workers did not answer a second
		// holder or are not in its VM list.
		if gang.Job == task.Gang.Job && gang != task.Gang && len(other.running) > 0 {
			simulation.t.Fatalf("gang %v starts while gang %v of the same job runs", task.Gang, gang)
		}
	}
	if ended, ok := simulation.ended[task.Gang.Job]; ok && simulation.now.Sub(ended) > simulation.lease {
		simulation.t.Fatalf("job %s starts %s after its outcome", task.Gang.Job, simulation.now.Sub(ended))
	}
	simulation.checkGang(task.Gang, observed)
}

func (simulation *simulation) recordTaskEnd(task *task, worker identifier.Worker, completed bool) {
	observed := simulation.gangs[task.Gang]
	delete(observed.running, worker)
	if completed {
		observed.done[worker] = true
	}
	simulation.checkGang(task.Gang, observed)
}

func (simulation *simulation) checkGang(gang messenger.Gang, observed *observedGang) {
	complete := len(observed.running)+len(observed.done) == observed.size
	if complete {
		if _, ok := simulation.started[gang.Job]; !ok {
			simulation.started[gang.Job] = simulation.now
		}
	}
	if !observed.partialSince.IsZero() && simulation.now.Sub(observed.partialSince) > simulation.lease {
		simulation.t.Fatalf("a part of gang %v ran for %s without the other members", gang, simulation.now.Sub(observed.partialSince))
	}
	switch {
	case complete || len(observed.running) == 0:
		observed.partialSince = time.Time{}
	case observed.partialSince.IsZero():
		observed.partialSince = simulation.now
	}
}
