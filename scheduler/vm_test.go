package scheduler_test

import (
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// vm is a worker that follows docs/WORKER-PROTOCOL.md.
type vm struct {
	world        *world
	name         identifier.Worker
	accelerators int
	up, broken   bool
	boot         time.Time
	fence        identifier.Term
	tasks        []*task
	tombs        map[messenger.Gang]time.Time
}

// task is a task on a vm.
type task struct {
	messenger.Task
	began  time.Time
	from   time.Duration
	expiry time.Time
}

func (vm *vm) find(gang messenger.Gang) *task {
	for _, task := range vm.tasks {
		if task.Gang == gang {
			return task
		}
	}
	return nil
}

func (vm *vm) handle(ask messenger.CallWorker) messenger.WorkerAnswered {
	if ask.Term < vm.fence {
		refused := ask.Refusal(classifier.New(classifier.StaleTerm, "term %d is below %d", ask.Term, vm.fence))
		refused.HighestTerm = vm.fence
		return refused
	}
	vm.fence = ask.Term
	if code := vm.apply(ask); code != classifier.OK {
		refused := ask.Refusal(classifier.New(code, "refused"))
		refused.HighestTerm = vm.fence
		return refused
	}
	answer := ask.Refusal(nil)
	answer.Accelerators, answer.HighestTerm, answer.WorkerClock = vm.accelerators, vm.fence, vm.world.now.Sub(vm.boot)
	for _, task := range vm.tasks {
		answer.Tasks = append(answer.Tasks, task.Task)
		if ask.Kind != messenger.ReadState {
			answer.Tasks[len(answer.Tasks)-1].Members = nil
		}
	}
	return answer
}

func (vm *vm) apply(ask messenger.CallWorker) classifier.Code {
	now := vm.world.now
	known := vm.find(ask.Gang)
	switch ask.Kind {
	case messenger.ReserveTask:
		return vm.reserve(ask, known)
	case messenger.StartTask:
		return vm.start(ask, known)
	case messenger.RenewTasks:
		for _, gang := range ask.Gangs {
			expiry := vm.boot.Add(ask.WorkerClock + ask.Lease)
			if task := vm.find(gang); task != nil && task.State == messenger.Running && expiry.After(task.expiry) && ask.WorkerClock <= now.Sub(vm.boot) {
				task.expiry = expiry
			}
		}
	case messenger.CheckpointTask:
		if known != nil && known.State == messenger.Running {
			known.Progress = known.from + now.Sub(known.began)
		}
	case messenger.ReleaseTask:
		if known != nil {
			vm.end(known, 0)
		}
		if vm.tombs == nil {
			vm.tombs = make(map[messenger.Gang]time.Time)
		}
		vm.tombs[ask.Gang] = now.Add(time.Minute)
	}
	return classifier.OK
}

func (vm *vm) reserve(ask messenger.CallWorker, known *task) classifier.Code {
	if known != nil {
		return classifier.OK
	}
	if vm.world.now.Before(vm.tombs[ask.Gang]) {
		return classifier.LeaseExpired
	}
	used := ask.Accelerators
	for _, task := range vm.tasks {
		if task.State != messenger.Expired {
			used += task.Accelerators
		}
	}
	if used > vm.accelerators {
		return classifier.NoCapacity
	}
	reserved := &task{Task: messenger.Task{Gang: ask.Gang, State: messenger.Reserved, Accelerators: ask.Accelerators, Members: ask.Members}}
	vm.tasks = append(vm.tasks, reserved)
	vm.world.after(ask.Lease, func() {
		if reserved.State == messenger.Reserved && vm.find(ask.Gang) == reserved {
			vm.end(reserved, 0)
		}
	})
	return classifier.OK
}

func (vm *vm) start(ask messenger.CallWorker, known *task) classifier.Code {
	world := vm.world
	expiry := vm.boot.Add(ask.WorkerClock + ask.Lease)
	if known == nil || (known.State == messenger.Reserved && (!world.now.Before(expiry) || ask.WorkerClock > world.now.Sub(vm.boot))) {
		return classifier.LeaseExpired
	}
	if known.State != messenger.Reserved {
		return classifier.OK
	}
	known.State, known.Progress, known.began, known.from, known.expiry = messenger.Running, ask.Progress, world.now, ask.Progress, expiry
	world.begin(known, vm.name)
	vm.watch(known)
	actual := world.tasks[ask.Gang.Job]
	// Some members take longer than others.
	left, state := max(0, actual.runTime-ask.Progress)+world.delay(20*time.Second), messenger.Completed
	if vm.broken || actual.fails {
		left, state = time.Second, messenger.Failed
	}
	world.after(left, func() {
		if vm.up && vm.find(ask.Gang) == known && known.State == messenger.Running {
			known.Progress = known.from + left
			vm.end(known, state)
		}
	})
	return classifier.OK
}

// watch stops the task when its lease ends.
func (vm *vm) watch(task *task) {
	vm.world.after(task.expiry.Sub(vm.world.now), func() {
		if vm.find(task.Gang) != task || task.State != messenger.Running {
			return
		}
		if task.expiry.After(vm.world.now) {
			vm.watch(task)
			return
		}
		vm.end(task, messenger.Expired)
	})
}

// end moves a task to an ended state, or forgets it if the state is zero.
func (vm *vm) end(ended *task, state messenger.TaskState) {
	if ended.State == messenger.Running {
		vm.world.stop(ended, vm.name, state == messenger.Completed)
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

func (vm *vm) restart() { vm.up, vm.boot = true, vm.world.now }

// begin and stop keep the books of running gangs: no part may run longer than
// one lease without the whole gang.
func (world *world) begin(task *task, worker identifier.Worker) {
	known, ok := world.gangs[task.Gang]
	if !ok {
		known = &observedGang{size: len(task.Members), running: make(map[identifier.Worker]bool), done: make(map[identifier.Worker]bool)}
		world.gangs[task.Gang] = known
	}
	known.running[worker] = true
	for gang, other := range world.gangs {
		// Only a second holder can start a job whose earlier gang it cannot see.
		if gang.Job == task.Gang.Job && gang != task.Gang && len(other.running) > 0 && len(world.nodes) == 1 {
			world.t.Fatalf("gang %v starts while %v runs", task.Gang, gang)
		}
	}
	if ended, ok := world.ended[task.Gang.Job]; ok && world.now.Sub(ended) > world.lease {
		world.t.Fatalf("job %s starts %s after its outcome", task.Gang.Job, world.now.Sub(ended))
	}
	world.settle(task.Gang, known)
}

func (world *world) stop(task *task, worker identifier.Worker, completed bool) {
	known := world.gangs[task.Gang]
	delete(known.running, worker)
	if completed {
		known.done[worker] = true
	}
	world.settle(task.Gang, known)
}

func (world *world) settle(gang messenger.Gang, known *observedGang) {
	whole := len(known.running)+len(known.done) == known.size
	if whole {
		if _, ok := world.started[gang.Job]; !ok {
			world.started[gang.Job] = world.now
		}
	}
	if !known.partial.IsZero() && world.now.Sub(known.partial) > world.lease {
		world.t.Fatalf("part of gang %v ran %s without the whole", gang, world.now.Sub(known.partial))
	}
	switch {
	case whole || len(known.running) == 0:
		known.partial = time.Time{}
	case known.partial.IsZero():
		known.partial = world.now
	}
}
