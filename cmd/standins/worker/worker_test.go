package worker

import (
	"reflect"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"corianderroad/classifier"
	"corianderroad/cmd/standins/auditor"
	"corianderroad/identifier"
)

var (
	epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	plain = Profile{Factor: 1, StragglerFactor: 1}
)

// TestWorkerKeepsItsRules guards against a fence that falls, a stale term that
// has an effect, accelerators given twice and a task that outlives its lease.
func TestWorkerKeepsItsRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		worker := NewWorker("w-1", 8, plain, epoch)
		now := epoch
		var fence identifier.Term
		until := make(map[auditor.Gang]time.Time)
		gangs := rapid.Custom(func(t *rapid.T) auditor.Gang {
			return auditor.Gang{Job: "draw", Placement: uint32(rapid.IntRange(1, 4).Draw(t, "placement"))}
		})
		// call draws a term and applies a call, and checks that a stale one is
		// refused without effect.
		call := func(t *rapid.T, apply func(term identifier.Term) *classifier.Error) *classifier.Error {
			now = now.Add(time.Duration(rapid.IntRange(0, 8000).Draw(t, "milliseconds")) * time.Millisecond)
			term := identifier.Term(rapid.IntRange(1, 5).Draw(t, "term"))
			before := worker.Report(now)
			err := apply(term)
			if stale := term < fence; stale != (err != nil && err.Code == classifier.StaleTerm) {
				t.Fatalf("term %d under fence %d returned %v", term, fence, err)
			} else if stale && !reflect.DeepEqual(worker.Report(now), before) {
				t.Fatalf("a stale term changed %+v to %+v", before, worker.Report(now))
			}
			fence = max(fence, term)
			return err
		}
		lease := func(t *rapid.T) (time.Duration, time.Duration) {
			mark := time.Duration(rapid.Int64Range(0, int64(now.Sub(epoch))).Draw(t, "mark"))
			return mark, time.Duration(rapid.IntRange(1, 15).Draw(t, "lease")) * time.Second
		}
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				gang, accelerators := gangs.Draw(t, "gang"), rapid.IntRange(1, 8).Draw(t, "accelerators")
				call(t, func(term identifier.Term) *classifier.Error {
					return worker.Reserve(now, term, Reserve{Gang: gang, Accelerators: accelerators, Lease: 5 * time.Second})
				})
			},
			"start": func(t *rapid.T) {
				gang := gangs.Draw(t, "gang")
				mark, length := lease(t)
				err := call(t, func(term identifier.Term) *classifier.Error {
					return worker.Start(now, term, Start{Gang: gang, Mark: mark, Lease: length, RunTime: time.Hour})
				})
				if _, known := until[gang]; err == nil && !known {
					until[gang] = epoch.Add(mark + length)
				}
			},
			"renew": func(t *rapid.T) {
				gang := gangs.Draw(t, "gang")
				mark, length := lease(t)
				err := call(t, func(term identifier.Term) *classifier.Error {
					return worker.Renew(now, term, Renew{Mark: mark, Lease: length, Gangs: []auditor.Gang{gang}})
				})
				if end := epoch.Add(mark + length); err == nil && end.After(until[gang]) {
					until[gang] = end
				}
			},
			"release": func(t *rapid.T) {
				gang := gangs.Draw(t, "gang")
				err := call(t, func(term identifier.Term) *classifier.Error { return worker.Release(now, term, Release{gang}) })
				if err == nil {
					delete(until, gang)
				}
			},
			"": func(t *rapid.T) {
				report := worker.Report(now)
				if report.Fence != fence {
					t.Fatalf("fence is %d, want %d", report.Fence, fence)
				}
				held := 0
				for _, task := range report.Tasks {
					if task.State != Lapsed {
						held += task.Accelerators
					}
					if task.State == Running && !now.Before(until[task.Gang]) {
						t.Fatalf("%s runs at %s, its leases ended at %s", task.Gang, now, until[task.Gang])
					}
				}
				if held > 8 {
					t.Fatalf("%d of 8 accelerators are held", held)
				}
			},
		})
	})
}

// accepted is the result of a call that took effect.
var accepted *classifier.Error

var gang = auditor.Gang{Job: "draw", Placement: 1}

func started(c *quicktest.C, runTime time.Duration) *Worker {
	worker := NewWorker("w-1", 8, plain, epoch)
	reserve := Reserve{Gang: gang, Accelerators: 8, Members: []identifier.Worker{"w-1", "w-2"}, Lease: 15 * time.Second}
	c.Assert(worker.Reserve(epoch, 1, reserve), quicktest.Equals, accepted)
	c.Assert(worker.Start(epoch, 1, Start{Gang: gang, Lease: 15 * time.Second, RunTime: runTime}), quicktest.Equals, accepted)
	return worker
}

// TestTaskEndsByItself guards against a task that runs longer than its work or
// its lease, and against a released gang that a delayed call brings back.
func TestTaskEndsByItself(t *testing.T) {
	c := quicktest.New(t)
	state := func(worker *Worker, after time.Duration) State { return worker.Report(epoch.Add(after)).Tasks[0].State }

	worker := started(c, 10*time.Second)
	c.Check(state(worker, 10*time.Second-1), quicktest.Equals, Running)
	c.Check(state(worker, 10*time.Second), quicktest.Equals, Completed)
	c.Check(worker.free(), quicktest.Equals, 0)

	worker = started(c, time.Hour)
	c.Check(state(worker, 15*time.Second), quicktest.Equals, Lapsed)
	c.Check(worker.free(), quicktest.Equals, 8)
	c.Check(worker.Release(epoch.Add(16*time.Second), 1, Release{gang}), quicktest.Equals, accepted)
	err := worker.Reserve(epoch.Add(17*time.Second), 1, Reserve{Gang: gang, Lease: time.Second})
	c.Check(err.Code, quicktest.Equals, classifier.LeaseExpired)
	c.Check(worker.Reserve(epoch.Add(77*time.Second), 1, Reserve{Gang: gang, Lease: time.Second}), quicktest.Equals, accepted)
}

// TestCheckpointHoldsProgress guards against work that is lost or counted twice
// when a job moves, and against usage that is newer than its lag.
func TestCheckpointHoldsProgress(t *testing.T) {
	c := quicktest.New(t)
	worker := started(c, time.Hour)
	c.Assert(worker.Checkpoint(epoch.Add(4*time.Second), 1, Checkpoint{Gang: gang}), quicktest.Equals, accepted)
	c.Check(worker.Report(epoch.Add(9 * time.Second)).Tasks[0].Progress, quicktest.Equals, 4*time.Second)
	c.Check(worker.Usage(epoch.Add(9*time.Second), epoch.Add(5*time.Second)), quicktest.DeepEquals,
		map[identifier.Job]time.Duration{"draw": 40 * time.Second})
}

// TestDeadWorkerKeepsFence guards against an old claim holder that commands a
// worker after its restart.
func TestDeadWorkerKeepsFence(t *testing.T) {
	c := quicktest.New(t)
	worker := started(c, time.Hour)
	c.Assert(worker.Admit(epoch.Add(time.Second), 7), quicktest.Equals, accepted)
	worker.Inject(epoch.Add(2*time.Second), Dead)
	worker.Inject(epoch.Add(3*time.Second), Healthy)
	report := worker.Report(epoch.Add(4 * time.Second))
	c.Check(report.Tasks, quicktest.HasLen, 0)
	c.Check(report.Mark, quicktest.Equals, 2*time.Second)
	c.Check(worker.Admit(epoch.Add(4*time.Second), 6).Code, quicktest.Equals, classifier.StaleTerm)
	c.Check(worker.Runs(epoch.Add(4 * time.Second))[0].Ended, quicktest.Equals, epoch.Add(2*time.Second))
}
