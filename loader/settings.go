// Package loader reads the settings of a node from YAML. It refuses unknown keys,
// wrong units, malformed addresses and invalid values with an error that contains
// the key and line.
package loader

import (
	"time"

	"corianderroad/identifier"
	"corianderroad/messenger"
)

// Settings are the checked settings of one node. They never change while the
// process runs.
type Settings struct {
	Node          identifier.Node          `yaml:"node" validate:"required,max=128"`
	Region        identifier.Region        `yaml:"region" validate:"required,max=128"`
	FailureDomain identifier.FailureDomain `yaml:"failure-domain" validate:"required,max=128"`
	PeerAddress   Address                  `yaml:"peer-address" validate:"required"`
	HTTPAddress   Address                  `yaml:"http-address" validate:"required"`
	SharedKey     Secret                   `yaml:"shared-key" validate:"min=32,max=64"`
	Peers         []Peer                   `yaml:"peers" validate:"max=1024,dive"`
	LogService    Address                  `yaml:"log-service" validate:"required"`
	VMList        Address                  `yaml:"vm-list" validate:"required"`
	Founders      []Founder                `yaml:"founders" validate:"min=1,max=64,dive"`
	Limits        Limits                   `yaml:"limits"`
}

// Peer is another node of the deployment. A new node joins through its peers;
// members that join later need not be listed.
type Peer struct {
	Node          identifier.Node          `yaml:"node" validate:"required,max=128"`
	Address       Address                  `yaml:"address" validate:"required"`
	Region        identifier.Region        `yaml:"region" validate:"required,max=128"`
	FailureDomain identifier.FailureDomain `yaml:"failure-domain" validate:"required,max=128"`
}

// Founder is an organisation that is a member without approval.
type Founder struct {
	Organisation        identifier.Organisation `yaml:"organisation" validate:"required,max=128"`
	OperatorTokenDigest Digest                  `yaml:"operator-token-digest" validate:"required"`
}

// Limits bound the resources of one node. Keys that are absent have defaults.
type Limits struct {
	// OpenCalls is the maximum number of concurrent client calls.
	OpenCalls int `yaml:"open-calls" validate:"min=1,max=65536"`
	// RingCapacity is the capacity of each ring between duties, in entries.
	RingCapacity int `yaml:"ring-capacity" validate:"min=16,max=65536"`
	// MinionCalls is the maximum number of concurrent requests to minions.
	MinionCalls int `yaml:"minion-calls" validate:"min=1,max=16384"`
	// WorkerCalls is the maximum number of concurrent calls to workers.
	WorkerCalls int `yaml:"worker-calls" validate:"min=1,max=1024"`
	// DrainTimeout bounds the duration of a graceful stop.
	DrainTimeout Duration `yaml:"drain-timeout" validate:"min=1000000000,max=3600000000000"`
}

// Identity returns the identity of the node for a process that started at start.
func (settings *Settings) Identity(start time.Time) messenger.Identity {
	return messenger.Identity{
		Node:          settings.Node,
		Address:       settings.PeerAddress.AddrPort,
		Region:        settings.Region,
		FailureDomain: settings.FailureDomain,
		Incarnation:   identifier.NewIncarnation(start),
	}
}

// Seeds returns the identities of the peers.
func (settings *Settings) Seeds() []messenger.Identity {
	seeds := make([]messenger.Identity, 0, len(settings.Peers))
	for _, peer := range settings.Peers {
		seeds = append(seeds, messenger.Identity{
			Node: peer.Node, Address: peer.Address.AddrPort, Region: peer.Region, FailureDomain: peer.FailureDomain,
		})
	}
	return seeds
}
