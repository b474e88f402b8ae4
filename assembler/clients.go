package assembler

import (
	"context"
	"fmt"

	"corianderroad/classifier"
	"corianderroad/gatekeeper"
	"corianderroad/messenger"
	"corianderroad/platform"
	"corianderroad/shedder"
)

// ClientLimits are what the clients of each listener may use together. The zero value of
// a field stands for its default, which follows from the settings.
type ClientLimits struct {
	// Memory is in bytes, for bodies and decoded jobs of clients.
	Memory               int64
	Connections          int
	ReadinessConnections int
	MetricsConnections   int
}

const (
	// connectionBytes is what a connection may need: the kernel's buffers for both
	// directions, a header and a small body with the server's buffers, and a goroutine.
	connectionBytes = 96 << 10
	// Shares of the machine's memory, in eighths. The rest is for the state of the node
	// and for garbage.
	connectionEighths, bodyEighths, eighths = 3, 1, 8
	// Share of the memory that the flags may give to clients, in quarters.
	maxClientQuarters, quarters = 3, 4
	// reservedDescriptors are kept for files.
	reservedDescriptors = 200
	// Share of the other descriptors, in tenths. The holder needs the rest for minions.
	descriptorTenths, tenths = 4, 10
	// Limits of a machine whose settings name none.
	unknownMemoryMB, unknownDescriptors = 512, 4096

	minClientMemory             = 1 << 20 // bytes
	minConnections              = 8
	defaultReadinessConnections = 32
	defaultMetricsConnections   = 16
)

// Complete returns the limits with defaults for the machine. The error has code
// InvalidSettings.
func (limits ClientLimits) Complete(settings *platform.Settings) (ClientLimits, error) {
	memory, descriptors := machineMemory(settings), settings.Descriptors
	if descriptors == 0 {
		descriptors = unknownDescriptors
	}
	defaultTo(&limits.Memory, max(memory*bodyEighths/eighths, minClientMemory))
	defaultTo(&limits.Connections, int(max(min(memory*connectionEighths/eighths/connectionBytes,
		int64(descriptors-reservedDescriptors)*descriptorTenths/tenths), minConnections)))
	defaultTo(&limits.ReadinessConnections, defaultReadinessConnections)
	defaultTo(&limits.MetricsConnections, defaultMetricsConnections)
	return limits, limits.check(memory, descriptors)
}

func defaultTo[T int | int64](value *T, fallback T) {
	if *value == 0 {
		*value = fallback
	}
}

func (limits ClientLimits) check(memory int64, descriptors int) error {
	if limits.Memory < minClientMemory || limits.Memory > memory/2 {
		return classifier.New(classifier.InvalidSettings, "client-memory: %d bytes, %d to %d are allowed, half of limits.memoryMb", limits.Memory, minClientMemory, memory/2)
	}
	if needed := limits.Memory + int64(limits.Connections)*connectionBytes; needed > memory*maxClientQuarters/quarters {
		return classifier.New(classifier.InvalidSettings, "client-memory and client-connections: %d bytes with %d for each connection, at most three quarters of limits.memoryMb are allowed",
			needed, connectionBytes)
	}
	for _, field := range []struct {
		name  string
		value int
	}{
		{"client-connections", limits.Connections},
		{"readiness-connections", limits.ReadinessConnections},
		{"metrics-connections", limits.MetricsConnections},
	} {
		if most := max(descriptors-reservedDescriptors, minConnections); field.value < minConnections || field.value > most {
			return classifier.New(classifier.InvalidSettings, "%s: %d connections, %d to %d are allowed, limits.maxFds less %d", field.name, field.value, minConnections, most, reservedDescriptors)
		}
	}
	return nil
}

// Names of the listeners in metrics and log lines.
const (
	clientListener    = "clients"
	readinessListener = "readiness"
	metricsListener   = "metrics"
)

// addGatekeepers creates the duties that admit the clients of the listeners.
func (assembler *Assembler) addGatekeepers(limits ClientLimits) {
	newGatekeeper := func(name string, limits shedder.Limits) *gatekeeper.Gatekeeper {
		return gatekeeper.New(name, limits, shedObserver{assembler}, assembler.clock)
	}
	assembler.clients = newGatekeeper(clientListener, shedder.Limits{Memory: limits.Memory, Connections: limits.Connections})
	assembler.healthChecks = newGatekeeper(readinessListener, shedder.Limits{Connections: limits.ReadinessConnections})
	assembler.scrapes = newGatekeeper(metricsListener, shedder.Limits{Connections: limits.MetricsConnections})
	assembler.duties = append(assembler.duties, assembler.clients, assembler.healthChecks, assembler.scrapes)
}

// shedObserver counts the clients that are turned away, and logs when pressure begins
// and ends.
type shedObserver struct {
	assembler *Assembler
}

// ObserveShed implements gatekeeper.Observer.
func (observer shedObserver) ObserveShed(listener string, reason shedder.Reason) {
	observer.assembler.exporter.CountShed(listener, reason.String())
}

// ObservePressure implements gatekeeper.Observer.
func (observer shedObserver) ObservePressure(listener string, change shedder.PressureChanged) {
	outcome := "pressure-ends"
	if change.IsHigh {
		outcome = "pressure-begins"
	}
	observer.assembler.exporter.Count(messenger.Count{Counter: messenger.Transitions, Reason: outcome})
	observer.assembler.decisionLog.logDecision(messenger.Decision{
		Subject: listener, Outcome: outcome, Reason: change.Resource.String(), Detail: fmt.Sprintf("used=%d limit=%d", change.Used, change.Limit),
	})
}

// callerFinder finds the connections that a gatekeeper has admitted.
type callerFinder struct{}

// Caller implements platform.CallerFinder.
func (callerFinder) Caller(ctx context.Context) platform.Caller { return gatekeeper.FromContext(ctx) }
