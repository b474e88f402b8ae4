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
	epoch          = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	defaultProfile = Profile{Factor: 1, StragglerFactor: 1}
)

// TestWorkerInvariants guards against a highest term that decreases, a stale term that
// has an effect, accelerators allocated twice and a task that runs beyond its
// lease.
func TestWorkerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		worker := NewWorker("w-1", 8, defaultProfile, epoch)
		now := epoch
		var highestTerm identifier.Term
		leaseEnds := make(map[auditor.Gang]time.Time)
		gangs := rapid.Custom(func(t *rapid.T) auditor.Gang {
			return auditor.Gang{Job: "draw", Placement: uint32(rapid.IntRange(1, 4).Draw(t, "placement"))}
		})
		// call applies a call under a random term, and checks that a stale term is
		// refused and has no effect.
		call := func(t *rapid.T, apply func(term identifier.Term) *classifier.Error) *classifier.Error {
			now = now.Add(time.Duration(rapid.IntRange(0, 8000).Draw(t, "milliseconds")) * time.Millisecond)
			term := identifier.Term(rapid.IntRange(1, 5).Draw(t, "term"))
			before := worker.Report(now)
			err := apply(term)
			if stale := term < highestTerm; stale != (err != nil && err.Code == classifier.StaleTerm) {
				t.Fatalf("term %d under highest term %d returned %v", term, highestTerm, err)
			} else if stale && !reflect.DeepEqual(worker.Report(now), before) {
				t.Fatalf("a stale term changed %+v to %+v", before, worker.Report(now))
			}
			highestTerm = max(highestTerm, term)
			return err
		}
		lease := func(t *rapid.T) (time.Duration, time.Duration) {
			workerClock := time.Duration(rapid.Int64Range(0, int64(now.Sub(epoch))).Draw(t, "mark"))
			return workerClock, time.Duration(rapid.IntRange(1, 15).Draw(t, "lease")) * time.Second
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
				workerClock, length := lease(t)
				err := call(t, func(term identifier.Term) *classifier.Error {
					return worker.Start(now, term, Start{Gang: gang, WorkerClock: workerClock, Lease: length, RunTime: time.Hour})
				})
				if _, known := leaseEnds[gang]; err == nil && !known {
					leaseEnds[gang] = epoch.Add(workerClock + length)
				}
			},
			"renew": func(t *rapid.T) {
				gang := gangs.Draw(t, "gang")
				workerClock, length := lease(t)
				err := call(t, func(term identifier.Term) *classifier.Error {
					return worker.Renew(now, term, Renew{WorkerClock: workerClock, Lease: length, Gangs: []auditor.Gang{gang}})
				})
				leaseEnd, known := leaseEnds[gang] // a gang without a lease has none to renew
				if end := epoch.Add(workerClock + length); err == nil && known && end.After(leaseEnd) {
					leaseEnds[gang] = end
				}
			},
			"release": func(t *rapid.T) {
				gang := gangs.Draw(t, "gang")
				err := call(t, func(term identifier.Term) *classifier.Error { return worker.Release(now, term, Release{gang}) })
				if err == nil {
					delete(leaseEnds, gang)
				}
			},
			"": func(t *rapid.T) {
				report := worker.Report(now)
				if report.HighestTerm != highestTerm {
					t.Fatalf("highest term is %d, want %d", report.HighestTerm, highestTerm)
				}
				allocated := 0
				for _, task := range report.Tasks {
					if task.State != Expired {
						allocated += task.Accelerators
					}
					if task.State == Running && !now.Before(leaseEnds[task.Gang]) {
						t.Fatalf("%s runs at %s, its leases ended at %s", task.Gang, now, leaseEnds[task.Gang])
					}
				}
				if allocated > 8 {
					t.Fatalf("%d of 8 accelerators are allocated", allocated)
				}
			},
		})
	})
}

// noRefusal is the result of a call that took effect.
var noRefusal *classifier.Error

var gang = auditor.Gang{Job: "draw", Placement: 1}

func newStartedWorker(c *quicktest.C, runTime time.Duration) *Worker {
	worker := NewWorker("w-1", 8, defaultProfile, epoch)
	reserve := Reserve{Gang: gang, Accelerators: 8, Members: []identifier.Worker{"w-1", "w-2"}, Lease: 15 * time.Second}
	c.Assert(worker.Reserve(epoch, 1, reserve), quicktest.Equals, noRefusal)
	c.Assert(worker.Start(epoch, 1, Start{Gang: gang, Lease: 15 * time.Second, RunTime: runTime}), quicktest.Equals, noRefusal)
	return worker
}

// TestTaskEndsAtCompletionOrExpiry guards against a task that runs longer than its
// work or its lease, and against a released gang that a delayed call creates again.
func TestTaskEndsAtCompletionOrExpiry(t *testing.T) {
	c := quicktest.New(t)
	state := func(worker *Worker, after time.Duration) State { return worker.Report(epoch.Add(after)).Tasks[0].State }

	worker := newStartedWorker(c, 10*time.Second)
	c.Check(state(worker, 10*time.Second-1), quicktest.Equals, Running)
	c.Check(state(worker, 10*time.Second), quicktest.Equals, Completed)
	c.Check(worker.free(), quicktest.Equals, 0)

	worker = newStartedWorker(c, time.Hour)
	c.Check(state(worker, 15*time.Second), quicktest.Equals, Expired)
	c.Check(worker.free(), quicktest.Equals, 8)
	c.Check(worker.Release(epoch.Add(16*time.Second), 1, Release{gang}), quicktest.Equals, noRefusal)
	err := worker.Reserve(epoch.Add(17*time.Second), 1, Reserve{Gang: gang, Lease: time.Second})
	c.Check(err.Code, quicktest.Equals, classifier.LeaseExpired)
	c.Check(worker.Reserve(epoch.Add(77*time.Second), 1, Reserve{Gang: gang, Lease: time.Second}), quicktest.Equals, noRefusal)
}

// TestCheckpointSavesProgress guards against work that is lost or counted twice
// when a job moves to another worker, and against usage that is newer than the lag
// allows.
func TestCheckpointSavesProgress(t *testing.T) {
	c := quicktest.New(t)
	worker := newStartedWorker(c, time.Hour)
	c.Assert(worker.Checkpoint(epoch.Add(4*time.Second), 1, Checkpoint{Gang: gang}), quicktest.Equals, noRefusal)
	c.Check(worker.Report(epoch.Add(9 * time.Second)).Tasks[0].Progress, quicktest.Equals, 4*time.Second)
	c.Check(worker.Usage(epoch.Add(9*time.Second), epoch.Add(5*time.Second)), quicktest.DeepEquals,
		map[identifier.Job]time.Duration{"draw": 40 * time.Second})
}

// TestDeadWorkerRetainsHighestTerm guards against a former claim holder whose commands a
// worker accepts after its restart.
func TestDeadWorkerRetainsHighestTerm(t *testing.T) {
	c := quicktest.New(t)
	worker := newStartedWorker(c, time.Hour)
	c.Assert(worker.AcceptTerm(epoch.Add(time.Second), 7), quicktest.Equals, noRefusal)
	worker.Inject(epoch.Add(2*time.Second), Dead)
	worker.Inject(epoch.Add(3*time.Second), Healthy)
	report := worker.Report(epoch.Add(4 * time.Second))
	c.Check(report.Tasks, quicktest.HasLen, 0)
	c.Check(report.WorkerClock, quicktest.Equals, 2*time.Second)
	c.Check(worker.AcceptTerm(epoch.Add(4*time.Second), 6).Code, quicktest.Equals, classifier.StaleTerm)
	c.Check(worker.Runs(epoch.Add(4 * time.Second))[0].Ended, quicktest.Equals, epoch.Add(2*time.Second))
}
