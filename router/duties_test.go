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

func (w *world) swaps(count int, over time.Duration, runTime time.Duration) {
	for number := range count {
		w.after(w.between(0, over), func() {
			var open []*simNode
			for _, node := range w.nodes {
				if node.up && node.state == messenger.Alive && node.ready {
					open = append(open, node)
				}
			}
			call := commander.Call{Workspace: "a", Service: "rota", Method: "swap", Deadline: w.now.Add(5 * time.Second)}
			w.issue(open[w.random.IntN(len(open))], fmt.Sprintf("swap%d", number), call, runTime)
		})
	}
}

// TestTakeover guards against a new owner that dispatches before it knows the
// slots that the last owner left busy, and against slots that are given out
// again while an attempt that timed out still runs.
func TestTakeover(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), faults{}, 3, 3, twoRegions[:1], nil)
		w.run(epoch.Add(time.Second))
		w.swaps(rapid.IntRange(50, 200).Draw(t, "requests"), 2*time.Second, time.Second)
		for number := range 3 {
			call := commander.Call{Workspace: "b", Service: "rota", Method: "swap", Deadline: w.now.Add(500 * time.Millisecond)}
			w.issue(w.nodes[2], fmt.Sprintf("straggler%d", number), call, 8*time.Second)
		}
		w.after(w.between(0, 2*time.Second), func() {
			w.nodes[0].up = false
			w.nodes[0].identity.Incarnation++
			// The others learn of it after what it sent last has arrived.
			w.after(20*time.Millisecond, func() {
				for _, other := range w.nodes {
					w.showMembers(other)
				}
			})
		})
		w.run(epoch.Add(time.Minute))
		w.check()
		if w.busy > 0 || len(w.failures) > 0 {
			t.Fatalf("a minion refused %d requests for want of a slot; %s", w.busy, strings.Join(w.failures, "\n"))
		}
	})
}

// TestPlannedStop guards against a planned stop that interrupts a request or
// that never comes to an end.
func TestPlannedStop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), faults{}, 4, 4, twoRegions, nil)
		w.run(epoch.Add(time.Second))
		w.swaps(rapid.IntRange(100, 1500).Draw(t, "requests"), 12*time.Second, 100*time.Millisecond)
		for index, node := range w.nodes {
			w.after(time.Duration(index)*3*time.Second, func() {
				// A burst leaves requests in the queue when the stop begins.
				for number := range 60 {
					call := commander.Call{Workspace: "b", Service: "rota", Method: "swap", Deadline: w.now.Add(5 * time.Second)}
					w.issue(node, fmt.Sprintf("burst%d-%d", index, number), call, 100*time.Millisecond)
				}
				w.drain(node)
			})
			w.after(time.Duration(index)*3*time.Second+2500*time.Millisecond, func() {
				for _, gauge := range node.router.View(w.now, querier.Query{Kind: querier.Status}).Gauges {
					if gauge.Name == "open-calls" && gauge.Value != 0 {
						w.fail("%s holds %v calls 2.5 s after its stop began", node.identity.Node, gauge.Value)
					}
				}
				w.kill(node)
				w.restart(node)
			})
		}
		w.run(epoch.Add(time.Minute))
		w.check()
		for _, asked := range w.order {
			if asked.err != nil {
				w.fail("%s was interrupted: %v", asked.request, asked.err)
			}
		}
		if len(w.failures) > 0 {
			t.Fatal(strings.Join(w.failures[:min(5, len(w.failures))], "\n"))
		}
	})
}

// TestDeterminism guards against a decision that depends on the order of a map:
// a seed would no longer reproduce a failure.
func TestDeterminism(t *testing.T) {
	play := func() string {
		w := newWorld(5, faults{lost: 3, duplicated: 5, unsent: 3}, 4, 4, twoRegions, nil)
		w.run(epoch.Add(time.Second))
		for number := range 300 {
			w.after(w.between(0, 6*time.Second), func() { w.begin(number) })
		}
		for range 6 {
			w.after(w.between(0, 6*time.Second), w.disturb)
		}
		w.run(epoch.Add(time.Minute))
		return fmt.Sprint(w.steps, w.counts, w.runs)
	}
	quicktest.Assert(t, play(), quicktest.Equals, play())
}

// TestKeyReuse guards against an outcome that is shown to a caller who used the
// key of another request, here or at another node.
func TestKeyReuse(t *testing.T) {
	c := quicktest.New(t)
	w := newWorld(1, faults{}, 2, 2, twoRegions[:1], nil)
	w.run(epoch.Add(time.Second))
	call := commander.Call{Workspace: "a", Service: "rota", Method: "swap", Key: w.key(1), Deadline: w.now.Add(5 * time.Second)}
	w.issue(w.nodes[0], "first", call, 10*time.Millisecond)
	w.run(w.now.Add(time.Second))
	same := w.issue(w.nodes[1], "first", call, 10*time.Millisecond)
	foreign := call
	foreign.Workspace = "b"
	w.run(w.now.Add(500 * time.Millisecond))
	refused := []*issued{
		w.issue(w.nodes[0], "first", foreign, 0), w.issue(w.nodes[1], "first", foreign, 0),
		w.issue(w.nodes[0], "second", call, 0), w.issue(w.nodes[1], "second", call, 0),
	}
	w.run(w.now.Add(2 * time.Second))
	c.Assert(w.failures, quicktest.HasLen, 0)
	c.Assert(w.runs["first"], quicktest.Equals, 1)
	c.Assert(same.answers == 1 && same.err == nil, quicktest.IsTrue)
	for _, asked := range refused {
		c.Assert(asked.err, quicktest.IsNotNil)
		c.Assert(asked.err.Code, quicktest.Equals, classifier.BadKey)
	}
}

// TestBounds guards against state that grows without a bound, and against a
// queue of which one workspace or long requests take everything.
func TestBounds(t *testing.T) {
	c := quicktest.New(t)
	w := newWorld(1, faults{}, 1, 1, twoRegions[:1], nil)
	w.run(epoch.Add(time.Second))
	ask := func(workspace identifier.Workspace, method identifier.Method) *issued {
		call := commander.Call{Workspace: workspace, Service: "rota", Method: method, Deadline: w.now.Add(time.Hour)}
		return w.issue(w.nodes[0], fmt.Sprintf("op%d", len(w.order)), call, 10*time.Second)
	}
	for range 2 * maxOpenCalls {
		ask("a", "draw")
	}
	router := w.nodes[0].router
	c.Assert(router.queues["rota"].classes[estimator.Long].count, quicktest.Equals, maxQueuedLong)
	c.Assert(ask("b", "draw").answers, quicktest.Equals, 0, quicktest.Commentf("a light workspace finds a place"))
	c.Assert(ask("a", "swap").answers, quicktest.Equals, 0, quicktest.Commentf("a short request finds a place"))
	for range 2 * maxOpenCalls {
		ask("a", "swap")
	}
	c.Assert(router.queues["rota"].length(), quicktest.Equals, maxQueued)
	c.Assert(router.callBytes > 0 && router.workBytes > 0, quicktest.IsTrue)
	router.callBytes, router.workBytes = maxBytes-1, 0
	c.Assert(ask("b", "look").err.Code, quicktest.Equals, classifier.TooManyCalls)
	router.callBytes, router.workBytes = 0, maxBytes-1
	c.Assert(ask("b", "look").err.Code, quicktest.Equals, classifier.QueueFull)
	outcomes := newOutcomes()
	for number := range 2 * maxOutcomes {
		key := identifier.Key(fmt.Sprint(number))
		outcomes.open(key, "a", 1)
		outcomes.finish(w.now, key, nil, make([]byte, 2000))
	}
	c.Assert(outcomes.byKey, quicktest.HasLen, maxOutcomes)
	c.Assert(outcomes.bytes <= maxOutcomeBytes, quicktest.IsTrue)
	c.Assert(outcomes.byKey[identifier.Key(fmt.Sprint(maxOutcomes))].err.Code, quicktest.Equals, classifier.AlreadyRun)
	outcomes.trim(w.now.Add(outcomeTime + time.Second))
	c.Assert(outcomes.byKey, quicktest.HasLen, 0)
	seen := newSeen()
	for number := range maxSeen {
		c.Assert(seen.full(w.now), quicktest.IsFalse)
		seen.add(w.now, attemptID{identifier.Request(fmt.Sprint(number)), 1})
	}
	c.Assert(seen.full(w.now), quicktest.IsTrue)
	c.Assert(seen.full(w.now.Add(seenTime+time.Second)), quicktest.IsFalse)
}

// TestFairShares guards against an order in which a workspace that floods the
// queue takes the slot time of the others.
func TestFairShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		waiting := newQueue()
		weights := map[identifier.Workspace]int{"a": 1, "b": rapid.IntRange(1, 4).Draw(t, "weight")}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var sequence uint64
		for name, weight := range weights {
			for range 400 {
				sequence++
				waiting.push(&work{call: commander.Call{Workspace: name}, estimate: time.Second, sequence: sequence}, weight)
			}
		}
		used := map[identifier.Workspace]time.Duration{}
		for range 300 {
			next := waiting.first(estimator.Short, rules{})
			waiting.remove(next)
			name := next.call.Workspace
			ran := time.Duration(random.Int64N(int64(2 * time.Second)))
			waiting.shares.start(epoch, name, estimator.Short, next.estimate)
			waiting.shares.end(name, next.estimate, ran)
			used[name] += ran
		}
		difference := used["b"]/time.Duration(weights["b"]) - used["a"]
		// Two run times of 2 s are the most that the order can be off.
		if difference.Abs() > 4*time.Second {
			t.Fatalf("slot time used: %v", used)
		}
	})
}
