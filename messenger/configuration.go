package messenger

import (
	"time"

	"corianderroad/commander"
	"corianderroad/identifier"
)

// Configuration is the parsed service texts of all organisations. It is immutable.
type Configuration struct {
	// Version is the highest offset that is applied to the configuration.
	Version       identifier.Offset
	Organisations []OrganisationText
}

// OrganisationText is the parsed service text of one organisation.
type OrganisationText struct {
	Organisation identifier.Organisation
	Version      identifier.Offset
	// OperatorDigest is the SHA-256 of the operators' token.
	OperatorDigest [32]byte
	Services       []ServiceSpec
	Workspaces     []WorkspaceSpec
}

// ServiceSpec describes a service and what it depends on.
type ServiceSpec struct {
	Service   identifier.Service
	DependsOn []identifier.Service
	Methods   []MethodSpec
	// Slots is the number of requests that a minion runs at the same time.
	Slots int
	// Connections is the number of connections that a minion accepts.
	Connections int
	// LongSlots is the number of slots that long requests may occupy.
	LongSlots int
	// ShortBelow is the run time below which a request is short.
	ShortBelow time.Duration
}

// MethodSpec describes an operation of a service.
type MethodSpec struct {
	Method     identifier.Method
	Idempotent bool
	// RunTime is the expected run time until one has been measured.
	RunTime time.Duration
	// Timeout limits a request that has no deadline.
	Timeout time.Duration
}

// WorkspaceSpec describes a tenant.
type WorkspaceSpec struct {
	Workspace identifier.Workspace
	// TokenDigest is the SHA-256 of the callers' token.
	TokenDigest [32]byte
	// Weight is the workspace's weight in fair sharing, at least 1.
	Weight int
	// Quota is the largest number of accelerators in use, zero for no limit.
	Quota int
	// Guarantees are shapes that can be reclaimed at any time.
	Guarantees []Guarantee
}

// Guarantee is a guaranteed shape in a region.
type Guarantee struct {
	Region identifier.Region
	Shape  commander.Shape
}

// ConfigurationChanged delivers a new configuration to the other state machines.
type ConfigurationChanged struct {
	Configuration *Configuration
}

func (ConfigurationChanged) event()  {}
func (ConfigurationChanged) action() {}
