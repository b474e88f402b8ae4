package scheduler_test

import (
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// vm is a fake worker that implements docs/WORKER-PROTOCOL.md.
type vm struct {
	world        *world
	name         identifier.Worker
	accelerators int
	up, broken   bool
	bootedAt     time.Time
	fence        identifier.Term
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
	if request.Term < vm.fence {
		refused := request.Refusal(classifier.New(classifier.StaleTerm, "term %d is below %d", request.Term, vm.fence))
		refused.HighestTerm = vm.fence
		return refused
	}
	vm.fence = request.Term
	if code := vm.apply(request); code != classifier.OK {
		refused := request.Refusal(classifier.New(code, "refused"))
		refused.HighestTerm = vm.fence
		return refused
	}
	answer := request.Refusal(nil)
	answer.Accelerators, answer.HighestTerm, answer.WorkerClock = vm.accelerators, vm.fence, vm.world.now.Sub(vm.bootedAt)
	for _, task := range vm.tasks {
		answer.Tasks = append(answer.Tasks, task.Task)
		if request.Kind != messenger.ReadState {
			answer.Tasks[len(answer.Tasks)-1].Members = nil
		}
	}
	return answer
}

func (vm *vm) apply(request messenger.CallWorker) classifier.Code {
	now := vm.world.now
	known := vm.find(request.Gang)
	switch request.Kind {
	case messenger.ReserveTask:
		return vm.reserve(request, known)
	case messenger.StartTask:
		return vm.start(request, known)
	case messenger.RenewTasks:
		for _, gang := range request.Gangs {
			expiry := vm.bootedAt.Add(request.WorkerClock + request.Lease)
			if task := vm.find(gang); task != nil && task.State == messenger.Running && expiry.After(task.expiry) && request.WorkerClock <= now.Sub(vm.bootedAt) {
				task.expiry = expiry
			}
		}
	case messenger.CheckpointTask:
		if known != nil && known.State == messenger.Running {
			known.Progress = known.startProgress + now.Sub(known.startedAt)
		}
	case messenger.ReleaseTask:
		if known != nil {
			vm.end(known, 0)
		}
		if vm.tombstones == nil {
			vm.tombstones = make(map[messenger.Gang]time.Time)
		}
		vm.tombstones[request.Gang] = now.Add(time.Minute)
	}
	return classifier.OK
}

func (vm *vm) reserve(request messenger.CallWorker, known *task) classifier.Code {
	if known != nil {
		return classifier.OK
	}
	if vm.world.now.Before(vm.tombstones[request.Gang]) {
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
	vm.world.after(request.Lease, func() {
		if reserved.State == messenger.Reserved && vm.find(request.Gang) == reserved {
			vm.end(reserved, 0)
		}
	})
	return classifier.OK
}

func (vm *vm) start(request messenger.CallWorker, known *task) classifier.Code {
	world := vm.world
	expiry := vm.bootedAt.Add(request.WorkerClock + request.Lease)
	if known == nil || (known.State == messenger.Reserved && (!world.now.Before(expiry) || request.WorkerClock > world.now.Sub(vm.bootedAt))) {
		return classifier.LeaseExpired
	}
	if known.State != messenger.Reserved {
		return classifier.OK
	}
	known.State, known.Progress, known.startedAt, known.startProgress, known.expiry = messenger.Running, request.Progress, world.now, request.Progress, expiry
	world.recordTaskStart(known, vm.name)
	vm.scheduleExpiry(known)
	actual := world.behaviours[request.Gang.Job]
	// The members of a gang end at different times.
	remaining, state := max(0, actual.runTime-request.Progress)+world.delay(20*time.Second), messenger.Completed
	if vm.broken || actual.fails {
		remaining, state = time.Second, messenger.Failed
	}
	world.after(remaining, func() {
		if vm.up && vm.find(request.Gang) == known && known.State == messenger.Running {
			known.Progress = known.startProgress + remaining
			vm.end(known, state)
		}
	})
	return classifier.OK
}

// scheduleExpiry ends the task when its lease expires.
func (vm *vm) scheduleExpiry(task *task) {
	vm.world.after(task.expiry.Sub(vm.world.now), func() {
		if vm.find(task.Gang) != task || task.State != messenger.Running {
			return
		}
		if task.expiry.After(vm.world.now) {
			vm.scheduleExpiry(task)
			return
		}
		vm.end(task, messenger.Expired)
	})
}

// end sets the state of an ended task, or removes the task if the state is zero.
func (vm *vm) end(ended *task, state messenger.TaskState) {
	if ended.State == messenger.Running {
		vm.world.recordTaskEnd(ended, vm.name, state == messenger.Completed)
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

func (vm *vm) restart() { vm.up, vm.bootedAt = true, vm.world.now }

// recordTaskStart and recordTaskEnd track the running gangs. A part of a gang may
// run for at most one lease while other members do not run.
func (world *world) recordTaskStart(task *task, worker identifier.Worker) {
	known, ok := world.gangs[task.Gang]
	if !ok {
		known = &observedGang{size: len(task.Members), running: make(map[identifier.Worker]bool), done: make(map[identifier.Worker]bool)}
		world.gangs[task.Gang] = known
	}
	known.running[worker] = true
	for gang, other := range world.gangs {
		// With one node, an earlier gang must have ended. A second holder may not
		// know of the gang.
		if gang.Job == task.Gang.Job && gang != task.Gang && len(other.running) > 0 && len(world.nodes) == 1 {
			world.t.Fatalf("gang %v starts while gang %v of the same job runs", task.Gang, gang)
		}
	}
	if ended, ok := world.ended[task.Gang.Job]; ok && world.now.Sub(ended) > world.lease {
		world.t.Fatalf("job %s starts %s after its outcome", task.Gang.Job, world.now.Sub(ended))
	}
	world.checkGang(task.Gang, known)
}

func (world *world) recordTaskEnd(task *task, worker identifier.Worker, completed bool) {
	known := world.gangs[task.Gang]
	delete(known.running, worker)
	if completed {
		known.done[worker] = true
	}
	world.checkGang(task.Gang, known)
}

func (world *world) checkGang(gang messenger.Gang, known *observedGang) {
	complete := len(known.running)+len(known.done) == known.size
	if complete {
		if _, ok := world.started[gang.Job]; !ok {
			world.started[gang.Job] = world.now
		}
	}
	if !known.partialSince.IsZero() && world.now.Sub(known.partialSince) > world.lease {
		world.t.Fatalf("a part of gang %v ran for %s without the other members", gang, world.now.Sub(known.partialSince))
	}
	switch {
	case complete || len(known.running) == 0:
		known.partialSince = time.Time{}
	case known.partialSince.IsZero():
		known.partialSince = world.now
	}
}
