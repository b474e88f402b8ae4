package router

import (
	"time"

	"corianderroad/classifier"
	"corianderroad/commander"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// catalogue is the configuration in force, indexed by service and workspace.
type catalogue struct {
	loaded   bool
	services map[identifier.Service]service
	weights  map[identifier.Workspace]int
}

type service struct {
	slots, longSlots int
	shortBelow       time.Duration
	methods          map[identifier.Method]messenger.MethodSpec
}

func newCatalogue(configuration *messenger.Configuration) catalogue {
	catalogue := catalogue{
		loaded:   true,
		services: map[identifier.Service]service{},
		weights:  map[identifier.Workspace]int{},
	}
	for _, organisation := range configuration.Organisations {
		for _, spec := range organisation.Services {
			catalogue.services[spec.Service] = newService(spec)
		}
		for _, spec := range organisation.Workspaces {
			catalogue.weights[spec.Workspace] = max(1, spec.Weight)
		}
	}
	return catalogue
}

func newService(spec messenger.ServiceSpec) service {
	service := service{
		slots: spec.Slots, longSlots: spec.LongSlots, shortBelow: spec.ShortBelow,
		methods: make(map[identifier.Method]messenger.MethodSpec, len(spec.Methods)),
	}
	if service.slots <= 0 {
		service.slots = defaultSlots
	}
	if service.longSlots <= 0 || service.longSlots > service.slots {
		service.longSlots = max(1, service.slots*defaultLongSlots/defaultSlots)
	}
	if service.shortBelow <= 0 {
		service.shortBelow = defaultShortBelow
	}
	for _, method := range spec.Methods {
		service.methods[method.Method] = method
	}
	return service
}

// findMethod returns the method of a call, or a refusal if the configuration in
// force does not define its service or method.
func (catalogue *catalogue) findMethod(call commander.Call) (messenger.MethodSpec, *classifier.Error) {
	if !catalogue.loaded {
		return messenger.MethodSpec{}, classifier.New(classifier.NotReady, "the node has not read a configuration yet").WithRetryAfter(time.Second)
	}
	service, ok := catalogue.services[call.Service]
	if !ok {
		return messenger.MethodSpec{}, classifier.New(classifier.UnknownService, "service %q does not exist", call.Service)
	}
	method, ok := service.methods[call.Method]
	if !ok {
		return messenger.MethodSpec{}, classifier.New(classifier.UnknownMethod, "service %q has no method %q", call.Service, call.Method)
	}
	return method, nil
}

// service returns the limits of a service, or the defaults if it is not configured.
func (catalogue *catalogue) service(name identifier.Service) service {
	if service, ok := catalogue.services[name]; ok {
		return service
	}
	return newService(messenger.ServiceSpec{Service: name})
}

func (catalogue *catalogue) weight(workspace identifier.Workspace) int {
	return max(1, catalogue.weights[workspace])
}

// runTime returns the run time that the caller declared, or else the one that is
// configured for the method.
func (catalogue *catalogue) runTime(call commander.Call) time.Duration {
	if call.RunTime > 0 {
		return call.RunTime
	}
	return catalogue.services[call.Service].methods[call.Method].RunTime
}
