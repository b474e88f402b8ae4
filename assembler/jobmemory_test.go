package assembler_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/assembler"
	"corianderroad/budgeter"
	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/platform"
	"corianderroad/specifier"
)

// TestUsualJobsFitIntoTheDefault guards against a default that refuses the jobs of a deployment
// in service at its worst times: 2,000 open jobs with up to 230 tasks each.
func TestUsualJobsFitIntoTheDefault(t *testing.T) {
	c := quicktest.New(t)
	const jobs, tasks = 2000, 230
	job := specifier.Job{Payload: "0123456789", Steps: []specifier.Step{{Tasks: tasks}}}
	needed := jobs * budgeter.Cost(&job)
	for _, machine := range []platform.Settings{{MemoryMB: 184, Descriptors: 4100}, {MemoryMB: 536, Descriptors: 8192}, {}} {
		limit, err := assembler.Options{}.CompleteJobMemory(&machine)
		c.Assert(err, quicktest.IsNil)
		c.Check(needed <= limit, quicktest.IsTrue, quicktest.Commentf("%d bytes needed, %d allowed with %d MB", needed, limit, machine.MemoryMB))
	}
}

// jobKind is a kind of job of a deployment with what its sheet says of it.
type jobKind struct {
	perSecond    float64
	steps, tasks int // tasks of each step
	// open is three times the objective, after which a job is late.
	open time.Duration
}

// largestLoad is the load of the largest deployment, where state is readable for two minutes.
var largestLoad = []jobKind{
	{perSecond: 3.75, steps: 1, tasks: 26, open: 57 * time.Second},
	{perSecond: 13.7, steps: 1, tasks: 8, open: 11 * time.Second},
	{perSecond: 3.69, steps: 2, tasks: 51, open: 70 * time.Second},
}

const (
	largestRetention = 2*time.Minute + 30*time.Second
	// loadTime is longer than the open time and the retention of each kind together, so that
	// as many jobs expire as come.
	loadTime = 5 * time.Minute
	// burstTime and burstFactor are for many users that come at once at its end.
	burstTime, burstFactor = 10 * time.Second, 3
)

// startTime is that of the load.
var startTime = time.Unix(1_000_000, 0)

// jobLoad submits jobs to a budget and tells it of their ends.
type jobLoad struct {
	budget  *budgeter.Budgeter
	largest float64 // share of the jobs that the largest workspace submits
	jobs    int
	// due are the calls at each second.
	due map[int][]func()
}

// submit submits one job with the longest payload, and returns the decision.
func (load *jobLoad) submit(second int, kind jobKind) budgeter.Verdict {
	workspace := identifier.Workspace("small")
	if float64(load.jobs%100) < 100*load.largest {
		workspace = "large"
	}
	load.jobs++
	id := identifier.Job(fmt.Sprint(load.jobs))
	job := specifier.Job{Payload: strings.Repeat("p", specifier.MaxPayloadBytes)}
	for range kind.steps {
		job.Steps = append(job.Steps, specifier.Step{Tasks: kind.tasks, Label: "label", DataRack: "rack-123", Image: "image"})
	}
	bytes := budgeter.Cost(&job)
	verdict := load.budget.Admit(id, workspace, bytes)
	load.budget.Read(id, workspace, bytes, time.Time{})
	end := second + int(kind.open.Seconds())
	load.due[end] = append(load.due[end], func() {
		job.Payload = ""
		load.budget.End(id, startTime.Add(time.Duration(end)*time.Second))
		load.budget.Shrink(id, budgeter.Cost(&job))
	})
	expiry := end + int(largestRetention.Seconds())
	load.due[expiry] = append(load.due[expiry], func() { load.budget.Release(id) })
	return verdict
}

// TestLargestLoadIsAccepted guards against a default that refuses jobs of the largest deployment
// on its smallest machine, although all have the longest payload, run until they are late, and
// belong to two workspaces or nearly all to one.
func TestLargestLoadIsAccepted(t *testing.T) {
	c := quicktest.New(t)
	limit, err := assembler.Options{}.CompleteJobMemory(&platform.Settings{MemoryMB: 160, Descriptors: 4100})
	c.Assert(err, quicktest.IsNil)
	for _, share := range []float64{0.5, 0.8, 0.99} {
		load := &jobLoad{budget: budgeter.New(limit, largestRetention), largest: share, due: make(map[int][]func())}
		arrived, highest := make([]float64, len(largestLoad)), int64(0)
		for second := range int(loadTime.Seconds()) {
			for _, call := range load.due[second] {
				call()
			}
			factor := 1.0
			if second >= int((loadTime - burstTime).Seconds()) {
				factor = burstFactor
			}
			for index, kind := range largestLoad {
				for arrived[index] += factor * kind.perSecond; arrived[index] >= 1; arrived[index]-- {
					c.Assert(load.submit(second, kind).IsRefusal(), quicktest.IsFalse, quicktest.Commentf("share %v, second %d", share, second))
				}
			}
			highest = max(highest, load.budget.View().Held)
		}
		c.Logf("share %v: %d bytes of %d", share, highest, limit)
	}
}

// TestJobMemoryIsChecked guards against a limit that the machine can't hold.
func TestJobMemoryIsChecked(t *testing.T) {
	c := quicktest.New(t)
	machine := &platform.Settings{MemoryMB: 184, Descriptors: 4100}
	for _, bytes := range []int64{-1, 1, 93 << 20} {
		err := assembler.Options{JobMemory: bytes}.Check(machine)
		c.Check(classifier.CodeOf(err), quicktest.Equals, classifier.InvalidSettings, quicktest.Commentf("%d", bytes))
	}
	c.Assert(assembler.Options{JobMemory: 92 << 20}.Check(machine), quicktest.IsNil)
}
