package encoder_test

import (
	"math"
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"corianderroad/classifier"
	"corianderroad/encoder"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// claimOffset is the offset of the claims in these tests.
const claimOffset identifier.Offset = 9

// checkClaimNeighbour checks that a valid claim can be read.
func checkClaimNeighbour(c testing.TB) {
	claim := messenger.Claim{Node: "n1", Incarnation: 3, Token: 9, Serial: 2}
	record, err := encoder.MarshalClaim(claim)
	quicktest.Assert(c, err, quicktest.IsNil)
	decoded, err := encoder.UnmarshalClaim(record, claimOffset)
	quicktest.Assert(c, err, quicktest.IsNil)
	quicktest.Assert(c, decoded, quicktest.Equals, claim)
}

// TestInvalidClaimIsRefused guards against a record of another writer that counts as a
// claim: the holder then steps down, and a token that no record can have stays
// above all later ones.
func TestInvalidClaimIsRefused(t *testing.T) {
	for reason, claim := range map[string]messenger.Claim{
		"no node":         {Serial: 1},
		"long name":       {Node: identifier.Node(strings.Repeat("n", 300)), Serial: 1},
		"no serial":       {Node: "n1"},
		"largest token":   {Node: "n1", Serial: 1, Token: math.MaxUint64},
		"token of itself": {Node: "n1", Serial: 1, Token: identifier.Term(claimOffset) + 1},
	} {
		record, err := encoder.MarshalClaim(claim)
		quicktest.Assert(t, err, quicktest.IsNil)
		checkClaimRefused(t, reason, record)
	}
	valid, err := encoder.MarshalClaim(messenger.Claim{Node: "n1", Serial: 1})
	quicktest.Assert(t, err, quicktest.IsNil)
	checkClaimRefused(t, "other key", encoder.KeyedRecord{Key: "other", Value: valid.Value})
	checkClaimRefused(t, "empty map", encoder.KeyedRecord{Key: valid.Key, Value: []byte{0x80}})
	checkClaimRefused(t, "truncated", encoder.KeyedRecord{Key: valid.Key, Value: valid.Value[:len(valid.Value)-1]})
}

func checkClaimRefused(c testing.TB, reason string, record encoder.KeyedRecord) {
	claim, err := encoder.UnmarshalClaim(record, claimOffset)
	quicktest.Assert(c, claim, quicktest.Equals, messenger.Claim{}, quicktest.Commentf("%s", reason))
	quicktest.Assert(c, classifier.CodeOf(err), quicktest.Equals, classifier.BadFrame, quicktest.Commentf("%s", reason))
	quicktest.Assert(c, err, quicktest.ErrorMatches, ".*\""+record.Key+"\".*", quicktest.Commentf("%s", reason))
	checkClaimNeighbour(c)
}
