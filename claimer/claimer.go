// Package claimer decides which entry VM is the holder, the one that places
// tasks. A Claimer is the state machine of one node; the platform's store
// orders the claims of all nodes.
package claimer

import (
	"math/rand/v2"
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/querier"
)

// Times of a claim. A holder is unsure before another node may claim, because
// RenewEvery and an answer of the store fit into SureFor, and SureFor is
// shorter than Silence.
const (
	// RenewEvery is the time from one renewal to the next.
	RenewEvery = 400 * time.Millisecond
	// SureFor is how long after the sending of a confirmed renewal the holder
	// starts new work.
	SureFor = 1100 * time.Millisecond
	// Silence is how long the claims must be read without a renewal before
	// another node claims.
	Silence = 1400 * time.Millisecond
	// readGap is the time without a completed read after which the silence is
	// counted anew: it was not the holder that was silent, but the store.
	readGap = 1200 * time.Millisecond
	// retryPause is the time between two attempts of the same append.
	retryPause = 100 * time.Millisecond
	// delayPerTrip makes nodes near the store claim first, by the time that a
	// read takes them.
	delayPerTrip  = 4
	longestDelay  = 400 * time.Millisecond
	longestJitter = 60 * time.Millisecond
)

// Claimer is not safe for concurrent use.
type Claimer struct {
	node        identifier.Node
	incarnation identifier.Incarnation
	delay       time.Duration
	// handicap and jitter are added to the delay, so that strong nodes claim first
	// and those of one failure domain not together.
	handicap time.Duration
	jitter   time.Duration

	// newest is the newest claim that was read, nil before the first.
	newest *messenger.Claim
	offset identifier.Offset
	end    identifier.Offset
	// quietSince is the start of the present span of reads without a renewal.
	quietSince time.Time
	lastRead   time.Time

	token       identifier.Term
	confirmedAt time.Time
	// sent is the append under way or the last one, sentAt when it was sent.
	sent     messenger.Claim
	sentAt   time.Time
	underWay bool
	notUntil time.Time
	leaving  bool
	// releasing is the token of a claim that is to be released, zero for none.
	releasing identifier.Term
}

// New returns the machine of a node. The handicap delays its claims: the weaker
// the node, the longer.
func New(node identifier.Node, incarnation identifier.Incarnation, handicap time.Duration, source *rand.Rand) *Claimer {
	return &Claimer{
		node: node, incarnation: incarnation, delay: longestDelay, handicap: handicap,
		jitter: time.Duration(source.Int64N(int64(longestJitter))),
	}
}

// Step takes an event and returns the actions that it causes.
func (claimer *Claimer) Step(now time.Time, event messenger.Event) []messenger.Action {
	var actions []messenger.Action
	switch event := event.(type) {
	case messenger.ClaimRead:
		actions = claimer.read(now, event)
	case messenger.ClaimReadFailed:
	case messenger.ClaimAppended:
		actions = claimer.appended(now, event)
	case messenger.HolderFenced:
		if claimer.token != 0 && event.Token == claimer.token {
			actions = claimer.resign(now, "refused by a minion that knows a newer token")
		}
	case messenger.DrainArrived:
		actions = claimer.leave(now)
	}
	return append(actions, claimer.advance(now)...)
}

// read takes the newest claim. Reads do not come out of order.
func (claimer *Claimer) read(now time.Time, read messenger.ClaimRead) []messenger.Action {
	if read.RoundTrip > 0 {
		claimer.delay = min(delayPerTrip*read.RoundTrip, longestDelay)
	}
	if now.Sub(claimer.lastRead) > readGap {
		claimer.quietSince = now
	}
	claimer.lastRead = now
	claimer.end = max(claimer.end, read.End)
	if read.Claim == nil || (claimer.newest != nil && read.Offset <= claimer.offset) {
		return nil
	}
	claimer.newest, claimer.offset = read.Claim, read.Offset
	claimer.quietSince = now
	if claimer.isOwn(read.Claim) {
		return claimer.confirmOwn(read)
	}
	if claimer.token != 0 && claimer.newestToken() > claimer.token {
		return claimer.resign(now, "another node has claimed")
	}
	return nil
}

// confirmOwn takes a record of this node whose append brought no answer.
func (claimer *Claimer) confirmOwn(read messenger.ClaimRead) []messenger.Action {
	if claimer.underWay || read.Claim.Released || read.Claim.Serial != claimer.sent.Serial || claimer.confirmedAt.Equal(claimer.sentAt) {
		return nil
	}
	return claimer.confirm(claimer.newestToken(), claimer.sentAt)
}

func (claimer *Claimer) confirm(token identifier.Term, sentAt time.Time) []messenger.Action {
	var actions []messenger.Action
	if claimer.token == 0 {
		actions = append(actions, messenger.Decision{
			Subject: string(claimer.node), Outcome: "holder-began", Reason: "claim is durable", Version: int64(token),
		})
	}
	claimer.token, claimer.confirmedAt = token, sentAt
	return append(actions, messenger.HolderChanged{Token: token, ConfirmedAt: sentAt, Leaving: claimer.leaving})
}

func (claimer *Claimer) appended(now time.Time, appended messenger.ClaimAppended) []messenger.Action {
	claimer.underWay = false
	claimer.sentAt = appended.SentAt
	switch {
	case appended.Err == nil:
		claim := appended.Claim
		claimer.newest, claimer.offset = &claim, appended.Offset
		claimer.end = max(claimer.end, appended.Offset+1)
		claimer.quietSince = now
		if claim.Released {
			claimer.releasing = 0
			return nil
		}
		if claimer.leaving {
			return nil
		}
		return claimer.confirm(claimer.newestToken(), appended.SentAt)
	case appended.Err.Code == classifier.Conflict:
		// The read of the claims tells what stands there now.
		claimer.notUntil = now.Add(retryPause)
	default:
		claimer.notUntil = now.Add(retryPause)
		return []messenger.Action{messenger.Count{Counter: messenger.Retries, Reason: "claim-" + appended.Err.Code.Name()}}
	}
	return nil
}

// advance appends a claim or a renewal if it is time.
func (claimer *Claimer) advance(now time.Time) []messenger.Action {
	due := claimer.due()
	if claimer.underWay || due.IsZero() || now.Before(due) || claimer.blind(now) {
		return nil
	}
	claim := messenger.Claim{
		Node: claimer.node, Incarnation: claimer.incarnation, Serial: claimer.sent.Serial + 1,
		Token: max(claimer.token, claimer.releasing), Released: claimer.releasing != 0,
	}
	claimer.sent, claimer.sentAt, claimer.underWay = claim, now, true
	return []messenger.Action{messenger.AppendClaim{Claim: claim, At: claimer.end}}
}

// blind reports whether a node that is not the holder has not read the claims
// for so long that their silence proves nothing.
func (claimer *Claimer) blind(now time.Time) bool {
	return claimer.token == 0 && claimer.releasing == 0 && now.Sub(claimer.lastRead) > readGap
}

// due returns when the node appends next, the zero time for never.
func (claimer *Claimer) due() time.Time {
	if claimer.releasing != 0 {
		return later(claimer.sentAt, claimer.notUntil)
	}
	if claimer.leaving || claimer.lastRead.IsZero() {
		return time.Time{}
	}
	due := claimer.quietSince.Add(Silence + claimer.delay + claimer.handicap + claimer.jitter)
	if claimer.token != 0 {
		due = claimer.confirmedAt.Add(RenewEvery)
	} else if claimer.newest == nil || claimer.newest.Released || claimer.isEarlierLife(claimer.newest) {
		due = claimer.quietSince.Add(claimer.delay + claimer.handicap + claimer.jitter)
	}
	return later(due, claimer.notUntil)
}

func later(one, other time.Time) time.Time {
	if one.Before(other) {
		return other
	}
	return one
}

// Next returns when the machine wants a Tick.
func (claimer *Claimer) Next() time.Time {
	due := claimer.due()
	if claimer.underWay || claimer.blind(due) {
		return time.Time{} // the next answer or read comes first
	}
	return due
}

func (claimer *Claimer) resign(now time.Time, reason string) []messenger.Action {
	token := claimer.token
	claimer.token = 0
	claimer.quietSince = now
	return []messenger.Action{
		messenger.HolderChanged{},
		messenger.Decision{Subject: string(claimer.node), Outcome: "holder-ended", Reason: reason, Version: int64(token)},
	}
}

// leave ends the node's role. The claim is released once no append is under
// way, so that another node takes it at its next read.
func (claimer *Claimer) leave(now time.Time) []messenger.Action {
	if claimer.leaving {
		return nil
	}
	claimer.leaving = true
	if claimer.token == 0 {
		return nil
	}
	claimer.releasing = claimer.token
	return claimer.resign(now, "the node is stopping")
}

func (claimer *Claimer) isOwn(claim *messenger.Claim) bool {
	return claim.Node == claimer.node && claim.Incarnation == claimer.incarnation
}

// isEarlierLife reports whether an earlier process of this node made the claim.
// It has ended, so that there is nothing to wait for.
func (claimer *Claimer) isEarlierLife(claim *messenger.Claim) bool {
	return claim.Node == claimer.node && claim.Incarnation < claimer.incarnation
}

// newestToken returns the token of the newest claim.
func (claimer *Claimer) newestToken() identifier.Term {
	if claimer.newest.Token != 0 {
		return claimer.newest.Token
	}
	return identifier.Term(claimer.offset) + 1
}

// View returns the gauges of the claim.
func (claimer *Claimer) View(now time.Time, _ querier.Query) querier.Answer {
	holder := 0.0
	if claimer.token != 0 && now.Sub(claimer.confirmedAt) <= SureFor {
		holder = 1
	}
	return querier.Answer{Gauges: []querier.Gauge{
		{Name: "holder", Value: holder},
		{Name: "claim-token", Value: float64(claimer.token)},
	}}
}
