package router

import (
	"time"

	"corianderroad/classifier"
	"corianderroad/commander"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// catalogue is the configuration in force, indexed for requests.
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
	indexed := catalogue{
		loaded:   true,
		services: map[identifier.Service]service{},
		weights:  map[identifier.Workspace]int{},
	}
	for _, organisation := range configuration.Organisations {
		for _, spec := range organisation.Services {
			indexed.services[spec.Service] = newService(spec)
		}
		for _, spec := range organisation.Workspaces {
			indexed.weights[spec.Workspace] = max(1, spec.Weight)
		}
	}
	return indexed
}

func newService(spec messenger.ServiceSpec) service {
	indexed := service{
		slots: spec.Slots, longSlots: spec.LongSlots, shortBelow: spec.ShortBelow,
		methods: make(map[identifier.Method]messenger.MethodSpec, len(spec.Methods)),
	}
	if indexed.slots <= 0 {
		indexed.slots = defaultSlots
	}
	if indexed.longSlots <= 0 || indexed.longSlots > indexed.slots {
		indexed.longSlots = max(1, indexed.slots*defaultLongSlots/defaultSlots)
	}
	if indexed.shortBelow <= 0 {
		indexed.shortBelow = defaultShortBelow
	}
	for _, method := range spec.Methods {
		indexed.methods[method.Method] = method
	}
	return indexed
}

// check returns the method of a call, or the refusal of a call to a service or
// method that the configuration in force does not have.
func (catalogue *catalogue) check(call commander.Call) (messenger.MethodSpec, *classifier.Error) {
	if !catalogue.loaded {
		return messenger.MethodSpec{}, classifier.New(classifier.NotReady, "no configuration was read yet").WithRetryAfter(time.Second)
	}
	named, ok := catalogue.services[call.Service]
	if !ok {
		return messenger.MethodSpec{}, classifier.New(classifier.UnknownService, "no service %q", call.Service)
	}
	method, ok := named.methods[call.Method]
	if !ok {
		return messenger.MethodSpec{}, classifier.New(classifier.UnknownMethod, "service %q has no method %q", call.Service, call.Method)
	}
	return method, nil
}

// service returns the limits of a service, defaults if it is not configured.
func (catalogue *catalogue) service(name identifier.Service) service {
	if named, ok := catalogue.services[name]; ok {
		return named
	}
	return newService(messenger.ServiceSpec{Service: name})
}

func (catalogue *catalogue) weight(workspace identifier.Workspace) int {
	return max(1, catalogue.weights[workspace])
}

// runTime returns the declared run time of a call, that of the caller first.
func (catalogue *catalogue) runTime(call commander.Call) time.Duration {
	if call.RunTime > 0 {
		return call.RunTime
	}
	return catalogue.services[call.Service].methods[call.Method].RunTime
}
