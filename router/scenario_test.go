package router

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"corianderroad/classifier"
	"corianderroad/commander"
	"corianderroad/estimator"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/querier"
)

func (simulation *simulation) issueSwaps(count int, period time.Duration, runTime time.Duration) {
	for number := range count {
		simulation.after(simulation.randomDuration(0, period), func() {
			var open []*simNode
			for _, node := range simulation.nodes {
				if node.up && node.state == messenger.Alive && node.ready {
					open = append(open, node)
				}
			}
			call := commander.Call{Workspace: "a", Service: "rota", Method: "swap", Deadline: simulation.now.Add(5 * time.Second)}
			simulation.issue(open[simulation.random.IntN(len(open))], fmt.Sprintf("swap%d", number), call, runTime)
		})
	}
}

// TestTakeover guards against a new owner that dispatches before the minion has
// reported the slots that the previous owner left busy, and against reuse of a slot
// while an attempt that timed out still runs.
func TestTakeover(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		simulation := newSimulation(rapid.Uint64().Draw(t, "seed"), faults{}, 3, 3, twoRegions[:1], nil)
		simulation.runUntil(epoch.Add(time.Second))
		simulation.issueSwaps(rapid.IntRange(50, 200).Draw(t, "requests"), 2*time.Second, time.Second)
		for number := range 3 {
			call := commander.Call{Workspace: "b", Service: "rota", Method: "swap", Deadline: simulation.now.Add(500 * time.Millisecond)}
			simulation.issue(simulation.nodes[2], fmt.Sprintf("straggler%d", number), call, 8*time.Second)
		}
		simulation.after(simulation.randomDuration(0, 2*time.Second), func() {
			simulation.nodes[0].up = false
			simulation.nodes[0].identity.Incarnation++
			// The other nodes detect the failure after the node's last messages have arrived.
			simulation.after(20*time.Millisecond, func() {
				for _, other := range simulation.nodes {
					simulation.sendMembers(other)
				}
			})
		})
		simulation.runUntil(epoch.Add(time.Minute))
		simulation.checkInvariants()
		if simulation.busyRefusals > 0 || len(simulation.failures) > 0 {
			t.Fatalf("minions refused %d requests because all slots were busy; %s", simulation.busyRefusals, strings.Join(simulation.failures, "\n"))
		}
	})
}

// TestPlannedStop guards against a planned stop that interrupts a request or that
// does not complete.
func TestPlannedStop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		simulation := newSimulation(rapid.Uint64().Draw(t, "seed"), faults{}, 4, 4, twoRegions, nil)
		simulation.runUntil(epoch.Add(time.Second))
		simulation.issueSwaps(rapid.IntRange(100, 1500).Draw(t, "requests"), 12*time.Second, 100*time.Millisecond)
		for index, node := range simulation.nodes {
			simulation.after(time.Duration(index)*3*time.Second, func() {
				// The burst ensures that requests are queued when the stop begins.
				for number := range 60 {
					call := commander.Call{Workspace: "b", Service: "rota", Method: "swap", Deadline: simulation.now.Add(5 * time.Second)}
					simulation.issue(node, fmt.Sprintf("burst%d-%d", index, number), call, 100*time.Millisecond)
				}
				simulation.drain(node)
			})
			simulation.after(time.Duration(index)*3*time.Second+2500*time.Millisecond, func() {
				for _, gauge := range node.router.View(simulation.now, querier.Query{Kind: querier.Status}).Gauges {
					if gauge.Name == "open-calls" && gauge.Value != 0 {
						simulation.fail("%s has %v open calls 2.5 s after its stop began", node.identity.Node, gauge.Value)
					}
				}
				simulation.kill(node)
				simulation.restart(node)
			})
		}
		simulation.runUntil(epoch.Add(time.Minute))
		simulation.checkInvariants()
		for _, request := range simulation.issued {
			if request.err != nil {
				simulation.fail("%s was interrupted: %v", request.id, request.err)
			}
		}
		if len(simulation.failures) > 0 {
			t.Fatal(strings.Join(simulation.failures[:min(5, len(simulation.failures))], "\n"))
		}
	})
}

// TestDeterminism guards against a decision that depends on the order of a map:
// a seed would no longer reproduce a failure.
func TestDeterminism(t *testing.T) {
	simulate := func() string {
		simulation := newSimulation(5, faults{lost: 3, duplicated: 5, unsent: 3}, 4, 4, twoRegions, nil)
		simulation.runUntil(epoch.Add(time.Second))
		for number := range 300 {
			simulation.after(simulation.randomDuration(0, 6*time.Second), func() { simulation.beginOperation(number) })
		}
		for range 6 {
			simulation.after(simulation.randomDuration(0, 6*time.Second), simulation.injectFault)
		}
		simulation.runUntil(epoch.Add(time.Minute))
		return fmt.Sprint(simulation.steps, simulation.counters, simulation.runs)
	}
	quicktest.Assert(t, simulate(), quicktest.Equals, simulate())
}

// TestKeyReuse guards against disclosure of an outcome to a caller who used the key
// of another request, at the same or another node.
func TestKeyReuse(t *testing.T) {
	c := quicktest.New(t)
	simulation := newSimulation(1, faults{}, 2, 2, twoRegions[:1], nil)
	simulation.runUntil(epoch.Add(time.Second))
	call := commander.Call{Workspace: "a", Service: "rota", Method: "swap", Key: simulation.newKey(1), Deadline: simulation.now.Add(5 * time.Second)}
	simulation.issue(simulation.nodes[0], "first", call, 10*time.Millisecond)
	simulation.runUntil(simulation.now.Add(time.Second))
	same := simulation.issue(simulation.nodes[1], "first", call, 10*time.Millisecond)
	foreign := call
	foreign.Workspace = "b"
	simulation.runUntil(simulation.now.Add(500 * time.Millisecond))
	refused := []*simRequest{
		simulation.issue(simulation.nodes[0], "first", foreign, 0), simulation.issue(simulation.nodes[1], "first", foreign, 0),
		simulation.issue(simulation.nodes[0], "second", call, 0), simulation.issue(simulation.nodes[1], "second", call, 0),
	}
	simulation.runUntil(simulation.now.Add(2 * time.Second))
	c.Assert(simulation.failures, quicktest.HasLen, 0)
	c.Assert(simulation.runs["first"], quicktest.Equals, 1)
	c.Assert(same.answers == 1 && same.err == nil, quicktest.IsTrue)
	for _, request := range refused {
		c.Assert(request.err, quicktest.IsNotNil)
		c.Assert(request.err.Code, quicktest.Equals, classifier.BadKey)
	}
}

// TestStateIsBounded guards against state that grows without a bound, and against a
// queue that one workspace or long requests fill completely.
func TestStateIsBounded(t *testing.T) {
	c := quicktest.New(t)
	simulation := newSimulation(1, faults{}, 1, 1, twoRegions[:1], nil)
	simulation.runUntil(epoch.Add(time.Second))
	issue := func(workspace identifier.Workspace, method identifier.Method) *simRequest {
		call := commander.Call{Workspace: workspace, Service: "rota", Method: method, Deadline: simulation.now.Add(time.Hour)}
		return simulation.issue(simulation.nodes[0], fmt.Sprintf("op%d", len(simulation.issued)), call, 10*time.Second)
	}
	for range 2 * maxOpenCalls {
		issue("a", "draw")
	}
	router := simulation.nodes[0].router
	c.Assert(router.queues["rota"].classes[estimator.Long].count, quicktest.Equals, maxQueuedLong)
	c.Assert(issue("b", "draw").answers, quicktest.Equals, 0, quicktest.Commentf("a workspace with few requests is admitted"))
	c.Assert(issue("a", "swap").answers, quicktest.Equals, 0, quicktest.Commentf("a short request is admitted"))
	for range 2 * maxOpenCalls {
		issue("a", "swap")
	}
	c.Assert(router.queues["rota"].length(), quicktest.Equals, maxQueued)
	c.Assert(router.callBytes > 0 && router.attemptBytes > 0, quicktest.IsTrue)
	router.callBytes, router.attemptBytes = maxBytes-1, 0
	c.Assert(issue("b", "look").err.Code, quicktest.Equals, classifier.TooManyCalls)
	router.callBytes, router.attemptBytes = 0, maxBytes-1
	c.Assert(issue("b", "look").err.Code, quicktest.Equals, classifier.QueueFull)
	outcomes := newOutcomes()
	for number := range 2 * maxOutcomes {
		key := identifier.Key(fmt.Sprint(number))
		outcomes.open(key, "a", 1)
		outcomes.complete(simulation.now, key, nil, make([]byte, 2000))
	}
	c.Assert(outcomes.byKey, quicktest.HasLen, maxOutcomes)
	c.Assert(outcomes.bytes <= maxOutcomeBytes, quicktest.IsTrue)
	c.Assert(outcomes.byKey[identifier.Key(fmt.Sprint(maxOutcomes))].err.Code, quicktest.Equals, classifier.AlreadyRun)
	outcomes.trim(simulation.now.Add(outcomeRetention + time.Second))
	c.Assert(outcomes.byKey, quicktest.HasLen, 0)
	history := newHistory()
	for number := range maxHistory {
		c.Assert(history.isFull(simulation.now), quicktest.IsFalse)
		history.add(simulation.now, attemptID{identifier.Request(fmt.Sprint(number)), 1})
	}
	c.Assert(history.isFull(simulation.now), quicktest.IsTrue)
	c.Assert(history.isFull(simulation.now.Add(historyRetention+time.Second)), quicktest.IsFalse)
}

// TestFairShares guards against an order in which a workspace that floods the queue
// uses the slot time of the others.
func TestFairShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue := newQueue()
		weights := map[identifier.Workspace]int{"a": 1, "b": rapid.IntRange(1, 4).Draw(t, "weight")}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var sequence uint64
		for name, weight := range weights {
			for range 400 {
				sequence++
				queue.push(&attempt{call: commander.Call{Workspace: name}, estimate: time.Second, sequence: sequence}, weight)
			}
		}
		used := map[identifier.Workspace]time.Duration{}
		for range 300 {
			next := queue.next(estimator.Short, rules{})
			queue.remove(next)
			name := next.call.Workspace
			ran := time.Duration(random.Int64N(int64(2 * time.Second)))
			queue.shares.startRunning(epoch, name, estimator.Short, next.estimate)
			queue.shares.endRunning(name, next.estimate, ran)
			used[name] += ran
		}
		difference := used["b"]/time.Duration(weights["b"]) - used["a"]
		// The use can differ by at most two run times of 2 s.
		if difference.Abs() > 4*time.Second {
			t.Fatalf("slot time used: %v", used)
		}
	})
}
