package shedder_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/identifier"
	"corianderroad/shedder"
)

// samples are what the connections of a test do. Others have made no progress since the
// start.
type samples map[shedder.Connection]shedder.Sample

func (samples samples) Sample(id shedder.Connection) shedder.Sample { return samples[id] }

// scene is a Shedder in virtual time.
type scene struct {
	*shedder.Shedder
	samples samples
	now     time.Time
}

func newScene(memory int64, connections int) *scene {
	samples := make(samples)
	return &scene{shedder.New(shedder.Limits{Memory: memory, Connections: connections}, samples), samples, time.Unix(1_000_000, 0)}
}

// step applies an event and returns the actions without changes of pressure.
func (scene *scene) step(event shedder.Event) []shedder.Action {
	var actions []shedder.Action
	for _, action := range scene.Step(scene.now, event) {
		if _, ok := action.(shedder.PressureChanged); !ok {
			actions = append(actions, action)
		}
	}
	return actions
}

// open opens a connection that has just made progress.
func (scene *scene) open(id shedder.Connection, workspace identifier.Workspace) []shedder.Action {
	scene.samples[id] = shedder.Sample{ProgressAt: scene.now}
	actions := scene.step(shedder.Opened{Connection: id})
	return append(actions, scene.step(shedder.Identified{Connection: id, Workspace: workspace})...)
}

func (scene *scene) request(id shedder.Connection, bytes int64) []shedder.Action {
	return scene.step(shedder.MemoryRequested{Connection: id, Bytes: bytes})
}

func (scene *scene) wait(span time.Duration) []shedder.Action {
	scene.now = scene.now.Add(span)
	return scene.step(shedder.Tick{})
}

// TestSlowestSenderIsClosed guards against an ordinary sender that is turned away while a
// slow one keeps its memory.
func TestSlowestSenderIsClosed(t *testing.T) {
	c := quicktest.New(t)
	scene := newScene(100, 10)
	for id := range shedder.Connection(3) {
		scene.open(id, "w")
	}
	scene.request(0, 40)
	scene.request(1, 10)
	scene.wait(time.Second)
	c.Assert(scene.request(2, 40), quicktest.DeepEquals, []shedder.Action{shedder.Grant{Connection: 2}})
	c.Assert(scene.request(2, 15), quicktest.DeepEquals, []shedder.Action{shedder.Close{Connection: 1, Reason: shedder.SlowSender}})
	c.Assert(scene.step(shedder.MemoryReleased{Connection: 1, Bytes: 10}), quicktest.DeepEquals, []shedder.Action{shedder.Grant{Connection: 2}})
}

// TestYoungSendersGetTime guards against senders that are closed although others will
// soon be done, and against a request that waits for ever when none is.
func TestYoungSendersGetTime(t *testing.T) {
	c := quicktest.New(t)
	scene := newScene(100, 10)
	for id := range shedder.Connection(3) {
		scene.open(id, "w")
	}
	scene.request(0, 60)
	scene.request(1, 40)
	c.Assert(scene.request(2, 10), quicktest.HasLen, 0)
	next := scene.Next()
	c.Assert(next.After(scene.now), quicktest.IsTrue)
	c.Assert(scene.wait(next.Sub(scene.now)), quicktest.DeepEquals, []shedder.Action{shedder.Close{Connection: 0, Reason: shedder.LargestHolder}})
	c.Assert(scene.step(shedder.Closed{Connection: 0}), quicktest.DeepEquals, []shedder.Action{shedder.Grant{Connection: 2}})
}

// TestWorkInProgressIsNotClosed guards against a caller that gets no answer although its
// job is being stored, and against a request that waits for ever behind it.
func TestWorkInProgressIsNotClosed(t *testing.T) {
	c := quicktest.New(t)
	scene := newScene(100, 10)
	scene.open(0, "w")
	scene.open(1, "w")
	scene.request(0, 100)
	scene.samples[0] = shedder.Sample{ProgressAt: scene.now, IsBusy: true}
	c.Assert(scene.request(1, 10), quicktest.HasLen, 0)
	for range 2 {
		next := scene.Next()
		c.Assert(next.After(scene.now), quicktest.IsTrue)
		scene.now = next
		if actions := scene.step(shedder.Tick{}); len(actions) > 0 {
			c.Assert(actions, quicktest.DeepEquals, []shedder.Action{shedder.Deny{Connection: 1, Reason: shedder.MemoryLimit}})
			return
		}
	}
	c.Fatal("the request still waits")
}

// TestWorkspacesAreApart guards against a crowd of one workspace that takes the memory
// and the connections of another one.
func TestWorkspacesAreApart(t *testing.T) {
	c := quicktest.New(t)
	scene := newScene(100, 8)
	scene.open(0, "ordinary")
	scene.request(0, 20)
	for id := shedder.Connection(1); id < 8; id++ {
		scene.now = scene.now.Add(time.Second)
		scene.open(id, "crowd")
		for _, action := range scene.request(id, 20) {
			if closed, ok := action.(shedder.Close); ok {
				c.Assert(closed.Connection, quicktest.Not(quicktest.Equals), shedder.Connection(0))
				scene.step(shedder.Closed{Connection: closed.Connection})
			}
		}
	}
	for id := shedder.Connection(8); id < 40; id++ {
		for _, action := range scene.open(id, "crowd") {
			if closed, ok := action.(shedder.Close); ok {
				c.Assert(closed.Connection, quicktest.Not(quicktest.Equals), shedder.Connection(0))
				scene.step(shedder.Closed{Connection: closed.Connection})
			}
		}
	}
	c.Assert(scene.request(0, 20), quicktest.Not(quicktest.DeepEquals), []shedder.Action{shedder.Deny{Connection: 0, Reason: shedder.MemoryLimit}})
}

// TestLoneBodyMayExceedTheLimit guards against a body that the configuration allows and
// that a node without any other client refuses.
func TestLoneBodyMayExceedTheLimit(t *testing.T) {
	c := quicktest.New(t)
	scene := newScene(100, 10)
	scene.open(0, "w")
	for range 5 {
		c.Assert(scene.request(0, 60), quicktest.DeepEquals, []shedder.Action{shedder.Grant{Connection: 0}})
	}
}

// TestNewConnectionReplacesTheIdlest guards against idle connections that shut out a
// new client, and against closed ones that make the limit ineffective.
func TestNewConnectionReplacesTheIdlest(t *testing.T) {
	c := quicktest.New(t)
	scene := newScene(100, 16)
	for id := range shedder.Connection(16) {
		scene.now = scene.now.Add(time.Millisecond)
		scene.open(id, "w")
	}
	c.Assert(scene.open(16, "w"), quicktest.DeepEquals, []shedder.Action{shedder.Close{Connection: 0, Reason: shedder.IdleConnection}, shedder.Admit{Connection: 16}})
	scene.open(17, "w")
	// Two of the closed ones still have their goroutines.
	c.Assert(scene.step(shedder.Opened{Connection: 18}), quicktest.DeepEquals, []shedder.Action{shedder.Refuse{Connection: 18, Reason: shedder.ConnectionLimit}})
	scene.step(shedder.Closed{Connection: 0})
	scene.step(shedder.Closed{Connection: 1})
	c.Assert(scene.open(19, "w"), quicktest.HasLen, 2)
}

// openCrowd opens 16 connections, the first ones of an ordinary workspace and the others busy.
func openCrowd(ordinary shedder.Connection) *scene {
	scene := newScene(100, 16)
	for id := range shedder.Connection(16) {
		workspace := identifier.Workspace("crowd")
		if id < ordinary {
			workspace = "ordinary"
		}
		scene.open(id, workspace)
		scene.samples[id] = shedder.Sample{ProgressAt: scene.now, IsBusy: id >= ordinary}
	}
	return scene
}

// TestBusyCrowdTakesNoConnections guards against a crowd whose requests are worked on and
// that replaces the connections of another workspace one by one.
func TestBusyCrowdTakesNoConnections(t *testing.T) {
	c := quicktest.New(t)
	scene := openCrowd(4)
	c.Assert(scene.step(shedder.Opened{Connection: 16}), quicktest.DeepEquals, []shedder.Action{shedder.Close{Connection: 4, Reason: shedder.IdleConnection}, shedder.Admit{Connection: 16}})
	scene = openCrowd(4)
	scene.now = scene.now.Add(2 * time.Second)
	c.Assert(scene.step(shedder.Opened{Connection: 17}), quicktest.DeepEquals, []shedder.Action{shedder.Close{Connection: 4, Reason: shedder.IdleConnection}, shedder.Admit{Connection: 17}})
}

// TestBusyCrowdShutsNobodyOut guards against busy clients of one workspace that take all
// connections, so that a new connection of another one is never admitted.
func TestBusyCrowdShutsNobodyOut(t *testing.T) {
	c := quicktest.New(t)
	scene := openCrowd(0)
	c.Assert(scene.step(shedder.Opened{Connection: 16}), quicktest.DeepEquals, []shedder.Action{shedder.Close{Connection: 0, Reason: shedder.IdleConnection}, shedder.Admit{Connection: 16}})
}

// TestIdleClientsWithoutKeyGoBeforeWork guards against work of a workspace with most connections
// that is ended for a new connection, while clients that have shown no key do nothing.
func TestIdleClientsWithoutKeyGoBeforeWork(t *testing.T) {
	c := quicktest.New(t)
	scene := newScene(100, 16)
	for id := range shedder.Connection(16) {
		scene.now = scene.now.Add(time.Millisecond)
		if id < 12 {
			scene.open(id, "ordinary")
		} else {
			scene.step(shedder.Opened{Connection: id})
			scene.samples[id] = shedder.Sample{ProgressAt: scene.now}
		}
	}
	scene.now = scene.now.Add(2 * time.Second)
	for id := range shedder.Connection(12) {
		scene.samples[id] = shedder.Sample{ProgressAt: scene.now, IsBusy: true}
	}
	c.Assert(scene.step(shedder.Opened{Connection: 16}), quicktest.DeepEquals, []shedder.Action{shedder.Close{Connection: 12, Reason: shedder.IdleConnection}, shedder.Admit{Connection: 16}})
}

// TestBusyCrowdsOfSeveralKeysShutNobodyOut guards against busy clients of several workspaces that
// take all connections together, although none of them has more than half.
func TestBusyCrowdsOfSeveralKeysShutNobodyOut(t *testing.T) {
	c := quicktest.New(t)
	for crowds := 2; crowds <= 4; crowds++ {
		scene := newScene(100, 16)
		for id := range shedder.Connection(16) {
			scene.open(id, identifier.Workspace(rune('a'+int(id)%crowds)))
			scene.samples[id] = shedder.Sample{ProgressAt: scene.now, IsBusy: true}
		}
		c.Check(scene.step(shedder.Opened{Connection: 16}), quicktest.DeepEquals, []shedder.Action{shedder.Close{Connection: 0, Reason: shedder.IdleConnection}, shedder.Admit{Connection: 16}})
	}
}

// TestPressureIsReportedOnce guards against a log line for each client that is turned away.
func TestPressureIsReportedOnce(t *testing.T) {
	c := quicktest.New(t)
	scene := newScene(100, 2)
	scene.open(0, "w")
	var changes []shedder.PressureChanged
	record := func(event shedder.Event) {
		for _, action := range scene.Step(scene.now, event) {
			if change, ok := action.(shedder.PressureChanged); ok {
				changes = append(changes, change)
			}
		}
	}
	for id := shedder.Connection(1); id < 50; id++ {
		record(shedder.Opened{Connection: id})
	}
	for id := range shedder.Connection(50) {
		record(shedder.Closed{Connection: id})
	}
	for !scene.Next().IsZero() {
		scene.now = scene.Next()
		record(shedder.Tick{})
	}
	c.Assert(changes, quicktest.HasLen, 2)
	c.Assert([]bool{changes[0].IsHigh, changes[1].IsHigh}, quicktest.DeepEquals, []bool{true, false})
}
