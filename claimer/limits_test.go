package claimer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/claimer"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// firstAppend returns how long after its first read a new node appends a claim, or
// the given span if it appends none within it. Reads without records follow the
// first one.
func firstAppend(first messenger.ClaimRead, span time.Duration) time.Duration {
	stateMachine := claimer.New("n1", 1, 0, rand.New(rand.NewPCG(1, 1)))
	begin := time.Unix(1_000_000, 0)
	for now := begin; now.Sub(begin) < span; now = now.Add(tick) {
		var event messenger.Event = messenger.Tick{}
		switch {
		case now.Equal(begin):
			event = first
		case now.Sub(begin)%readInterval == 0:
			event = messenger.ClaimRead{End: first.End, SentAt: now}
		}
		for _, action := range stateMachine.Step(now, event) {
			if _, ok := action.(messenger.AppendClaim); ok {
				return now.Sub(begin)
			}
		}
	}
	return span
}

// TestMissingClaimMayHideHolder guards against a node that starts and claims at once
// from a holder that is alive, because another writer has replaced or deleted the
// holder's claim, so that the listing shows none.
func TestMissingClaimMayHideHolder(t *testing.T) {
	c := quicktest.New(t)
	read := messenger.ClaimRead{RoundTrip: tick}
	c.Assert(firstAppend(read, 3*time.Second) < claimer.ClaimTimeout, quicktest.IsTrue)
	read.End = 9
	after := firstAppend(read, 3*time.Second)
	c.Assert(after >= claimer.ClaimTimeout, quicktest.IsTrue, quicktest.Commentf("claimed after %s", after))
	c.Assert(after < 3*time.Second, quicktest.IsTrue, quicktest.Commentf("claimed after %s", after))
}

// TestHolderSurvivesUnreadableClaim guards against a holder that ends because another
// writer's record stands between its renewals.
func TestHolderSurvivesUnreadableClaim(t *testing.T) {
	c := quicktest.New(t)
	store := &store{random: rand.New(rand.NewPCG(1, 1))}
	holder, now := newMember(0, 1), time.Unix(1_000_000, 0)
	for range int(2 * time.Second / tick) {
		holder.advance(now, store)
		now = now.Add(tick)
	}
	token := holder.token
	c.Assert(holder.hasValidClaim(now), quicktest.IsTrue)
	for range int(3 * time.Second / tick) {
		if now.UnixMilli()%700 == 0 {
			// The record takes an offset, and the read returns no claim for it.
			store.claims = append(store.claims, messenger.Claim{})
			holder.read = len(store.claims)
			holder.step(now, store, messenger.ClaimRead{End: identifier.Offset(len(store.claims)), SentAt: now})
		}
		holder.advance(now, store)
		now = now.Add(tick)
		c.Assert(holder.hasValidClaim(now), quicktest.IsTrue)
		c.Assert(holder.token, quicktest.Equals, token)
	}
}
