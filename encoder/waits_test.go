package encoder_test

import (
	"encoding/hex"
	"math"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/encoder"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// validWaits returns random waits changed to be within the bounds that the decoder checks.
func validWaits(waits *messenger.QueueWaits) *messenger.QueueWaits {
	if waits == nil {
		return nil
	}
	valid := &messenger.QueueWaits{ComputedAt: validTime(waits.ComputedAt)}
	duration := func(wait time.Duration) time.Duration {
		return time.Duration(uint64(wait)%3_600_000) * time.Millisecond
	}
	amount := func(value int) int { return int(uint(value) % math.MaxInt32) }
	for _, wait := range waits.Queues {
		name := "q" + wait.Queue
		valid.Queues = append(valid.Queues, messenger.QueueWait{
			Queue: name[:min(len(name), messenger.MaxQueueNameBytes)], TimelyWait: duration(wait.TimelyWait), Wait: duration(wait.Wait),
			RunTime: duration(wait.RunTime), Tasks: amount(wait.Tasks),
			LargestMinion: specifier.Resources{
				MilliCPU: amount(wait.LargestMinion.MilliCPU), MemoryMB: amount(wait.LargestMinion.MemoryMB), Accelerators: amount(wait.LargestMinion.Accelerators),
			},
		})
	}
	return valid
}

// earlierClaim is the record of a claim as the build before this one wrote it.
const earlierClaim = "85a46e6f6465a26e31ab696e6361726e6174696f6e03a5746f6b656e09a673657269616c02a872656c6561736564c2"

// TestClaimWithoutWaitsIsUnchanged guards against a renewal that differs from that of an earlier build
// although the holder publishes no waits, and against one of an earlier build that is refused.
func TestClaimWithoutWaitsIsUnchanged(t *testing.T) {
	c := quicktest.New(t)
	claim := messenger.Claim{Node: "n1", Incarnation: 3, Token: 9, Serial: 2}
	record, err := encoder.MarshalClaim(claim)
	c.Assert(err, quicktest.IsNil)
	c.Assert(hex.EncodeToString(record.Value), quicktest.Equals, earlierClaim)
	value, err := hex.DecodeString(earlierClaim)
	c.Assert(err, quicktest.IsNil)
	decoded, err := encoder.UnmarshalClaim(encoder.KeyedRecord{Key: record.Key, Value: value}, claimOffset)
	c.Assert(err, quicktest.IsNil)
	c.Assert(decoded, quicktest.Equals, claim)
}

// TestUnknownFieldOfClaimIsIgnored guards against a renewal of a later build that ends the holder in the
// eyes of this one.
func TestUnknownFieldOfClaimIsIgnored(t *testing.T) {
	c := quicktest.New(t)
	value, err := hex.DecodeString("86" + earlierClaim[2:] + "a56c6174657293010203") // "later": [1, 2, 3]
	c.Assert(err, quicktest.IsNil)
	decoded, err := encoder.UnmarshalClaim(encoder.KeyedRecord{Key: "holder", Value: value}, claimOffset)
	c.Assert(err, quicktest.IsNil)
	c.Assert(decoded, quicktest.Equals, messenger.Claim{Node: "n1", Incarnation: 3, Token: 9, Serial: 2})
}

// TestInvalidWaitsLeaveTheClaimValid guards against a holder that ends in the eyes of other nodes because
// the waits in its renewals are invalid, and against waits that no holder can have computed.
func TestInvalidWaitsLeaveTheClaimValid(t *testing.T) {
	c := quicktest.New(t)
	valid := encoder.ClaimQueueWait{Queue: "q", Wait: 1000}
	for name, change := range map[string]func(*encoder.ClaimWaits){
		"negative wait":  func(waits *encoder.ClaimWaits) { waits.Queues[0].Wait = -1 },
		"longest wait":   func(waits *encoder.ClaimWaits) { waits.Queues[0].TimelyWait = math.MaxInt64 },
		"negative tasks": func(waits *encoder.ClaimWaits) { waits.Queues[0].Tasks = -1 },
		"empty name":     func(waits *encoder.ClaimWaits) { waits.Queues[0].Queue = "" },
		"no time":        func(waits *encoder.ClaimWaits) { waits.ComputedAt = 0 },
		"too many queues": func(waits *encoder.ClaimWaits) {
			waits.Queues = make([]encoder.ClaimQueueWait, messenger.MaxQueueWaits+1)
		},
	} {
		waits := encoder.ClaimWaits{ComputedAt: 1, Queues: []encoder.ClaimQueueWait{valid}}
		change(&waits)
		encoded, err := waits.MarshalMsg(nil)
		c.Assert(err, quicktest.IsNil)
		checkWaitsIgnored(c, name, encoded)
	}
	checkWaitsIgnored(c, "no message", []byte("waits"))
}

func checkWaitsIgnored(c *quicktest.C, name string, waits []byte) {
	wire := encoder.JournalClaim{Node: "n1", Incarnation: 3, Token: 9, Serial: 2, Waits: waits}
	value, err := wire.MarshalMsg(nil)
	c.Assert(err, quicktest.IsNil)
	decoded, err := encoder.UnmarshalClaim(encoder.KeyedRecord{Key: "holder", Value: value}, claimOffset)
	c.Assert(err, quicktest.IsNil, quicktest.Commentf("%s", name))
	c.Assert(decoded, quicktest.Equals, messenger.Claim{Node: "n1", Incarnation: 3, Token: 9, Serial: 2}, quicktest.Commentf("%s", name))
}

// TestSizeOfPublishedWaits guards against renewals that load the links of the nodes, which all read
// each of them: three queues need less than 500 bytes.
func TestSizeOfPublishedWaits(t *testing.T) {
	c := quicktest.New(t)
	claim := messenger.Claim{Node: "n1", Incarnation: 3, Token: 9, Serial: 2, Waits: &messenger.QueueWaits{ComputedAt: time.Unix(1_000_000, 0)}}
	for _, name := range []identifier.Queue{"large", "small", "wide"} {
		claim.Waits.Queues = append(claim.Waits.Queues, messenger.QueueWait{
			Queue: name, TimelyWait: 10 * time.Second, Wait: time.Minute, RunTime: 7 * time.Second, Tasks: 39,
			LargestMinion: specifier.Resources{MilliCPU: 128_000, MemoryMB: 256_000, Accelerators: 8},
		})
	}
	record, err := encoder.MarshalClaim(claim)
	c.Assert(err, quicktest.IsNil)
	c.Assert(len(record.Value) < 500, quicktest.IsTrue, quicktest.Commentf("%d bytes", len(record.Value)))
	t.Log(len(record.Value))
}
