// Package claimer elects the holder: the entry VM that places tasks. A Claimer
// is the state machine of one node. The platform's store orders the claims of
// all nodes.
package claimer

import (
	"math/rand/v2"
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/querier"
)

// Durations of a claim. RenewInterval and the store's response time fit into
// ClaimValidity, so that a holder renews its claim before it expires.
// ClaimValidity is shorter than ClaimTimeout, so that a claim has expired before
// another node claims.
const (
	// RenewInterval is the time from one renewal to the next.
	RenewInterval = 400 * time.Millisecond
	// ClaimValidity is the validity of a claim, counted from the sending of its
	// last confirmed renewal. The holder starts new work only within it.
	ClaimValidity = 1100 * time.Millisecond
	// ClaimTimeout is how long a node must read the claims without a renewal
	// before it claims in place of the holder.
	ClaimTimeout = 1400 * time.Millisecond
	// maxReadGap is the longest time between two completed reads. A longer gap
	// restarts the count of ClaimTimeout, because then the store was unavailable
	// and missing renewals do not mean that the holder has failed.
	maxReadGap = 1200 * time.Millisecond
	// retryDelay is the time from a failed append to the next one. It doubles with
	// each refused claim of a candidate up to maxCandidateDelay, because all nodes may
	// be candidates. The holder must renew its claim within ClaimValidity.
	retryDelay        = 100 * time.Millisecond
	maxCandidateDelay = 800 * time.Millisecond
	// delayPerRoundTrip is multiplied by the round trip of a read, so that nodes
	// near the store claim first.
	delayPerRoundTrip = 4
	maxStoreDelay     = 400 * time.Millisecond
	maxJitter         = 60 * time.Millisecond
)

// Claimer is the state machine of one node. It is not safe for concurrent use.
type Claimer struct {
	node        identifier.Node
	incarnation identifier.Incarnation
	// storeDelay, capacityDelay and jitter delay a claim, so that nodes near the
	// store and nodes with more capacity claim first and the nodes of one failure
	// domain do not claim together.
	storeDelay    time.Duration
	capacityDelay time.Duration
	jitter        time.Duration

	// newest is the newest claim that was read, nil before the first.
	newest *messenger.Claim
	offset identifier.Offset
	end    identifier.Offset
	// unrenewedSince is the time since which the reads have shown no renewal.
	unrenewedSince time.Time
	lastReadAt     time.Time

	token       identifier.Term
	confirmedAt time.Time
	// lastAppend is the newest append, pending or answered; lastAppendAt is when
	// it was sent.
	lastAppend    messenger.Claim
	lastAppendAt  time.Time
	appendPending bool
	// retryAt is the earliest time of the next append after a failed one.
	retryAt time.Time
	// candidateDelay is the delay after the newest refused claim of a candidate.
	candidateDelay time.Duration
	draining       bool
	// releaseToken is the token of the claim to release, zero for none.
	releaseToken identifier.Term
	waits        publishedWaits
}

// New returns the state machine of a node. The capacityDelay postpones its
// claims; nodes with less capacity have a longer one.
func New(node identifier.Node, incarnation identifier.Incarnation, capacityDelay time.Duration, random *rand.Rand) *Claimer {
	return &Claimer{
		node: node, incarnation: incarnation, storeDelay: maxStoreDelay, capacityDelay: capacityDelay,
		jitter: time.Duration(random.Int64N(int64(maxJitter))),
	}
}

// Step applies an event and returns the resulting actions.
func (claimer *Claimer) Step(now time.Time, event messenger.Event) []messenger.Action {
	var actions []messenger.Action
	switch event := event.(type) {
	case messenger.ClaimRead:
		actions = claimer.applyRead(now, event)
	case messenger.ClaimReadFailed:
	case messenger.ClaimAppended:
		actions = claimer.handleAppended(now, event)
	case messenger.HolderFenced:
		if claimer.token != 0 && event.Token == claimer.token {
			actions = claimer.stepDown(now, "a request was refused because a newer token exists")
		}
	case messenger.DrainArrived:
		actions = claimer.drain(now)
	case messenger.WaitsComputed:
		claimer.waits.own = event.Waits
	}
	return append(actions, claimer.advance(now)...)
}

// applyRead applies the newest claim of a read. Reads arrive in order.
func (claimer *Claimer) applyRead(now time.Time, read messenger.ClaimRead) []messenger.Action {
	if read.RoundTrip > 0 {
		claimer.storeDelay = min(delayPerRoundTrip*read.RoundTrip, maxStoreDelay)
	}
	isFirstRead := now.Sub(claimer.lastReadAt) > maxReadGap
	if isFirstRead {
		claimer.unrenewedSince = now
	}
	claimer.lastReadAt = now
	claimer.end = max(claimer.end, read.End)
	if read.Claim == nil || (claimer.newest != nil && read.Offset <= claimer.offset) {
		return nil
	}
	claimer.newest, claimer.offset = read.Claim, read.Offset
	claimer.unrenewedSince = now
	claimer.candidateDelay = 0
	actions := claimer.waits.report(read.Claim, read.SentAt, isFirstRead)
	switch {
	case claimer.isOwn(read.Claim):
		return append(actions, claimer.confirmOwn(read)...)
	case claimer.token != 0 && claimer.newestToken() > claimer.token:
		return append(actions, claimer.stepDown(now, "another node has claimed")...)
	}
	return actions
}

// confirmOwn confirms a claim of this node that a read shows and whose append got
// no answer.
func (claimer *Claimer) confirmOwn(read messenger.ClaimRead) []messenger.Action {
	if claimer.appendPending || read.Claim.Released || read.Claim.Serial != claimer.lastAppend.Serial || claimer.confirmedAt.Equal(claimer.lastAppendAt) {
		return nil
	}
	return claimer.confirm(claimer.newestToken(), claimer.lastAppendAt)
}

func (claimer *Claimer) confirm(token identifier.Term, sentAt time.Time) []messenger.Action {
	var actions []messenger.Action
	if claimer.token == 0 {
		actions = append(actions, messenger.Decision{
			Subject: string(claimer.node), Outcome: "holder-began", Reason: "claim is durable", Version: int64(token),
		})
	}
	claimer.token, claimer.confirmedAt = token, sentAt
	return append(actions, messenger.HolderChanged{
		Token: token, ConfirmedAt: sentAt, Fence: claimer.newestFence(), Leaving: claimer.draining,
	})
}

func (claimer *Claimer) handleAppended(now time.Time, appended messenger.ClaimAppended) []messenger.Action {
	claimer.appendPending = false
	claimer.lastAppendAt = appended.SentAt
	switch {
	case appended.Err == nil:
		claimer.candidateDelay = 0
		claim := appended.Claim
		claimer.newest, claimer.offset = &claim, appended.Offset
		claimer.end = max(claimer.end, appended.Offset+1)
		claimer.unrenewedSince = now
		if claim.Released {
			claimer.releaseToken = 0
			return nil
		}
		if claimer.draining {
			return nil
		}
		return append(claimer.waits.report(&claim, appended.SentAt, false), claimer.confirm(claimer.newestToken(), appended.SentAt)...)
	case appended.Err.Code == classifier.Conflict:
		// The next read returns the claim that was appended first.
		claimer.retryAt = now.Add(retryDelay)
	default:
		claimer.retryAt = now.Add(claimer.increaseDelay())
		return []messenger.Action{messenger.Count{Counter: messenger.Retries, Reason: "claim-" + appended.Err.Code.Name()}}
	}
	return nil
}

// increaseDelay returns the time from an append that has failed now to the next one.
func (claimer *Claimer) increaseDelay() time.Duration {
	if claimer.token != 0 || claimer.releaseToken != 0 {
		return retryDelay
	}
	claimer.candidateDelay = min(max(2*claimer.candidateDelay, retryDelay), maxCandidateDelay)
	return claimer.candidateDelay + claimer.jitter
}

// advance appends a claim, a renewal or a release if one is due.
func (claimer *Claimer) advance(now time.Time) []messenger.Action {
	due := claimer.nextAppend()
	if claimer.appendPending || due.IsZero() || now.Before(due) || claimer.isReadStale(now) {
		return nil
	}
	claim := messenger.Claim{
		Node: claimer.node, Incarnation: claimer.incarnation, Serial: claimer.lastAppend.Serial + 1,
		Token: max(claimer.token, claimer.releaseToken), Released: claimer.releaseToken != 0,
	}
	if claimer.token != 0 {
		claim.Waits = claimer.waits.toPublish(now)
	}
	claimer.lastAppend, claimer.lastAppendAt, claimer.appendPending = claim, now, true
	return []messenger.Action{messenger.AppendClaim{Claim: claim, At: claimer.end}}
}

// isReadStale reports whether this node is not the holder and its last read is
// so old that the holder may have renewed since.
func (claimer *Claimer) isReadStale(now time.Time) bool {
	return claimer.token == 0 && claimer.releaseToken == 0 && now.Sub(claimer.lastReadAt) > maxReadGap
}

// nextAppend returns when the node appends next, the zero time for never.
func (claimer *Claimer) nextAppend() time.Time {
	if claimer.releaseToken != 0 {
		return later(claimer.lastAppendAt, claimer.retryAt)
	}
	if claimer.draining || claimer.lastReadAt.IsZero() {
		return time.Time{}
	}
	due := claimer.unrenewedSince.Add(ClaimTimeout + claimer.storeDelay + claimer.capacityDelay + claimer.jitter)
	if claimer.token != 0 {
		due = claimer.confirmedAt.Add(RenewInterval)
	} else if claimer.isClaimFree() {
		due = claimer.unrenewedSince.Add(claimer.storeDelay + claimer.capacityDelay + claimer.jitter)
	}
	return later(due, claimer.retryAt)
}

// isClaimFree reports whether no other process can hold the claim, so that this node
// need not wait for ClaimTimeout. A topic that was written but shows no claim may hide
// a holder: another writer has replaced or deleted its record.
func (claimer *Claimer) isClaimFree() bool {
	if claimer.newest == nil {
		return claimer.end == 0
	}
	return claimer.newest.Released || claimer.isEarlierIncarnation(claimer.newest)
}

func later(one, other time.Time) time.Time {
	if one.Before(other) {
		return other
	}
	return one
}

// Next returns when the state machine needs a Tick, the zero time for never.
func (claimer *Claimer) Next() time.Time {
	due := claimer.nextAppend()
	if claimer.appendPending || claimer.isReadStale(due) {
		return time.Time{} // the pending answer or the next read advances the claim
	}
	return due
}

func (claimer *Claimer) stepDown(now time.Time, reason string) []messenger.Action {
	token := claimer.token
	claimer.token, claimer.waits.own = 0, nil
	claimer.unrenewedSince = now
	return []messenger.Action{
		messenger.HolderChanged{},
		messenger.Decision{Subject: string(claimer.node), Outcome: "holder-ended", Reason: reason, Version: int64(token)},
	}
}

// drain ends the node's role as holder and prevents further claims. It
// releases the claim once no append is pending, so that another node can claim
// at its next read.
func (claimer *Claimer) drain(now time.Time) []messenger.Action {
	if claimer.draining {
		return nil
	}
	claimer.draining = true
	if claimer.token == 0 {
		return nil
	}
	claimer.releaseToken = claimer.token
	return claimer.stepDown(now, "the node is stopping")
}

func (claimer *Claimer) isOwn(claim *messenger.Claim) bool {
	return claim.Node == claimer.node && claim.Incarnation == claimer.incarnation
}

// isEarlierIncarnation reports whether an earlier process of this node made the
// claim. That process has ended, so that this one need not wait for ClaimTimeout.
func (claimer *Claimer) isEarlierIncarnation(claim *messenger.Claim) bool {
	return claim.Node == claimer.node && claim.Incarnation < claimer.incarnation
}

// newestToken returns the token of the newest claim.
func (claimer *Claimer) newestToken() identifier.Term {
	if claimer.newest.Token != 0 {
		return claimer.newest.Token
	}
	return claimer.newestFence()
}

// newestFence returns the token of a claim at the newest record. The records of renewals
// follow that of their claim, and those of later claims follow them.
func (claimer *Claimer) newestFence() identifier.Term { return identifier.Term(claimer.offset) + 1 }

// View returns the gauges of the claim.
func (claimer *Claimer) View(now time.Time, _ querier.Query) querier.Answer {
	holder := 0.0
	if claimer.token != 0 && now.Sub(claimer.confirmedAt) <= ClaimValidity {
		holder = 1
	}
	return querier.Answer{Gauges: []querier.Gauge{
		{Name: "holder", Value: holder},
		{Name: "claim-token", Value: float64(claimer.token)},
	}}
}
