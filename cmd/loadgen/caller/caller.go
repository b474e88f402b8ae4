// Package caller sends calls and repeats them where that is safe.
package caller

import (
	"context"
	"net/netip"
	"time"

	"corianderroad/cmd/loadgen/checker"
	"corianderroad/cmd/loadgen/planner"
)

const (
	// maxTries bounds how often one call is sent.
	maxTries = 8
	// answerGrace is how long after the timeout a node may still state what
	// became of a call.
	answerGrace = 3 * time.Second
	// The wait before a repetition is the hint, or doubles from minPause on, so
	// that the tries last through a restart of all nodes; at most maxPause.
	minPause = 50 * time.Millisecond
	maxPause = 2 * time.Second
)

// Verdict is what became of a call.
type Verdict uint8

// Verdicts about a call.
const (
	// Whole says that the caller got its own answer.
	Whole Verdict = iota
	// Refused says that the caller was told why it got no answer.
	Refused
	// Broken says that the connection or the entry node failed, and that the
	// call must not be repeated: it has no key and is not idempotent.
	Broken
	// Lost says that the caller was told nothing before the timeout.
	Lost
	// Incomplete says that a part of an answer was delivered as a whole one.
	Incomplete
	// Foreign says that the answer to another call was delivered.
	Foreign
	// Abandoned says that loadgen itself ended first.
	Abandoned
)

// Result is the outcome of one call.
type Result struct {
	Call    planner.Call
	Verdict Verdict
	// Code is the name of the last refusal.
	Code string
	// Retries are the reasons of the repetitions.
	Retries []string
	// SurelyNotRun says that every try was refused as not run.
	SurelyNotRun bool
	Latency      time.Duration
}

// Balancer chooses the entry node of a try.
type Balancer interface {
	// Choose returns an entry, another one than previous if there is one.
	Choose(previous netip.AddrPort) netip.AddrPort
	// IsReady returns whether an entry reports itself ready.
	IsReady(entry netip.AddrPort) bool
}

// Sender sends one try and returns its reply.
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
	result := Result{Call: call, SurelyNotRun: true}
	// A call that is repeated may take as long as two timeouts.
	giveUp := call.Due.Add(2*call.Kind.Timeout + 2*answerGrace)
	var entry netip.AddrPort
	for {
		entry = caller.balancer.Choose(entry)
		call.Repeated = len(result.Retries) > 0
		reply := caller.try(ctx, entry, call)
		result.Verdict, result.Code = reply.Verdict, reply.Code
		result.SurelyNotRun = result.SurelyNotRun && reply.NotRun
		pause, again := repetition(call, reply, len(result.Retries))
		again = again && len(result.Retries)+1 < maxTries && time.Now().Add(pause).Before(giveUp)
		if again && sleep(ctx, pause) {
			result.Retries = append(result.Retries, reply.Code)
			continue
		}
		if ctx.Err() != nil && result.Verdict != Whole {
			result.Verdict = Abandoned
		}
		result.Latency = time.Since(call.Due)
		return result
	}
}

func (caller *Caller) try(ctx context.Context, entry netip.AddrPort, call planner.Call) Reply {
	ctx, cancel := context.WithTimeout(ctx, call.Kind.Timeout+answerGrace)
	defer cancel()
	reply := caller.sender.Send(ctx, entry, call)
	if reply.Code == noAnswer && !caller.balancer.IsReady(entry) {
		// The node itself is dead or paused: nobody could answer on this connection.
		reply.Verdict, reply.Code = Broken, "entry-failed"
	}
	return reply
}

// repetition returns whether a call that was repeated a number of times may be
// sent again, and after which pause.
func repetition(call planner.Call, reply Reply, repeated int) (time.Duration, bool) {
	repeatable := call.Key != "" || call.Kind.Idempotent
	pause := min(max(reply.RetryAfter, minPause<<repeated), maxPause)
	switch reply.Verdict {
	case Broken, Lost:
		return pause, repeatable || reply.NotRun
	case Refused:
		if reply.NotRun {
			return pause, reply.RetryAfter > 0
		}
		unsettled := reply.Code == "in-progress" || reply.Code == "outcome-unknown" || reply.Code == "timed-out"
		return pause, repeatable && unsettled
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

// judge turns the body of an answer into a reply.
func judge(call planner.Call, successful bool, body []byte) Reply {
	if successful {
		switch checker.Answer(call, body) {
		case checker.Whole:
			return Reply{Verdict: Whole}
		case checker.Foreign:
			return Reply{Verdict: Foreign, Code: "foreign-answer"}
		default:
			return Reply{Verdict: Incomplete, Code: "incomplete-answer"}
		}
	}
	refusal, ok := checker.Refused(body)
	if !ok {
		return Reply{Verdict: Incomplete, Code: "unreadable-refusal"}
	}
	return Reply{Verdict: Refused, Code: refusal.Name, NotRun: refusal.Ran == "not-run", RetryAfter: refusal.RetryAfter}
}
