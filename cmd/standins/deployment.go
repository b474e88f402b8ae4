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
	name            string
	address         netip.AddrPort
	connectionLimit int
	handler         http.Handler
	listener        *host.Listener
}

// deployment holds all stand-ins. One duty owns each state.
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
	deployment := &deployment{
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
	deployment.log = executor.New("log", logserver.NewLog(limits, settings.Seed), time.Now)
	deployment.record = executor.New("record", recorder.New(), time.Now)
	deployment.findings = executor.New("findings", auditor.NewFindings(), time.Now)
	for _, entry := range settings.Entries {
		deployment.vms = append(deployment.vms, vmlister.VM{
			Name: entry.Name, Role: "entry", Address: entry.Address, Region: entry.Region, FailureDomain: entry.FailureDomain,
		})
	}
	for _, group := range settings.Minions {
		deployment.addMinions(group)
	}
	for _, group := range settings.Workers {
		deployment.addWorkers(group)
	}
	deployment.list = executor.New("vm-list", vmlister.NewList(deployment.vms, settings.VMListLag), time.Now)
	deployment.addEndpoint("log", settings.LogService, 0, logserver.New(deployment.log))
	deployment.addEndpoint("vm-list", settings.VMList, 0, vmlister.New(deployment.list))
	deployment.addEndpoint("control", settings.Control, 0, deployment.controlHandler())
	return deployment
}

func (deployment *deployment) addMinions(group loader.Minions) {
	for index := range group.Count {
		name := fmt.Sprintf("%s-%d", group.Prefix, index)
		address := offsetPort(group.Address, index)
		// The seeds differ, so that random faults don't affect all minions at the same time.
		state := minion.NewMinion(group.Slots, deployment.settings.Seed+uint64(address.Port()))
		deployment.minions[name] = executor.New(name, state, time.Now)
		deployment.addEndpoint(name, address, group.Connections, minion.New(name, deployment.minions[name], deployment.record))
		deployment.vms = append(deployment.vms, vmlister.VM{
			Name: name, Role: "minion", Address: address, Region: group.Region,
			FailureDomain: group.FailureDomain, Service: group.Service,
		})
	}
}

func (deployment *deployment) addWorkers(group loader.Workers) {
	tasks := deployment.settings.Tasks
	profile := worker.Profile{Factor: tasks.RunTimeFactor, Stragglers: tasks.Stragglers, StragglerFactor: tasks.StragglerFactor}
	for index := range group.Count {
		name := fmt.Sprintf("%s-%d", group.Rack, index)
		address := offsetPort(group.Address, index)
		state := worker.NewWorker(identifier.Worker(name), group.Accelerators, profile, time.Now())
		deployment.workers[name] = executor.New(name, state, time.Now)
		deployment.addEndpoint(name, address, 0, worker.New(deployment.workers[name], deployment.settings.UsageLag))
		deployment.vms = append(deployment.vms, vmlister.VM{
			Name: name, Role: "worker", Address: address, Region: group.Region,
			FailureDomain: group.FailureDomain, Rack: group.Rack, Accelerators: group.Accelerators,
		})
	}
}

// controlHandler returns the handler of the control port: faults are commands,
// the report and executions are queries.
func (deployment *deployment) controlHandler() http.Handler {
	names := make([]string, 0, len(deployment.vms))
	for _, vm := range deployment.vms {
		names = append(names, vm.Name)
	}
	mux := http.NewServeMux()
	mux.Handle("POST /faults", injector.New(injector.Targets{
		Log: deployment.log, List: deployment.list, Minions: deployment.minions, Workers: deployment.workers, Listeners: deployment.listeners, Names: names,
	}))
	mux.Handle("/", reporter.New(reporter.Sources{
		Log: deployment.log, Minions: deployment.minions, Workers: deployment.workers,
		Record: deployment.record, Findings: deployment.findings, Listeners: deployment.listeners,
	}))
	return mux
}

func (deployment *deployment) addEndpoint(name string, address netip.AddrPort, connectionLimit int, handler http.Handler) {
	deployment.endpoints = append(deployment.endpoints, &endpoint{name: name, address: address, connectionLimit: connectionLimit, handler: handler})
}

// listen opens all listeners before any is served, so that the program ends at
// once if a port is in use.
func (deployment *deployment) listen() error {
	for _, endpoint := range deployment.endpoints {
		listener, err := host.Listen(endpoint.address, endpoint.connectionLimit)
		if err != nil {
			return err
		}
		endpoint.listener = listener
		// The control port is exempt from faults of the listeners, so that it stays usable.
		if endpoint.name != "control" {
			deployment.listeners[endpoint.name] = listener
		}
	}
	return nil
}

// stateDuties returns the duties that own the states.
func (deployment *deployment) stateDuties() []func(context.Context) error {
	duties := []func(context.Context) error{deployment.log.Run, deployment.list.Run, deployment.record.Run, deployment.findings.Run}
	for _, minion := range deployment.minions {
		duties = append(duties, minion.Run)
	}
	for _, worker := range deployment.workers {
		duties = append(duties, worker.Run)
	}
	return duties
}

// run runs all duties until the context ends.
func (deployment *deployment) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, duty := range deployment.stateDuties() {
		group.Go(func() error { return duty(ctx) })
	}
	for _, endpoint := range deployment.endpoints {
		group.Go(func() error { return host.Serve(ctx, endpoint.listener, endpoint.handler) })
	}
	group.Go(func() error {
		return auditor.Watch(ctx, workerRuns(deployment.workers), deployment.settings.Lease, deployment.addFindings)
	})
	return group.Wait()
}

func (deployment *deployment) addFindings(ctx context.Context, violations []auditor.Violation) {
	_ = deployment.findings.Do(ctx, func(_ time.Time, findings *auditor.Findings) { findings.Add(violations) })
}

// workerRuns implements auditor.Source.
type workerRuns map[string]*executor.Executor[*worker.Worker]

// Runs implements auditor.Source.
func (workers workerRuns) Runs(ctx context.Context) []auditor.Run {
	var runs []auditor.Run
	for _, source := range workers {
		var current []auditor.Run
		if err := source.Do(ctx, func(now time.Time, worker *worker.Worker) { current = worker.Runs(now) }); err == nil {
			runs = append(runs, current...)
		}
	}
	return runs
}

func offsetPort(address netip.AddrPort, index int) netip.AddrPort {
	return netip.AddrPortFrom(address.Addr(), address.Port()+uint16(index))
}
