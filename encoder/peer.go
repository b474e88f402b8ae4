// Package encoder converts between the messages of messenger and querier and
// their msgpack form. msgp generates the encoding methods of the wire types from the
// schema files. All functions are safe for concurrent use.
package encoder

import (
	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// MarshalPeer encodes a peer message in msgpack. The error has code
// Internal if the message has no wire form.
func MarshalPeer(message messenger.Peer) ([]byte, error) {
	wire, err := peerToWire(message)
	if err != nil {
		return nil, err
	}
	body, err := wire.MarshalMsg(nil)
	if err != nil {
		return nil, classifier.New(classifier.Internal, "encode %T: %v", message, err)
	}
	return body, nil
}

// UnmarshalPeer decodes the peer message in the body of a frame. The error has
// code BadFrame.
func UnmarshalPeer(body []byte) (messenger.Peer, error) {
	var wire WirePeer
	if err := unmarshal(body, &wire); err != nil {
		return nil, classifier.New(classifier.BadFrame, "peer message: %v", err)
	}
	return peerFromWire(&wire)
}

func peerToWire(message messenger.Peer) (*WirePeer, error) {
	switch message := message.(type) {
	case messenger.Probe:
		return &WirePeer{Probe: probeToWire(message.Sequence, message.From, message.Changes)}, nil
	case messenger.ProbeAnswer:
		return &WirePeer{ProbeAnswer: probeToWire(message.Sequence, message.From, message.Changes)}, nil
	case messenger.ProbeRequest:
		return &WirePeer{ProbeRequest: &WireProbeRequest{
			Sequence: message.Sequence, Target: memberToWire(message.Target),
		}}, nil
	case messenger.ProbeReport:
		return &WirePeer{ProbeReport: &WireProbeReport{
			Sequence: message.Sequence, Target: memberToWire(message.Target),
		}}, nil
	case messenger.EntriesRequest:
		return &WirePeer{EntriesRequest: &WireEntriesRequest{Stream: string(message.Stream), From: uint64(message.From)}}, nil
	case messenger.EntriesResponse:
		response, err := entriesToWire(message)
		return &WirePeer{EntriesResponse: response}, err
	case messenger.Forward:
		return &WirePeer{Forward: &WireForward{
			Request: string(message.Request), Attempt: uint32(message.Attempt), OwnerIncarnation: uint64(message.OwnerIncarnation),
			SentAt: message.SentAt, Call: callToWire(message.Call),
		}}, nil
	case messenger.ForwardAnswer:
		return &WirePeer{ForwardAnswer: &WireForwardAnswer{
			Request: string(message.Request), Attempt: uint32(message.Attempt), Err: errorToWire(message.Err),
			Body: message.Body, Queued: message.Queued, FreeSlots: message.FreeSlots,
		}}, nil
	case messenger.ForwardCancel:
		return &WirePeer{ForwardCancel: &WireForwardCancel{
			Request: string(message.Request), Attempt: uint32(message.Attempt),
		}}, nil
	case messenger.OutcomeRequest:
		return &WirePeer{OutcomeRequest: &WireOutcomeRequest{
			Key: string(message.Key), Request: string(message.Request),
			Workspace: string(message.Workspace), Fingerprint: message.Fingerprint,
		}}, nil
	case messenger.OutcomeResponse:
		return &WirePeer{OutcomeResponse: &WireOutcomeResponse{
			Key: string(message.Key), Request: string(message.Request), Err: errorToWire(message.Err), Body: message.Body,
		}}, nil
	default:
		return nil, classifier.New(classifier.Internal, "%T has no wire form", message)
	}
}

func peerFromWire(wire *WirePeer) (messenger.Peer, error) {
	if count := wire.countFields(); count != 1 {
		return nil, classifier.New(classifier.BadFrame, "peer message has %d known fields, want 1", count)
	}
	switch {
	case wire.Probe != nil:
		probe, err := probeFromWire(wire.Probe)
		return peerOrError(probe, err)
	case wire.ProbeAnswer != nil:
		probe, err := probeFromWire(wire.ProbeAnswer)
		return peerOrError(messenger.ProbeAnswer(probe), err)
	case wire.ProbeRequest != nil:
		target, err := memberFromWire(wire.ProbeRequest.Target)
		return peerOrError(messenger.ProbeRequest{Sequence: wire.ProbeRequest.Sequence, Target: target}, err)
	case wire.ProbeReport != nil:
		target, err := memberFromWire(wire.ProbeReport.Target)
		return peerOrError(messenger.ProbeReport{Sequence: wire.ProbeReport.Sequence, Target: target}, err)
	case wire.EntriesRequest != nil:
		return messenger.EntriesRequest{
			Stream: identifier.Stream(wire.EntriesRequest.Stream), From: identifier.Offset(wire.EntriesRequest.From),
		}, nil
	case wire.EntriesResponse != nil:
		response, err := entriesFromWire(wire.EntriesResponse)
		return peerOrError(response, err)
	case wire.ForwardAnswer != nil:
		err := checkLoad(wire.ForwardAnswer.Queued, wire.ForwardAnswer.FreeSlots)
		return peerOrError(requestFromWire(wire), err)
	default:
		return requestFromWire(wire), nil
	}
}

func requestFromWire(wire *WirePeer) messenger.Peer {
	switch {
	case wire.Forward != nil:
		return messenger.Forward{
			Request:          identifier.Request(wire.Forward.Request),
			Attempt:          identifier.Attempt(wire.Forward.Attempt),
			OwnerIncarnation: identifier.Incarnation(wire.Forward.OwnerIncarnation),
			SentAt:           wire.Forward.SentAt,
			Call:             callFromWire(wire.Forward.Call),
		}
	case wire.ForwardAnswer != nil:
		return messenger.ForwardAnswer{
			Request:   identifier.Request(wire.ForwardAnswer.Request),
			Attempt:   identifier.Attempt(wire.ForwardAnswer.Attempt),
			Err:       errorFromWire(wire.ForwardAnswer.Err),
			Body:      wire.ForwardAnswer.Body,
			Queued:    wire.ForwardAnswer.Queued,
			FreeSlots: wire.ForwardAnswer.FreeSlots,
		}
	case wire.ForwardCancel != nil:
		return messenger.ForwardCancel{
			Request: identifier.Request(wire.ForwardCancel.Request),
			Attempt: identifier.Attempt(wire.ForwardCancel.Attempt),
		}
	case wire.OutcomeRequest != nil:
		return messenger.OutcomeRequest{
			Key:         identifier.Key(wire.OutcomeRequest.Key),
			Request:     identifier.Request(wire.OutcomeRequest.Request),
			Workspace:   identifier.Workspace(wire.OutcomeRequest.Workspace),
			Fingerprint: wire.OutcomeRequest.Fingerprint,
		}
	default:
		return messenger.OutcomeResponse{
			Key:     identifier.Key(wire.OutcomeResponse.Key),
			Request: identifier.Request(wire.OutcomeResponse.Request),
			Err:     errorFromWire(wire.OutcomeResponse.Err),
			Body:    wire.OutcomeResponse.Body,
		}
	}
}

// countFields returns the number of fields that are set.
func (wire *WirePeer) countFields() int {
	count := 0
	for _, present := range []bool{
		wire.Probe != nil, wire.ProbeAnswer != nil, wire.ProbeRequest != nil, wire.ProbeReport != nil,
		wire.EntriesRequest != nil, wire.EntriesResponse != nil, wire.Forward != nil, wire.ForwardAnswer != nil,
		wire.ForwardCancel != nil, wire.OutcomeRequest != nil, wire.OutcomeResponse != nil,
	} {
		if present {
			count++
		}
	}
	return count
}

// peerOrError returns no message if err is set, so that a partly decoded message is
// never delivered.
func peerOrError(message messenger.Peer, err error) (messenger.Peer, error) {
	if err != nil {
		return nil, err
	}
	return message, nil
}
