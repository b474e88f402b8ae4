package encoder

import (
	"net/netip"
	"time"

	"corianderroad/classifier"
	"corianderroad/commander"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

func addressToWire(address netip.AddrPort) []byte {
	if !address.IsValid() {
		return nil
	}
	// MarshalBinary of a netip.AddrPort never fails.
	wire, _ := address.MarshalBinary()
	return wire
}

func addressFromWire(wire []byte) (netip.AddrPort, error) {
	var address netip.AddrPort
	if len(wire) == 0 {
		return address, nil
	}
	if err := address.UnmarshalBinary(wire); err != nil {
		return netip.AddrPort{}, classifier.New(classifier.BadFrame, "address: %v", err)
	}
	return address, nil
}

func identityToWire(identity messenger.Identity) WireMember {
	return WireMember{
		Node:          string(identity.Node),
		Address:       addressToWire(identity.Address),
		Region:        string(identity.Region),
		FailureDomain: string(identity.FailureDomain),
		Incarnation:   uint64(identity.Incarnation),
	}
}

func identityFromWire(wire WireMember) (messenger.Identity, error) {
	address, err := addressFromWire(wire.Address)
	return messenger.Identity{
		Node:          identifier.Node(wire.Node),
		Address:       address,
		Region:        identifier.Region(wire.Region),
		FailureDomain: identifier.FailureDomain(wire.FailureDomain),
		Incarnation:   identifier.Incarnation(wire.Incarnation),
	}, err
}

func memberToWire(member messenger.Member) WireMember {
	wire := identityToWire(member.Identity)
	wire.Refutations = member.Refutations
	wire.State = uint8(member.State)
	wire.Configuration = uint64(member.Digest.Configuration)
	wire.Jobs = uint64(member.Digest.Jobs)
	wire.Intents = uint64(member.Digest.Intents)
	wire.Queued = member.Digest.Queued
	wire.FreeSlots = member.Digest.FreeSlots
	return wire
}

func memberFromWire(wire WireMember) (messenger.Member, error) {
	identity, err := identityFromWire(wire)
	if err != nil {
		return messenger.Member{}, err
	}
	state := messenger.MemberState(wire.State)
	if state < messenger.Alive || state > messenger.Dead {
		return messenger.Member{}, classifier.New(classifier.BadFrame, "member %q has state %d", wire.Node, wire.State)
	}
	if err := checkLoad(wire.Queued, wire.FreeSlots); err != nil {
		return messenger.Member{}, err
	}
	return messenger.Member{
		Identity:    identity,
		Refutations: wire.Refutations,
		State:       state,
		Digest: messenger.Digest{
			Configuration: identifier.Offset(wire.Configuration),
			Jobs:          identifier.Offset(wire.Jobs),
			Intents:       identifier.Offset(wire.Intents),
			Queued:        wire.Queued,
			FreeSlots:     wire.FreeSlots,
		},
	}, nil
}

// checkLoad returns an error with code BadFrame if a load that a node reports is out of
// bounds.
func checkLoad(queued, free int) error {
	if min(queued, free) < 0 || max(queued, free) > messenger.MaxReportedLoad {
		return classifier.New(classifier.BadFrame, "load of %d queued requests and %d free slots is out of bounds", queued, free)
	}
	return nil
}

func probeToWire(sequence uint64, from messenger.Member, changes []messenger.Member) *WireProbe {
	wire := &WireProbe{Sequence: sequence, From: memberToWire(from)}
	for _, change := range changes {
		wire.Changes = append(wire.Changes, memberToWire(change))
	}
	return wire
}

func probeFromWire(wire *WireProbe) (messenger.Probe, error) {
	from, err := memberFromWire(wire.From)
	if err != nil {
		return messenger.Probe{}, err
	}
	probe := messenger.Probe{Sequence: wire.Sequence, From: from}
	for _, change := range wire.Changes {
		member, err := memberFromWire(change)
		if err != nil {
			return messenger.Probe{}, err
		}
		probe.Changes = append(probe.Changes, member)
	}
	return probe, nil
}

func errorToWire(err *classifier.Error) *WireError {
	if err == nil {
		return nil
	}
	return &WireError{
		Code: uint16(err.Code), Message: err.Message, RetryAfter: err.RetryAfter, MayHaveRun: err.MayHaveRun,
	}
}

func errorFromWire(wire *WireError) *classifier.Error {
	if wire == nil {
		return nil
	}
	return &classifier.Error{
		Code: classifier.Code(wire.Code), Message: wire.Message, RetryAfter: wire.RetryAfter, MayHaveRun: wire.MayHaveRun,
	}
}

func callToWire(call commander.Call) WireCall {
	return WireCall{
		Workspace:  string(call.Workspace),
		Service:    string(call.Service),
		Method:     string(call.Method),
		Key:        string(call.Key),
		Idempotent: call.Idempotent,
		RunTime:    call.RunTime,
		Deadline:   call.Deadline,
		Body:       call.Body,
	}
}

func callFromWire(wire WireCall) commander.Call {
	return commander.Call{
		Workspace:  identifier.Workspace(wire.Workspace),
		Service:    identifier.Service(wire.Service),
		Method:     identifier.Method(wire.Method),
		Key:        identifier.Key(wire.Key),
		Idempotent: wire.Idempotent,
		RunTime:    wire.RunTime,
		Deadline:   wire.Deadline,
		Body:       wire.Body,
	}
}

// timeToWire returns nanoseconds since 1970, zero for the zero time.
func timeToWire(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixNano()
}

func timeFromWire(wire int64) time.Time {
	if wire == 0 {
		return time.Time{}
	}
	return time.Unix(0, wire)
}
