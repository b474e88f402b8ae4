package caller

import (
	"context"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"corianderroad/cmd/loadgen/planner"
)

type scriptedEntries struct {
	replies []Reply
	sent    []netip.AddrPort
}

// Send implements Sender. After the last reply it returns that reply again.
func (scriptedEntries *scriptedEntries) Send(_ context.Context, entry netip.AddrPort, _ planner.Call) Reply {
	scriptedEntries.sent = append(scriptedEntries.sent, entry)
	return scriptedEntries.replies[min(len(scriptedEntries.sent), len(scriptedEntries.replies))-1]
}

// Choose implements Balancer.
func (*scriptedEntries) Choose(previous netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(netip.IPv6Loopback(), previous.Port()+1)
}

// IsReady implements Balancer: entries with an odd port have failed.
func (*scriptedEntries) IsReady(entry netip.AddrPort) bool { return entry.Port()%2 == 0 }

var possibleReplies = []Reply{
	{Verdict: Answered},
	{Verdict: Foreign},
	{Verdict: Incomplete},
	{Verdict: Broken, Code: "connection-broken"},
	{Verdict: Lost, Code: noAnswer},
	{Verdict: Lost, Code: "connection-refused", NotRun: true},
	{Verdict: Refused, Code: "queue-full", NotRun: true, RetryAfter: time.Second},
	{Verdict: Refused, Code: "bad-request", NotRun: true},
	{Verdict: Refused, Code: "outcome-unknown"},
	{Verdict: Refused, Code: "in-progress", RetryAfter: time.Second},
	{Verdict: Refused, Code: "already-run"},
}

// TestCallerRetriesOnlySafely guards against a load generator that causes a call to
// run twice, stops while a call is unresolved, or reports a call that may have run
// as certainly not run.
func TestCallerRetriesOnlySafely(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := &scriptedEntries{replies: rapid.SliceOfN(rapid.SampledFrom(possibleReplies), 1, 6).Draw(rt, "replies")}
		kind := planner.Kind{Idempotent: rapid.Bool().Draw(rt, "idempotent"), Timeout: 10 * time.Second}
		call := planner.Call{Kind: kind}
		if !kind.Idempotent && rapid.Bool().Draw(rt, "keyed") {
			call.Key = "key"
		}
		var result Result
		synctest.Test(t, func(*testing.T) {
			call.Due = time.Now()
			result = New(script, script).Call(context.Background(), call)
		})
		attempts := min(len(script.sent), len(script.replies))
		replies := script.replies[:attempts]
		last := replies[attempts-1]
		if failed := script.sent[len(script.sent)-1]; last.Code == noAnswer && !script.IsReady(failed) {
			last.Verdict = Broken
		}
		if result.Verdict != last.Verdict || len(result.Retries) != len(script.sent)-1 || len(script.sent) > maxAttempts {
			rt.Fatalf("%+v after %d attempts of %+v", result, len(script.sent), replies)
		}
		retryable := kind.Idempotent || call.Key != ""
		for _, reply := range replies[:attempts-1] {
			if final := reply.Verdict == Answered || reply.Verdict == Foreign || reply.Verdict == Incomplete; final {
				rt.Fatalf("retried after %+v", reply)
			}
			if !retryable && !reply.NotRun {
				rt.Fatalf("retried a call that may have run: %+v", reply)
			}
		}
		if len(script.sent) < maxAttempts && retryable && (last.Verdict == Broken || last.Code == "outcome-unknown") {
			rt.Fatalf("gave up after %d attempts with %+v", len(script.sent), last)
		}
		notRun := !slices.ContainsFunc(replies, func(reply Reply) bool { return !reply.NotRun })
		if result.CertainlyNotRun != notRun {
			rt.Fatalf("certainly not run is %v after %+v", result.CertainlyNotRun, replies)
		}
	})
}
