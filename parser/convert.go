package parser

import (
	"encoding/hex"
	"time"

	"corianderroad/commander"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// Defaults of a service text.
const (
	defaultSlots       = 8
	defaultConnections = 64
	defaultLongSlots   = 5
	defaultShortBelow  = time.Second
	defaultTimeout     = 30 * time.Second
	defaultWeight      = 1
)

// convert converts a checked schema to a text and fills in the defaults.
func convert(schema *textSchema) messenger.OrganisationText {
	text := messenger.OrganisationText{
		Organisation:   identifier.Organisation(schema.Organisation),
		OperatorDigest: decodeDigest(schema.TokenDigest),
	}
	for _, service := range schema.Services {
		text.Services = append(text.Services, convertService(service))
	}
	for _, workspace := range schema.Workspaces {
		text.Workspaces = append(text.Workspaces, convertWorkspace(workspace))
	}
	return text
}

func convertService(schema serviceSchema) messenger.ServiceSpec {
	slots := valueOr(schema.Slots, defaultSlots)
	service := messenger.ServiceSpec{
		Service:     identifier.Service(schema.Name),
		Slots:       slots,
		Connections: valueOr(schema.Connections, max(defaultConnections, slots)),
		LongSlots:   valueOr(schema.LongSlots, min(defaultLongSlots, slots)),
		ShortBelow:  durationOr(schema.ShortBelow, defaultShortBelow),
	}
	for _, dependency := range schema.DependsOn {
		service.DependsOn = append(service.DependsOn, identifier.Service(dependency))
	}
	for _, method := range schema.Methods {
		runTime := durationOr(method.RunTime, 0)
		service.Methods = append(service.Methods, messenger.MethodSpec{
			Method: identifier.Method(method.Name), Idempotent: method.Idempotent, RunTime: runTime,
			Timeout: durationOr(method.Timeout, max(defaultTimeout, runTime)),
		})
	}
	return service
}

func convertWorkspace(schema workspaceSchema) messenger.WorkspaceSpec {
	workspace := messenger.WorkspaceSpec{
		Workspace:   identifier.Workspace(schema.Name),
		TokenDigest: decodeDigest(schema.TokenDigest),
		Weight:      valueOr(schema.Weight, defaultWeight),
		Quota:       valueOr(schema.Quota, 0),
	}
	for _, guarantee := range schema.Guarantees {
		adjacency := commander.AnyRack
		if guarantee.Adjacency == "same-rack" {
			adjacency = commander.SameRack
		}
		workspace.Guarantees = append(workspace.Guarantees, messenger.Guarantee{
			Region: identifier.Region(guarantee.Region),
			Shape:  commander.Shape{Members: guarantee.Members, Accelerators: guarantee.Accelerators, Adjacency: adjacency},
		})
	}
	return workspace
}

// decodeDigest returns the bytes of a digest that was checked.
func decodeDigest(text string) (digest [32]byte) {
	_, _ = hex.Decode(digest[:], []byte(text))
	return digest
}

func valueOr(value *int, fallback int) int {
	if value == nil {
		return fallback
	}
	return *value
}

func durationOr(value *string, fallback time.Duration) time.Duration {
	if value == nil {
		return fallback
	}
	return mustParseDuration(*value)
}
