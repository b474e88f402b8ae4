package encoder

import (
	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// claimKey is the only key of the topic of claims.
const claimKey = "holder"

// MarshalClaim encodes a claim.
func MarshalClaim(claim messenger.Claim) (KeyedRecord, error) {
	wire := JournalClaim{
		Node: string(claim.Node), Incarnation: uint64(claim.Incarnation), Token: uint64(claim.Token),
		Serial: claim.Serial, Released: claim.Released,
	}
	if claim.Waits != nil {
		waits, err := marshalWaits(claim.Waits)
		if err != nil {
			return KeyedRecord{}, err
		}
		wire.Waits = waits
	}
	value, err := wire.MarshalMsg(nil)
	return KeyedRecord{Key: claimKey, Value: value}, err
}

// UnmarshalClaim decodes the claim in the record at the given offset of the topic of
// claims. The error has code BadFrame and names the key. Such a record has no
// effect: the caller keeps the claim that it knows from earlier records. A claim whose waits
// are invalid is valid and has none.
func UnmarshalClaim(record KeyedRecord, at identifier.Offset) (messenger.Claim, error) {
	refusal := func(format string, arguments ...any) (messenger.Claim, error) {
		err := classifier.New(classifier.BadFrame, format, arguments...)
		return messenger.Claim{}, classifier.New(classifier.BadFrame, "claim %q at offset %d: %s", record.Key, at, err.Message)
	}
	if record.Key != claimKey {
		return refusal("unknown key")
	}
	var wire JournalClaim
	if err := unmarshal(record.Value, &wire); err != nil {
		return refusal("%v", err)
	}
	switch {
	case len(wire.Node) == 0 || len(wire.Node) > messenger.MaxNodeBytes:
		return refusal("the name of the node has %d bytes, 1 to %d are allowed", len(wire.Node), messenger.MaxNodeBytes)
	case wire.Serial == 0:
		return refusal("the serial number is zero")
	case wire.Token > uint64(at):
		// A token is the offset of the first record of its claim plus one, and the
		// records that contain it come later.
		return refusal("the token %d is not that of an earlier record", wire.Token)
	}
	return messenger.Claim{
		Node: identifier.Node(wire.Node), Incarnation: identifier.Incarnation(wire.Incarnation),
		Token: identifier.Term(wire.Token), Serial: wire.Serial, Released: wire.Released,
		Waits: unmarshalWaits(wire.Waits),
	}, nil
}
