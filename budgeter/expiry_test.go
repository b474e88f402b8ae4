package budgeter_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"corianderroad/budgeter"
	"corianderroad/identifier"
)

// endedJob is a job with the time at which it expires.
type endedJob struct {
	id        identifier.Job
	expiresAt time.Time
}

// drawJobs lets a budget read jobs of two workspaces, of which some have ended in any order. Some of
// these were listed again, deleted, or deleted and submitted again. It returns those that have ended
// and count.
func drawJobs(t *rapid.T, budget *budgeter.Budgeter) []endedJob {
	var ended []endedJob
	allEnded := rapid.Bool().Draw(t, "all-ended")
	for number := range rapid.IntRange(40, 120).Draw(t, "jobs") {
		id := identifier.Job(fmt.Sprint(number))
		workspace := identifier.Workspace(rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(t, "workspace"))
		bytes := rapid.SampledFrom([]int64{limit / 80, limit / 40, limit / 20}).Draw(t, "bytes")
		budget.Read(id, workspace, bytes, time.Time{})
		if !allEnded && rapid.Bool().Draw(t, "open") {
			continue
		}
		endedAt := startTime.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ended")) * time.Second)
		budget.End(id, endedAt)
		switch rapid.SampledFrom([]string{"ended", "ended", "listed-again", "deleted", "submitted-again"}).Draw(t, "fate") {
		case "listed-again":
			budget.Read(id, workspace, bytes, endedAt)
		case "deleted":
			budget.Release(id)
			continue
		case "submitted-again":
			budget.Release(id)
			if !allEnded {
				budget.Read(id, workspace, bytes, time.Time{})
			}
			continue
		}
		ended = append(ended, endedJob{id, endedAt.Add(retention)})
	}
	return ended
}

// TestRoomComesWhenJobsExpire guards against callers who are told to come back before there is room
// for their job, or long after.
func TestRoomComesWhenJobsExpire(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := budgeter.New(limit, retention)
		ended := drawJobs(t, budget)
		bytes := rapid.SampledFrom([]int64{1, limit / 50, limit / 10, limit / 2, limit}).Draw(t, "needed")
		if !budget.Admit("new", "a", bytes).IsRefusal() {
			return
		}
		roomAt, isKnown := budget.RoomAt("a", bytes)
		for _, job := range ended {
			if job.expiresAt.Before(roomAt) || !isKnown {
				budget.Release(job.id)
			}
		}
		if !budget.Admit("new", "a", bytes).IsRefusal() {
			t.Fatalf("there is room before %v (known: %v)", roomAt, isKnown)
		}
		if !isKnown {
			return
		}
		for _, job := range ended {
			if job.expiresAt.Equal(roomAt) {
				budget.Release(job.id)
			}
		}
		if budget.Admit("new", "a", bytes).IsRefusal() {
			t.Fatalf("there is no room at %v", roomAt)
		}
	})
}

// liveBytes returns the bytes of the heap that are in use.
func liveBytes() int64 {
	runtime.GC()
	var statistics runtime.MemStats
	runtime.ReadMemStats(&statistics)
	return int64(statistics.HeapAlloc)
}

// TestExpiriesAreBounded guards against expiries of deleted jobs that are kept for ever by a node
// that refuses nothing, so that it never looks at them.
func TestExpiriesAreBounded(t *testing.T) {
	const jobs, maxBytes = 200_000, 1 << 20
	c := quicktest.New(t)
	budget := budgeter.New(limit, retention)
	budget.Read("open", "a", limit, time.Time{})
	before := liveBytes()
	for number := range jobs {
		id := identifier.Job(fmt.Sprint(number))
		budget.Read(id, "a", 1, startTime)
		budget.Release(id)
	}
	grown := liveBytes() - before
	c.Assert(grown < maxBytes, quicktest.IsTrue, quicktest.Commentf("%d bytes", grown))
	_, isKnown := budget.RoomAt("a", 1)
	c.Assert(isKnown, quicktest.IsFalse)
}
