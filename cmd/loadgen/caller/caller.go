// Package caller sends calls and retries them where that is safe.
package caller

import (
	"context"
	"net/netip"
	"time"

	"corianderroad/cmd/loadgen/checker"
	"corianderroad/cmd/loadgen/planner"
)

const (
	// maxAttempts bounds how often one call is sent.
	maxAttempts = 8
	// responseGrace is how long after the timeout a node may still report the
	// outcome of a call.
	responseGrace = 3 * time.Second
	// The pause before a retry is the retry delay from the refusal, or doubles with
	// each retry, starting at minPause and up to maxPause. With this backoff the
	// attempts outlast a restart of all nodes.
	minPause = 50 * time.Millisecond
	maxPause = 2 * time.Second
)

// Verdict is the outcome of a call.
type Verdict uint8

// Verdicts on a call.
const (
	// Answered means that the caller received the answer to its call.
	Answered Verdict = iota
	// Refused means that the caller received the reason for which there is no answer.
	Refused
	// Broken means that the connection or the entry node failed, and that the
	// call must not be retried: it has no key and is not idempotent.
	Broken
	// Lost means that the caller received no response before the timeout.
	Lost
	// Incomplete means that an incomplete answer was delivered as a complete one.
	Incomplete
	// Foreign means that the answer to another call was delivered.
	Foreign
	// Abandoned means that loadgen itself ended first.
	Abandoned
)

// Result is the outcome of one call.
type Result struct {
	Call    planner.Call
	Verdict Verdict
	// Code is the name of the last refusal.
	Code string
	// Retries are the reasons of the retries.
	Retries []string
	// CertainlyNotRun is true if every attempt was refused as not run.
	CertainlyNotRun bool
	Latency         time.Duration
}

// Balancer chooses the entry node of an attempt.
type Balancer interface {
	// Choose returns an entry that differs from previous, if there is one.
	Choose(previous netip.AddrPort) netip.AddrPort
	// IsReady reports whether an entry was ready when it was last checked.
	IsReady(entry netip.AddrPort) bool
}

// Sender sends one attempt and returns its reply.
type Sender interface {
	Send(ctx context.Context, entry netip.AddrPort, call planner.Call) Reply
}

// Caller sends calls. It is safe for concurrent use.
type Caller struct {
	balancer Balancer
	sender   Sender
}

// New returns a Caller.
func New(balancer Balancer, sender Sender) *Caller {
	return &Caller{balancer: balancer, sender: sender}
}

// Call sends a call until it has a verdict.
func (caller *Caller) Call(ctx context.Context, call planner.Call) Result {
	result := Result{Call: call, CertainlyNotRun: true}
	// A call that is retried may last for up to two timeouts.
	deadline := call.Due.Add(2*call.Kind.Timeout + 2*responseGrace)
	var entry netip.AddrPort
	for {
		entry = caller.balancer.Choose(entry)
		call.Repeated = len(result.Retries) > 0
		reply := caller.attempt(ctx, entry, call)
		result.Verdict, result.Code = reply.Verdict, reply.Code
		result.CertainlyNotRun = result.CertainlyNotRun && reply.NotRun
		pause, retry := retryPause(call, reply, len(result.Retries))
		retry = retry && len(result.Retries)+1 < maxAttempts && time.Now().Add(pause).Before(deadline)
		if retry && sleep(ctx, pause) {
			result.Retries = append(result.Retries, reply.Code)
			continue
		}
		if ctx.Err() != nil && result.Verdict != Answered {
			result.Verdict = Abandoned
		}
		result.Latency = time.Since(call.Due)
		return result
	}
}

func (caller *Caller) attempt(ctx context.Context, entry netip.AddrPort, call planner.Call) Reply {
	ctx, cancel := context.WithTimeout(ctx, call.Kind.Timeout+responseGrace)
	defer cancel()
	reply := caller.sender.Send(ctx, entry, call)
	if reply.Code == noAnswer && !caller.balancer.IsReady(entry) {
		// The node itself is dead or paused, so that it could not respond.
		reply.Verdict, reply.Code = Broken, "entry-failed"
	}
	return reply
}

// retryPause returns whether a call may be sent again after a number of retries,
// and the pause before that.
func retryPause(call planner.Call, reply Reply, retries int) (time.Duration, bool) {
	retryable := call.Key != "" || call.Kind.Idempotent
	pause := min(max(reply.RetryAfter, minPause<<retries), maxPause)
	switch reply.Verdict {
	case Broken, Lost:
		return pause, retryable || reply.NotRun
	case Refused:
		if reply.NotRun {
			return pause, reply.RetryAfter > 0
		}
		unresolved := reply.Code == "in-progress" || reply.Code == "outcome-unknown" || reply.Code == "timed-out"
		return pause, retryable && unresolved
	default:
		return 0, false
	}
}

func sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// classifyResponse converts the body of a response to a reply.
func classifyResponse(call planner.Call, successful bool, body []byte) Reply {
	if successful {
		switch checker.CheckAnswer(call, body) {
		case checker.Valid:
			return Reply{Verdict: Answered}
		case checker.Foreign:
			return Reply{Verdict: Foreign, Code: "foreign-answer"}
		default:
			return Reply{Verdict: Incomplete, Code: "incomplete-answer"}
		}
	}
	refusal, ok := checker.ParseRefusal(body)
	if !ok {
		return Reply{Verdict: Incomplete, Code: "unreadable-refusal"}
	}
	return Reply{Verdict: Refused, Code: refusal.Name, NotRun: refusal.Ran == "not-run", RetryAfter: refusal.RetryAfter}
}
