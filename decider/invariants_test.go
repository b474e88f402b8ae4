package decider_test

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"corianderroad/classifier"
	"corianderroad/commander"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

const serviceText = `organisation: mallet
operator-token-digest: 4f909e6b82973c1034715cdf39ebdb6cccee85a17f79dbe70f70a53508e0d062
services:
  - name: rota
    methods:
      - { name: swap, idempotent: false, run-time: 40ms, timeout: 3s }
      - { name: ladder, idempotent: true, run-time: 40ms, timeout: 3s }
workspaces:
  - name: county
    token-digest: 76b2ce73c74b271d87366e7a60d23418eee974b71e9b76d673c30dcc126b5b08
    weight: %d
`

// caller sends a request. If it has a key, the caller repeats it through other nodes
// until it succeeds, as a client library would.
type caller struct {
	*deployment
	key      identifier.Key
	method   identifier.Method
	body     string
	requests []identifier.Request
}

func (deployment *deployment) newCaller(number int, keyed, idempotent bool) *caller {
	caller := &caller{deployment: deployment, method: "swap", body: fmt.Sprintf("work %d", number)}
	if idempotent {
		caller.method = "ladder"
	}
	if keyed {
		caller.key = deployment.newKey(number)
	}
	return caller
}

// newKey returns a UUIDv7 that is issued at the current virtual time.
func (deployment *deployment) newKey(number int) identifier.Key {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(deployment.now.UnixMilli())<<16)
	binary.BigEndian.PutUint64(id[8:], uint64(number))
	id[6], id[8] = 0x70, 0x80
	return identifier.Key(id.String())
}

// send sends the request to an entry node and checks its answer 4 s later.
func (caller *caller) send(entry *process) {
	if !entry.isUp {
		caller.retry()
		return
	}
	request := identifier.Request(fmt.Sprintf("%s/%d", caller.body, len(caller.requests)))
	caller.requests = append(caller.requests, request)
	caller.openRequests[request] = entry
	entry.deliver(messenger.CallArrived{Request: request, Call: commander.Call{
		Workspace: "county", Service: "rota", Method: caller.method, Key: caller.key, Idempotent: caller.method == "ladder",
		Deadline: caller.now.Add(3 * time.Second), Body: []byte(caller.body),
	}})
	caller.after(4*time.Second, func() {
		if answers := caller.answers[request]; len(answers) == 0 || answers[0].Err != nil {
			caller.retry()
		}
	})
}

func (caller *caller) retry() {
	if caller.key != "" && len(caller.requests) < 4 {
		caller.after(time.Duration(caller.random.IntN(500))*time.Millisecond, func() {
			caller.send(caller.nodes[caller.random.IntN(len(caller.nodes))])
		})
	}
}

// drawFaults draws up to six faults that begin within the duration and schedules
// their beginnings and ends.
func (deployment *deployment) drawFaults(t *rapid.T, duration time.Duration) {
	kinds := []string{"kill", "pause", "log outage", "lost appends", "part regions", "lose messages", "minion death", "lost answers", "minion leaves"}
	for index := range rapid.IntRange(0, 6).Draw(t, "faults") {
		kind := rapid.SampledFrom(kinds).Draw(t, fmt.Sprintf("kind %d", index))
		at := time.Duration(rapid.IntRange(0, int(duration/time.Millisecond)).Draw(t, "at")) * time.Millisecond
		length := time.Duration(rapid.IntRange(1, 12000).Draw(t, "length")) * time.Millisecond
		target := rapid.IntRange(0, 99).Draw(t, "target")
		process := deployment.nodes[target%len(deployment.nodes)]
		minion := deployment.minions[target%len(deployment.minions)]
		begin, end := deployment.newFault(kind, length, process, minion)
		deployment.after(at, begin)
		deployment.after(at+length, end)
	}
}

func (deployment *deployment) newFault(kind string, duration time.Duration, process *process, minion *fakeMinion) (begin, end func()) {
	log := deployment.log
	switch kind {
	case "kill":
		return process.kill, func() {
			if !process.isUp {
				process.start()
			}
		}
	case "pause":
		return func() { process.pausedUntil = process.now.Add(duration) }, func() {}
	case "log outage":
		return func() { log.isUnavailable = true }, func() { log.isUnavailable = false }
	case "lost appends":
		return func() { log.answerLossRate, log.duplicateRate = 0.5, 0.3 }, func() { log.answerLossRate, log.duplicateRate = 0, 0 }
	case "part regions":
		return func() { deployment.partitioned = true }, func() { deployment.partitioned = false }
	case "lose messages":
		return func() { deployment.lossRate = 0.2 }, func() { deployment.lossRate = 0 }
	case "minion death":
		return func() { minion.isDead = true }, func() { minion.isDead = false }
	case "lost answers":
		return func() { deployment.setAnswerLossRate(0.5) }, func() { deployment.setAnswerLossRate(0) }
	default:
		return func() { minion.isLeaving, minion.leftAt = true, minion.now }, func() { minion.isLeaving = false }
	}
}

func (deployment *deployment) publish(number int, entry *process, base identifier.Offset) identifier.Request {
	request := identifier.Request(fmt.Sprintf("publication %d", number))
	entry.deliver(messenger.CommandArrived{Request: request, Command: commander.Publish{
		Organisation: "mallet", Base: base, Text: fmt.Appendf(nil, serviceText, number+1),
	}})
	return request
}

const (
	faultDuration    = 15 * time.Second
	recoveryDuration = 40 * time.Second
)

// TestServiceRequestInvariants guards against a request that runs twice, a request
// that ran but is refused as not run, an answer that is missing, repeated or meant
// for another caller, a minion with more requests than slots, and new requests at a
// minion that has left. It injects random faults of nodes, network, log and minions
// while the configuration changes.
func TestServiceRequestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		deployment := newDeployment(rapid.Uint64().Draw(t, "seed"), 5)
		deployment.runFor(3 * time.Second)
		deployment.publish(0, deployment.nodes[0], 0)
		deployment.runFor(3 * time.Second)
		deployment.drawFaults(t, faultDuration)
		var callers []*caller
		for number := range rapid.IntRange(1, 25).Draw(t, "calls") {
			caller := deployment.newCaller(number, number%3 != 0, number%4 == 1)
			callers = append(callers, caller)
			entry := deployment.nodes[rapid.IntRange(0, 4).Draw(t, "entry")]
			at := time.Duration(rapid.IntRange(0, int(faultDuration/time.Millisecond)).Draw(t, "sent")) * time.Millisecond
			deployment.after(at, func() {
				if caller.key != "" {
					caller.key = deployment.newKey(number)
				}
				caller.send(entry)
			})
		}
		for number := range rapid.IntRange(0, 4).Draw(t, "publications") {
			entry := deployment.nodes[rapid.IntRange(0, 4).Draw(t, "publisher")]
			at := time.Duration(rapid.IntRange(0, int(faultDuration/time.Millisecond)).Draw(t, "published")) * time.Millisecond
			deployment.after(at, func() {
				if entry.isUp {
					deployment.publish(number+1, entry, entry.version("mallet"))
				}
			})
		}
		deployment.runFor(faultDuration + recoveryDuration)
		for _, caller := range callers {
			caller.check(t)
		}
		for _, minion := range deployment.minions {
			if minion.peak > minionSlots {
				t.Fatalf("%s ran %d requests in %d slots", minion.name, minion.peak, minionSlots)
			}
			if minion.lateStarts > 0 {
				t.Fatalf("%s began %d requests more than %s after it left", minion.name, minion.lateStarts, leavingGracePeriod)
			}
		}
	})
}

func (caller *caller) check(t *rapid.T) {
	var runs []execution
	for _, minion := range caller.minions {
		for _, execution := range minion.executions {
			for _, request := range caller.requests {
				if execution.request == request {
					runs = append(runs, execution)
				}
			}
		}
	}
	if caller.method == "swap" && len(runs) > 1 {
		t.Fatalf("%s ran %d times: %v", caller.body, len(runs), runs)
	}
	for index, request := range caller.requests {
		answers := caller.answers[request]
		if len(answers) > 1 || len(answers) == 0 && !caller.abandoned[request] {
			t.Fatalf("%s got %d answers", request, len(answers))
		}
		if len(answers) == 0 {
			continue
		}
		answer := answers[0]
		if answer.Err == nil && string(answer.Body) != "answer to "+caller.body {
			t.Fatalf("%s got the answer %q", request, answer.Body)
		}
		if answer.Err == nil || answer.Err.Code.Execution() != classifier.NotRun {
			continue
		}
		for _, run := range runs {
			// The refusal of a request that repeats a key does not state whether the
			// request ran.
			if run.request == request && (index == 0 || caller.key == "") {
				t.Fatalf("%s was refused with %v and ran at %s", request, answer.Err, run.at)
			}
		}
	}
}

// TestConfigurationNeverReverts guards against two accepted publications on one
// base, a node that goes back to an earlier version, and an accepted version that is
// not in force everywhere 7 s after the faults have ended.
func TestConfigurationNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		deployment := newDeployment(rapid.Uint64().Draw(t, "seed"), 5)
		deployment.runFor(3 * time.Second)
		deployment.drawFaults(t, faultDuration)
		histories := make(map[*process]versionHistory)
		bases := make(map[identifier.Request]identifier.Offset)
		for number := range rapid.IntRange(1, 10).Draw(t, "publications") {
			entry := deployment.nodes[rapid.IntRange(0, 4).Draw(t, "entry")]
			pause := time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond
			if entry.isUp {
				base := entry.version("mallet")
				bases[deployment.publish(number, entry, base)] = base
			}
			for elapsed := time.Duration(0); elapsed <= pause; elapsed += 250 * time.Millisecond {
				deployment.runFor(250 * time.Millisecond)
				deployment.checkVersions(t, histories)
			}
		}
		deployment.runFor(faultDuration + 12*time.Second) // all faults have ended
		deployment.runFor(7 * time.Second)
		deployment.checkVersions(t, histories)
		deployment.checkPublications(t, bases)
	})
}

// versionHistory holds the versions that were observed on one node.
type versionHistory struct {
	incarnation int
	// newest is the last version of the incarnation, highest that of all incarnations.
	newest  identifier.Offset
	highest identifier.Offset
}

func (deployment *deployment) checkVersions(t *rapid.T, histories map[*process]versionHistory) {
	for _, process := range deployment.nodes {
		if !process.isUp {
			continue
		}
		history := histories[process]
		if history.incarnation != process.incarnation {
			history.incarnation, history.newest = process.incarnation, 0
		}
		version := process.version("mallet")
		// A restarted node has no configuration, and serves no requests, until it
		// has read one.
		if version < history.newest || version != 0 && version < history.highest {
			t.Fatalf("%s went back from version %d to %d", process.identity.Node, history.highest, version)
		}
		history.newest, history.highest = version, max(version, history.highest)
		histories[process] = history
	}
}

func (deployment *deployment) checkPublications(t *rapid.T, bases map[identifier.Request]identifier.Offset) {
	acceptedByBase := make(map[identifier.Offset]identifier.Request)
	var newest identifier.Offset
	for request, base := range bases {
		answers := deployment.commandAnswers[request]
		if len(answers) > 1 {
			t.Fatalf("%s got %d answers", request, len(answers))
		}
		if len(answers) == 0 || answers[0].Err != nil {
			continue
		}
		if other, ok := acceptedByBase[base]; ok {
			t.Fatalf("%s and %s were both accepted on base %d", request, other, base)
		}
		acceptedByBase[base] = request
		newest = max(newest, answers[0].Offset)
	}
	first := deployment.nodes[0].version("mallet")
	for _, process := range deployment.nodes {
		if version := process.version("mallet"); version != first || version < newest {
			t.Fatalf("%s is at version %d, %s at %d, accepted was %d",
				process.identity.Node, version, deployment.nodes[0].identity.Node, first, newest)
		}
	}
}
