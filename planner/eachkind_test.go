package planner_test

import (
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// maxLargeWait is how long a large gang may wait: three times its objective until it is aged,
// and once more until its turn has come.
const maxLargeWait = 60 * time.Second

// TestEachKindAndWorkspaceIsServed guards against a kind of job, or a workspace, that gets
// nothing while others take all capacity, in three minutes with more work than fits.
func TestEachKindAndWorkspaceIsServed(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	const span, window = 3 * time.Minute, 30 * time.Second
	run := newLoadRun(1, 48, 1.2, span, true)
	run.play(span)
	for _, kind := range loadKinds {
		for _, workspace := range []string{"w0", "w1"} {
			var ends [span / window]int
			for _, job := range run.jobs {
				if job.kind.name == kind.name && string(job.spec.Workspace) == workspace && !job.doneAt.IsZero() {
					ends[min(run.now.Sub(job.doneAt)/window, span/window-1)]++
				}
			}
			t.Log(kind.name, workspace, ends)
			for _, count := range ends {
				c.Check(count > 0, quicktest.IsTrue, quicktest.Commentf("%s of %s: %v jobs end in the windows", kind.name, workspace, ends))
			}
		}
	}
	for _, job := range run.jobs {
		if wait := run.waitingTime(job); job.kind.gang && wait > maxLargeWait {
			c.Errorf("%s waits %s", job.spec.ID, wait)
		}
	}
	c.Assert(run.violations, quicktest.HasLen, 0)
	c.Assert(run.countReservationLines() <= int(span/time.Second)*maxReservationLines/2, quicktest.IsTrue)
}

// maxReservationLines bounds the log lines about reservations in 2 s.
const maxReservationLines = 12

func (loadRun *loadRun) countReservationLines() int {
	count := 0
	for _, line := range loadRun.decisions {
		if strings.Contains(line, " reservation-") {
			count++
		}
	}
	return count
}
