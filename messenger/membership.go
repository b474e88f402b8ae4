package messenger

import (
	"net/netip"
	"time"

	"corianderroad/identifier"
)

// MemberState is the state of a node as another node sees it. A higher state
// overrides a lower one within the same incarnation.
type MemberState uint8

// States of a member.
const (
	Alive MemberState = iota + 1
	Suspect
	Departing
	Dead
)

// String returns the state's name in answers.
func (state MemberState) String() string {
	switch state {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Departing:
		return "leaving"
	case Dead:
		return "dead"
	default:
		return "unknown"
	}
}

// Identity is the identity of a process, as given by its settings.
type Identity struct {
	Node          identifier.Node
	Address       netip.AddrPort
	Region        identifier.Region
	FailureDomain identifier.FailureDomain
	Incarnation   identifier.Incarnation
}

// Digest is the summary of its sender that every heartbeat carries: the applied
// offsets and the load.
type Digest struct {
	Configuration identifier.Offset
	Jobs          identifier.Offset
	Intents       identifier.Offset
	// Queued is the number of requests that wait at the sender's minions.
	Queued int
	// FreeSlots is the number of free slots of the sender's minions.
	FreeSlots int
}

// Member is a node with its state.
type Member struct {
	Identity
	// Refutations counts how often the node has overridden a false state within
	// its incarnation. A member with a higher count is newer.
	Refutations uint32
	State       MemberState
	Digest      Digest
}

// Probe checks whether a node is alive.
type Probe struct {
	Sequence uint64
	From     Member
	Changes  []Member
}

// ProbeAnswer answers a Probe.
type ProbeAnswer struct {
	Sequence uint64
	From     Member
	Changes  []Member
}

// ProbeRequest requests a node to probe another node on the sender's behalf.
type ProbeRequest struct {
	Sequence uint64
	// Target is the requester's record of the member, so that the probe
	// shows a suspect which state it must refute.
	Target Member
}

// ProbeReport reports to the requester that the target answered.
type ProbeReport struct {
	Sequence uint64
	Target   Member
}

func (Probe) peer()        {}
func (ProbeAnswer) peer()  {}
func (ProbeRequest) peer() {}
func (ProbeReport) peer()  {}

// PeerReceived delivers a peer message.
type PeerReceived struct {
	From    identifier.Node
	Message Peer
}

// SendPeer requests the transporter to send a message. Delivery is not guaranteed.
type SendPeer struct {
	To      identifier.Node
	Address netip.AddrPort
	Message Peer
}

// PeerSendFailed reports that a message was certainly not sent.
type PeerSendFailed struct {
	To      identifier.Node
	Message Peer
}

// MembersChanged delivers the members that are not dead, including the node
// itself, sorted by name.
type MembersChanged struct {
	Members []Member
}

// DigestChanged sends the detector the offsets for the digest of its heartbeats.
type DigestChanged struct {
	Configuration, Jobs, Intents identifier.Offset
}

// LoadChanged sends the detector the load for the digest of its heartbeats.
type LoadChanged struct {
	Queued, FreeSlots int
}

// DrainArrived requests the detector to announce that this node leaves.
type DrainArrived struct{}

// VMRole is the role of a VM in the list.
type VMRole uint8

// Roles of VMs.
const (
	EntryVM VMRole = iota + 1
	WorkerVM
	MinionVM
)

// VM is one entry of the platform's VM list.
type VM struct {
	Name          string
	Role          VMRole
	Address       netip.AddrPort
	Leaving       bool
	Region        identifier.Region
	FailureDomain identifier.FailureDomain
	Rack          identifier.Rack
	Service       identifier.Service
	Accelerators  int
}

// VMsListed delivers the platform's VM list, which may be out of date.
type VMsListed struct {
	At  time.Time
	VMs []VM
}

func (PeerReceived) event()   {}
func (PeerSendFailed) event() {}
func (MembersChanged) event() {}
func (DigestChanged) event()  {}
func (LoadChanged) event()    {}
func (DrainArrived) event()   {}
func (VMsListed) event()      {}

func (SendPeer) action()       {}
func (MembersChanged) action() {}
func (DigestChanged) action()  {}
func (LoadChanged) action()    {}

// HeartbeatReceived delivers the digest of a heartbeat to the other state machines.
type HeartbeatReceived struct {
	Node    identifier.Node
	Address netip.AddrPort
	Digest  Digest
}

func (HeartbeatReceived) event()  {}
func (HeartbeatReceived) action() {}
