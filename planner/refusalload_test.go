package planner_test

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/admitter"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/planner"
	"corianderroad/specifier"
)

// refusalRun is a load whose jobs pass the admission of entry VMs.
type refusalRun struct {
	*loadRun
	entries []*admitter.Admitter
	random  *rand.Rand
	refused []*loadJob
	// logged counts the log lines.
	logged int
}

const (
	refusalEntries = 8
	// readDelay is the time from the computation of the waits until entry VMs have read them, with
	// the wait for the renewal and for the read.
	readDelay = 900 * time.Millisecond
	// maxRunTimeError is the largest factor by which declared run times are off.
	maxRunTimeError = 2.5
	// longTail is the number of jobs of which one runs longTailFactor times as long.
	longTail, longTailFactor = 33, 7
	// meanRunTimeError is the mean of the actual run times as multiples of the declared ones.
	meanRunTimeError = 1.35
)

func newRefusalRun(seed uint64, minions int, load float64, span time.Duration, features planner.Features) *refusalRun {
	run := &refusalRun{loadRun: newLoadRunWith(seed, minions, load/meanRunTimeError, span, features), random: rand.New(rand.NewPCG(seed, 9))}
	run.workTime = func(fakeRun *fakeRun) time.Duration {
		run.noteStart(fakeRun)
		return time.Duration(runTimeError(seed, fakeRun.task) * float64(fakeRun.spec.EstimatedRunTime))
	}
	run.refuses = func(job *specifier.Job, kind *loadKind) bool {
		// The load is the same with and without the rule.
		job.Steps[0].Request.Accelerators = kind.accelerators[hashOf(seed, string(job.ID))%uint64(len(kind.accelerators))]
		if !features.EarlyRefusals {
			return false
		}
		return run.decide(job, kind)
	}
	for range refusalEntries {
		run.entries = append(run.entries, admitter.New(rand.New(rand.NewPCG(seed, run.random.Uint64()))))
	}
	if features.EarlyRefusals {
		run.schedule(time.Second, run.readWaits)
	}
	return run
}

func hashOf(seed uint64, text string) uint64 {
	hash := fnv.New64a()
	fmt.Fprint(hash, seed, text)
	return hash.Sum64()
}

// runTimeError returns the actual run time of a task as a multiple of the declared one.
func runTimeError(seed uint64, task specifier.Task) float64 {
	share := float64(hashOf(seed, string(task.Job))%10007) / 10007
	factor := math.Pow(maxRunTimeError, 2*share-1)
	if hashOf(seed, "tail"+string(task.Job))%longTail == 0 {
		factor *= longTailFactor
	}
	return factor
}

// readWaits delivers the waits that the holder has published to all entry VMs, unless the store does not
// answer or there is no holder, and so no new renewal.
func (run *refusalRun) readWaits() {
	run.schedule(400*time.Millisecond, run.readWaits)
	if run.store.down {
		return
	}
	holders := slices.DeleteFunc(slices.Clone(run.nodes), func(node *node) bool { return !node.alive || node.token == 0 })
	if len(holders) == 0 {
		return
	}
	waits := holders[0].waits
	run.schedule(readDelay, func() {
		for _, entry := range run.entries {
			entry.SetFigures(run.now, figuresOf(waits, run.now.Add(-latency)))
			run.logged += len(entry.Changes(run.now))
		}
	})
}

func figuresOf(waits *messenger.QueueWaits, readAt time.Time) admitter.Figures {
	figures := admitter.Figures{ReadAt: readAt}
	if waits == nil {
		return figures
	}
	figures.ComputedAt = waits.ComputedAt
	for _, wait := range waits.Queues {
		figures.Waits = append(figures.Waits, admitter.Wait{
			Queue: wait.Queue, Timely: wait.TimelyWait, Behind: wait.Wait, RunTime: wait.RunTime, Tasks: wait.Tasks, LargestMinion: wait.LargestMinion,
		})
	}
	return figures
}

func (run *refusalRun) decide(job *specifier.Job, kind *loadKind) bool {
	queue, _ := loadPolicy().Queue(kind.queue)
	entry := run.entries[run.random.IntN(len(run.entries))]
	verdict := entry.Decide(run.now, admitter.Submission{Job: job, Queue: &queue})
	if verdict.Refused {
		run.refused = append(run.refused, &loadJob{kind: kind, spec: *job, submittedAt: run.now})
	}
	return verdict.Refused
}

// refusalResult is what callers of one kind got.
type refusalResult struct {
	accepted, refused, onTime, late, worthless int
}

func (run *refusalRun) count(kind string) refusalResult {
	var result refusalResult
	for _, job := range run.refused {
		if job.kind.name == kind {
			result.refused++
		}
	}
	for _, job := range run.jobs {
		if job.kind.name != kind || run.now.Sub(job.submittedAt) < 3*job.objective() {
			continue
		}
		result.accepted++
		switch took := job.doneAt.Sub(job.submittedAt); {
		case job.doneAt.IsZero() || took > 3*job.objective():
			result.worthless++
		case took > job.objective():
			result.late++
		default:
			result.onTime++
		}
	}
	return result
}

// BenchmarkEarlyRefusals measures what callers get with and without the rule.
func BenchmarkEarlyRefusals(b *testing.B) {
	for _, load := range []float64{0.9, 1.3, 2} {
		for _, seed := range []uint64{1, 2, 3} {
			for _, enabled := range []bool{false, true} {
				b.Run(fmt.Sprintf("load=%v/seed=%d/refusals=%v", load, seed, enabled), func(b *testing.B) {
					for b.Loop() {
						run := newRefusalRun(seed, 96, load, 180*time.Second, planner.Features{GangReservations: true, LossAwareStops: true, EarlyRefusals: enabled})
						run.play(180 * time.Second)
						for _, kind := range loadKinds {
							result := run.count(kind.name)
							b.ReportMetric(float64(result.accepted), kind.name+"-accepted")
							b.ReportMetric(float64(result.onTime), kind.name+"-on-time")
							b.ReportMetric(float64(result.late), kind.name+"-late")
							b.ReportMetric(float64(result.worthless), kind.name+"-worthless")
							b.ReportMetric(float64(result.refused), kind.name+"-refused")
						}
						b.ReportMetric(float64(run.logged), "log-lines")
					}
				})
			}
		}
	}
}

// refusalTestMinions and refusalTestTime are those of the tests. Gangs of 13 whole minions fit three times.
const (
	refusalTestMinions = 48
	refusalTestTime    = 150 * time.Second
)

func playRefusals(seed uint64, load float64, enabled bool) *refusalRun {
	run := newRefusalRun(seed, refusalTestMinions, load, refusalTestTime, planner.Features{GangReservations: true, EarlyRefusals: enabled})
	run.play(refusalTestTime)
	return run
}

// TestEarlyRefusalsUnderTwiceTheLoad guards against a rule that refuses too little to be of use, that costs
// callers jobs that are on time, that delays jobs of priority 0, and that shuts out a workspace or a kind
// of job.
func TestEarlyRefusalsUnderTwiceTheLoad(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			c := quicktest.New(t)
			without, with := playRefusals(seed, 2, false), playRefusals(seed, 2, true)
			c.Assert(with.violations, quicktest.HasLen, 0)
			var before, after refusalResult
			for _, kind := range loadKinds {
				one, other := without.count(kind.name), with.count(kind.name)
				t.Logf("%s: without %+v, with %+v, refused jobs that are on time without %d", kind.name, one, other, with.countRefusedInTime(without, kind.name))
				if kind.priority == 0 {
					c.Check(other.refused, quicktest.Equals, 0)
					c.Check(float64(other.onTime) >= 0.98*float64(one.onTime), quicktest.IsTrue)
					continue
				}
				before.add(one)
				after.add(other)
				with.checkNoneIsShutOut(c, &kind)
			}
			c.Check(after.refused > 0, quicktest.IsTrue)
			c.Check(after.onTime >= before.onTime, quicktest.IsTrue, quicktest.Commentf("%d on time, %d without", after.onTime, before.onTime))
			c.Check(after.shareTooLate() < 0.85*before.shareTooLate(), quicktest.IsTrue, quicktest.Commentf("share of worthless jobs %f, %f without", after.shareTooLate(), before.shareTooLate()))
		})
	}
}

// TestNoJobInTimeIsRefusedBelowTheCapacity guards against refusals in bursts of a load that fits.
func TestNoJobInTimeIsRefusedBelowTheCapacity(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			c := quicktest.New(t)
			without, with := playRefusals(seed, 0.8, false), playRefusals(seed, 0.8, true)
			for _, kind := range loadKinds {
				c.Check(with.countRefusedInTime(without, kind.name), quicktest.Equals, 0, quicktest.Commentf("seed %d", seed))
			}
			t.Log(seed, len(with.refused))
		})
	}
}

func (result *refusalResult) add(other refusalResult) {
	result.accepted += other.accepted
	result.refused += other.refused
	result.onTime += other.onTime
	result.late += other.late
	result.worthless += other.worthless
}

func (result *refusalResult) shareTooLate() float64 {
	return float64(result.worthless) / float64(result.accepted)
}

// countRefusedInTime returns how many refused jobs of a kind were on time in a run without the rule.
func (run *refusalRun) countRefusedInTime(without *refusalRun, kind string) int {
	inTime := make(map[identifier.Job]bool)
	for _, job := range without.jobs {
		inTime[job.spec.ID] = !job.doneAt.IsZero() && job.doneAt.Sub(job.submittedAt) <= job.objective()
	}
	count := 0
	for _, job := range run.refused {
		if job.kind.name == kind && inTime[job.spec.ID] {
			count++
		}
	}
	return count
}

// checkNoneIsShutOut checks that jobs of each workspace were accepted after half of the refusals.
func (run *refusalRun) checkNoneIsShutOut(c *quicktest.C, kind *loadKind) {
	c.Helper()
	if len(run.refused) == 0 {
		return
	}
	from := run.refused[len(run.refused)/2].submittedAt
	accepted := make(map[identifier.Workspace]int)
	for _, job := range run.jobs {
		if job.kind.name == kind.name && job.submittedAt.After(from) {
			accepted[job.spec.Workspace]++
		}
	}
	for _, workspace := range []identifier.Workspace{"w0", "w1"} {
		c.Check(accepted[workspace] > 0, quicktest.IsTrue, quicktest.Commentf("%s of %s", kind.name, workspace))
	}
}
