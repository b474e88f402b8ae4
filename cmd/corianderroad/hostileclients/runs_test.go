package hostileclients_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/platform/imitator"
)

// noObserver ignores what minions do.
type noObserver struct{}

func (noObserver) Started(_, _ string, _ uint64, _ string) {}
func (noObserver) Ended(_, _ string, _ uint64, _ string)   {}
func (noObserver) Acknowledged(string, uint64)             {}
func (noObserver) CrashedBy(_, _ string)                   {}
func (noObserver) Overloaded(_, _ string, _, _ int)        {}

// leasedLabel is on all minions that hold what they run under a lease, and not on the other one,
// whose runs end at once.
const leasedLabel = "leased"

// addPool adds minions to the store that hold what they run under a lease.
func addPool(c *quicktest.C, store *imitator.Imitator, count int) {
	pool := imitator.NewPool(noObserver{}, nil)
	for number := range count {
		minion := pool.NewMinion(fmt.Sprintf("leased-%d", number), 1)
		store.Write("keyed.servers", minion.Name, minion.Report(service, "a", leasedLabel, minion.Address()))
		c.Cleanup(minion.Close)
	}
}

// tinyTasks returns a job of 32,768 tasks of which a minion has room for 32,000 at a time.
func tinyTasks() string {
	const steps, tasks = 16, 2048
	step := fmt.Sprintf(`{"count":%d,"cpu":1,"estimateMs":600000,"requiredLabel":%q}`, tasks, leasedLabel)
	return fmt.Sprintf(`{"spec":%q,"steps":[%s%s]}`, imitator.Behaviour{Work: 10 * time.Minute}, strings.Repeat(step+",", steps-1), step)
}

// ordinaryRuns is less than what one workspace may have on the ordinary machine, 72 runs for each MB.
func ordinaryRuns() int { return memoryMB * 6000 / 96 }

// awaitRuns waits until the holder has as many runs as ordinaryRuns says.
func (node *node) awaitRuns() { node.awaitGauge("runs", ordinaryRuns()) }

// TestTinyTasks guards against memory that grows with running tasks: a run needs much more than a
// task that waits, and bodies of 1 KB have as many as the pool has room for.
func TestTinyTasks(t *testing.T) {
	const (
		minions, jobs = 4, 16
		// startTime is for the starts beyond the limit: without one, the process exceeds its
		// memory within this time.
		startTime = 30 * time.Second
	)
	c := quicktest.New(t)
	store := newStore(c)
	addPool(c, store, minions)
	node := newNode(c, store, "n1")
	node.await("the node is the holder", node.isHolder)
	accepted := node.submitAll(jobs, tinyTasks(), false)
	c.Logf("%d of %d jobs were accepted", accepted, jobs)
	c.Check(accepted > 0, quicktest.IsTrue)
	node.awaitRuns()
	for end := time.Now().Add(startTime); time.Now().Before(end); wait(context.Background(), time.Second) {
		node.awaitAnswer(secondKey)
	}
	node.checkLimits(node.sampler.awaitSample())
}

// TestTinyTasksAndCrowd guards against runs that leave no memory for clients, and against a node that
// needs more when it learns of them from all minions at once.
func TestTinyTasksAndCrowd(t *testing.T) {
	const minions, jobs = 4, 16
	c := quicktest.New(t)
	store := newStore(c)
	addPool(c, store, minions)
	node := newNode(c, store, "n1")
	node.await("the node is the holder", node.isHolder)
	node.submitAll(jobs, tinyTasks(), false)
	node.awaitRuns()
	gather(c, node.front, 2*crowdSize, mixed())
	node.awaitAnswer(secondKey)
	node.checkLimits(node.sampler.awaitSample())
	node.kill()
	node.start()
	gather(c, node.front, 2*crowdSize, mixed())
	node.awaitRuns()
	node.awaitAnswer(secondKey)
	node.checkLimits(node.sampler.awaitSample())
}
