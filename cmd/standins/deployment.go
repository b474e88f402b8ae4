package main

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"corianderroad/cmd/standins/auditor"
	"corianderroad/cmd/standins/executor"
	"corianderroad/cmd/standins/host"
	"corianderroad/cmd/standins/injector"
	"corianderroad/cmd/standins/loader"
	"corianderroad/cmd/standins/logserver"
	"corianderroad/cmd/standins/minion"
	"corianderroad/cmd/standins/recorder"
	"corianderroad/cmd/standins/reporter"
	"corianderroad/cmd/standins/vmlister"
	"corianderroad/cmd/standins/worker"
	"corianderroad/identifier"
)

// endpoint is one address with its handler.
type endpoint struct {
	name     string
	address  netip.AddrPort
	limit    int
	handler  http.Handler
	listener *host.Listener
}

// deployment holds every stand-in. Each state has its own duty.
type deployment struct {
	settings  loader.Settings
	log       *executor.Executor[*logserver.Log]
	list      *executor.Executor[*vmlister.List]
	record    *executor.Executor[*recorder.Record]
	findings  *executor.Executor[*auditor.Findings]
	minions   map[string]*executor.Executor[*minion.Minion]
	workers   map[string]*executor.Executor[*worker.Worker]
	endpoints []*endpoint
	listeners map[string]*host.Listener
	vms       []vmlister.VM
}

func newDeployment(settings loader.Settings) *deployment {
	built := &deployment{
		settings:  settings,
		minions:   make(map[string]*executor.Executor[*minion.Minion]),
		workers:   make(map[string]*executor.Executor[*worker.Worker]),
		listeners: make(map[string]*host.Listener),
	}
	limits := logserver.Limits{
		AppendsPerSecond: settings.Log.AppendsPerSecond,
		Retention:        settings.Log.Retention,
		RetainedAppends:  settings.Log.RetainedAppends,
	}
	built.log = executor.New("log", logserver.NewLog(limits, settings.Seed), time.Now)
	built.record = executor.New("record", recorder.New(), time.Now)
	built.findings = executor.New("findings", auditor.NewFindings(), time.Now)
	for _, entry := range settings.Entries {
		built.vms = append(built.vms, vmlister.VM{
			Name: entry.Name, Role: "entry", Address: entry.Address, Region: entry.Region, FailureDomain: entry.FailureDomain,
		})
	}
	for _, group := range settings.Minions {
		built.addMinions(group)
	}
	for _, group := range settings.Workers {
		built.addWorkers(group)
	}
	built.list = executor.New("vm-list", vmlister.NewList(built.vms, settings.VMListLag), time.Now)
	built.serve("log", settings.LogService, 0, logserver.New(built.log))
	built.serve("vm-list", settings.VMList, 0, vmlister.New(built.list))
	built.serve("control", settings.Control, 0, built.control())
	return built
}

func (built *deployment) addMinions(group loader.Minions) {
	for index := range group.Count {
		name := fmt.Sprintf("%s-%d", group.Prefix, index)
		address := offsetPort(group.Address, index)
		// The seeds differ, so that faults don't strike all minions at once.
		state := minion.NewMinion(group.Slots, built.settings.Seed+uint64(address.Port()))
		built.minions[name] = executor.New(name, state, time.Now)
		built.serve(name, address, group.Connections, minion.New(name, built.minions[name], built.record))
		built.vms = append(built.vms, vmlister.VM{
			Name: name, Role: "minion", Address: address, Region: group.Region,
			FailureDomain: group.FailureDomain, Service: group.Service,
		})
	}
}

func (built *deployment) addWorkers(group loader.Workers) {
	tasks := built.settings.Tasks
	profile := worker.Profile{Factor: tasks.RunTimeFactor, Stragglers: tasks.Stragglers, StragglerFactor: tasks.StragglerFactor}
	for index := range group.Count {
		name := fmt.Sprintf("%s-%d", group.Rack, index)
		address := offsetPort(group.Address, index)
		state := worker.NewWorker(identifier.Worker(name), group.Accelerators, profile, time.Now())
		built.workers[name] = executor.New(name, state, time.Now)
		built.serve(name, address, 0, worker.New(built.workers[name], built.settings.UsageLag))
		built.vms = append(built.vms, vmlister.VM{
			Name: name, Role: "worker", Address: address, Region: group.Region,
			FailureDomain: group.FailureDomain, Rack: group.Rack, Accelerators: group.Accelerators,
		})
	}
}

// control returns the handler of the control port: faults are commands, the
// report and executions are queries.
func (built *deployment) control() http.Handler {
	names := make([]string, 0, len(built.vms))
	for _, vm := range built.vms {
		names = append(names, vm.Name)
	}
	mux := http.NewServeMux()
	mux.Handle("POST /faults", injector.New(injector.Targets{
		Log: built.log, List: built.list, Minions: built.minions, Workers: built.workers, Listeners: built.listeners, Names: names,
	}))
	mux.Handle("/", reporter.New(reporter.Sources{
		Log: built.log, Minions: built.minions, Workers: built.workers,
		Record: built.record, Findings: built.findings, Listeners: built.listeners,
	}))
	return mux
}

func (built *deployment) serve(name string, address netip.AddrPort, limit int, handler http.Handler) {
	built.endpoints = append(built.endpoints, &endpoint{name: name, address: address, limit: limit, handler: handler})
}

// listen opens all listeners, so that a port in use ends the program at once.
func (built *deployment) listen() error {
	for _, endpoint := range built.endpoints {
		listener, err := host.Listen(endpoint.address, endpoint.limit)
		if err != nil {
			return err
		}
		endpoint.listener = listener
		// The control port stays usable when all connections go silent.
		if endpoint.name != "control" {
			built.listeners[endpoint.name] = listener
		}
	}
	return nil
}

// states returns the duties that own the states.
func (built *deployment) states() []func(context.Context) error {
	duties := []func(context.Context) error{built.log.Run, built.list.Run, built.record.Run, built.findings.Run}
	for _, owner := range built.minions {
		duties = append(duties, owner.Run)
	}
	for _, owner := range built.workers {
		duties = append(duties, owner.Run)
	}
	return duties
}

// run runs all duties until the context ends.
func (built *deployment) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, duty := range built.states() {
		group.Go(func() error { return duty(ctx) })
	}
	for _, endpoint := range built.endpoints {
		group.Go(func() error { return host.Serve(ctx, endpoint.listener, endpoint.handler) })
	}
	group.Go(func() error {
		return auditor.Watch(ctx, workerRuns(built.workers), built.settings.Lease, built.report)
	})
	return group.Wait()
}

func (built *deployment) report(ctx context.Context, parts []auditor.Part) {
	_ = built.findings.Do(ctx, func(_ time.Time, findings *auditor.Findings) { findings.Add(parts) })
}

// workerRuns implements auditor.Source.
type workerRuns map[string]*executor.Executor[*worker.Worker]

// Runs implements auditor.Source.
func (workers workerRuns) Runs(ctx context.Context) []auditor.Run {
	var runs []auditor.Run
	for _, source := range workers {
		var read []auditor.Run
		if err := source.Do(ctx, func(now time.Time, worker *worker.Worker) { read = worker.Runs(now) }); err == nil {
			runs = append(runs, read...)
		}
	}
	return runs
}

func offsetPort(address netip.AddrPort, index int) netip.AddrPort {
	return netip.AddrPortFrom(address.Addr(), address.Port()+uint16(index))
}
