package shedder_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"corianderroad/identifier"
	"corianderroad/shedder"
)

// Figures of the property test.
const (
	memoryLimit     = 1000
	connectionLimit = 16
	lingeringLimit  = 2
	largestRequest  = 200
	// answerBound is how long a request for memory may wait.
	answerBound = time.Second
)

// model is what the owner of the connections knows.
type model struct {
	*scene
	t         *rapid.T
	latest    shedder.Connection
	open      map[shedder.Connection]identifier.Workspace
	closing   map[shedder.Connection]bool
	held      map[shedder.Connection]int64
	requested map[shedder.Connection]time.Time
	wanted    map[shedder.Connection]int64
}

// apply applies an event and checks that each action is allowed.
func (model *model) apply(event shedder.Event) {
	connections := model.connections()
	for _, action := range model.Step(model.now, event) {
		switch action := action.(type) {
		case shedder.Admit:
			model.open[action.Connection] = ""
		case shedder.Grant:
			model.finish(action.Connection)
			model.held[action.Connection] += model.wanted[action.Connection]
		case shedder.Deny:
			model.finish(action.Connection)
			model.closing[action.Connection] = true
		case shedder.Close:
			if model.closing[action.Connection] || model.samples[action.Connection].IsBusy && action.Reason != shedder.IdleConnection {
				model.t.Fatalf("connection %d is closed (%s)", action.Connection, action.Reason)
			}
			if action.Reason == shedder.IdleConnection {
				model.checkShare(action.Connection, connections, connectionLimit)
			} else {
				model.checkShare(action.Connection, model.memory(), memoryLimit)
			}
			delete(model.requested, action.Connection)
			model.closing[action.Connection] = true
		}
	}
	model.check()
}

// connections returns the number of open connections of each workspace.
func (model *model) connections() map[identifier.Workspace]int64 {
	counts := make(map[identifier.Workspace]int64)
	for id, workspace := range model.open {
		if !model.closing[id] {
			counts[workspace]++
		}
	}
	return counts
}

// memory returns what each workspace holds.
func (model *model) memory() map[identifier.Workspace]int64 {
	sums := make(map[identifier.Workspace]int64)
	for id, held := range model.held {
		if held > 0 {
			sums[model.open[id]] += held
		}
	}
	return sums
}

// checkShare checks that a connection is not closed for others while its workspace uses
// less than another one and less than an equal share.
func (model *model) checkShare(id shedder.Connection, uses map[identifier.Workspace]int64, limit int64) {
	use, largest := uses[model.open[id]], int64(0)
	for _, other := range uses {
		largest = max(largest, other)
	}
	if use < largest && use*int64(len(uses)) < limit {
		model.t.Fatalf("connection %d of workspace %q is closed, which uses %d of %v", id, model.open[id], use, uses)
	}
}

// finish checks that a connection waits for an answer.
func (model *model) finish(id shedder.Connection) {
	if _, ok := model.requested[id]; !ok {
		model.t.Fatalf("connection %d gets an answer without a request", id)
	}
	delete(model.requested, id)
}

func (model *model) check() {
	total, holders := int64(0), 0
	for _, held := range model.held {
		if total += held; held > 0 {
			holders++
		}
	}
	if total > memoryLimit && holders > 1 {
		model.t.Fatalf("%d holders have %d", holders, total)
	}
	if len(model.open)-len(model.closing) > connectionLimit || len(model.open) > connectionLimit+lingeringLimit {
		model.t.Fatalf("%d connections are open, %d of them closing", len(model.open), len(model.closing))
	}
	if view := model.View(); view.Held != total || view.Open+view.Closing != len(model.open) || view.Waiting != len(model.requested) {
		model.t.Fatalf("%+v, expected %d bytes, %d connections, %d waiting", view, total, len(model.open), len(model.requested))
	}
	for id, at := range model.requested {
		if model.now.Sub(at) > answerBound {
			model.t.Fatalf("connection %d waits since %s", id, model.now.Sub(at))
		}
	}
	if next := model.Next(); !next.IsZero() && !next.After(model.now) {
		model.t.Fatalf("the next tick is due at once")
	}
}

// pass advances the time with a tick whenever one is due.
func (model *model) pass(span time.Duration) {
	end := model.now.Add(span)
	for next := model.Next(); !next.IsZero() && !next.After(end); next = model.Next() {
		model.now = next
		model.apply(shedder.Tick{})
	}
	model.now = end
	model.apply(shedder.Tick{})
}

// draw draws an open connection.
func (model *model) draw() (shedder.Connection, bool) {
	if len(model.open) == 0 {
		return 0, false
	}
	return rapid.SampledFrom(slices.Sorted(maps.Keys(model.open))).Draw(model.t, "connection"), true
}

// act lets a drawn connection do something.
func (model *model) act() {
	kind := rapid.IntRange(0, 9).Draw(model.t, "kind")
	if kind < 3 {
		model.latest++
		model.samples[model.latest] = shedder.Sample{ProgressAt: model.now}
		model.apply(shedder.Opened{Connection: model.latest})
		return
	}
	id, ok := model.draw()
	_, waits := model.requested[id]
	switch {
	case !ok || kind == 3:
		model.pass(time.Duration(rapid.IntRange(1, 2000).Draw(model.t, "milliseconds")) * time.Millisecond)
	case kind == 4 && !waits || kind == 5 && model.closing[id] && !waits:
		delete(model.open, id)
		delete(model.closing, id)
		delete(model.held, id)
		model.apply(shedder.Closed{Connection: id})
	case kind == 6:
		model.open[id] = rapid.SampledFrom([]identifier.Workspace{"", "a", "b"}).Draw(model.t, "workspace")
		model.apply(shedder.Identified{Connection: id, Workspace: model.open[id]})
	case kind == 7 && model.held[id] > 0:
		bytes := rapid.Int64Range(1, model.held[id]).Draw(model.t, "bytes")
		model.held[id] -= bytes
		model.apply(shedder.MemoryReleased{Connection: id, Bytes: bytes})
	case !waits:
		model.samples[id] = shedder.Sample{ProgressAt: model.now, IsBusy: rapid.Bool().Draw(model.t, "busy")}
		model.requested[id], model.wanted[id] = model.now, rapid.Int64Range(1, largestRequest).Draw(model.t, "wanted")
		model.apply(shedder.MemoryRequested{Connection: id, Bytes: model.wanted[id]})
	}
}

// TestLimitsHoldUnderAnyLoad guards against sums above the limits, workspaces that lose
// connections to a larger one, requests for memory without an answer or with two, and
// ticks that follow each other without a pause.
func TestLimitsHoldUnderAnyLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &model{
			scene: newScene(memoryLimit, connectionLimit), t: t, open: make(map[shedder.Connection]identifier.Workspace),
			closing: make(map[shedder.Connection]bool), held: make(map[shedder.Connection]int64),
			requested: make(map[shedder.Connection]time.Time), wanted: make(map[shedder.Connection]int64),
		}
		for range rapid.IntRange(1, 200).Draw(t, "actions") {
			model.act()
		}
	})
}
