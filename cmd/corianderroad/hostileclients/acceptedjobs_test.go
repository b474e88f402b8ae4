package hostileclients_test

import (
	"context"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/frankban/quicktest"
)

// Crowds of jobs. The memory that their jobs need without a bound is several times memoryMB.
const (
	jobSenders = 8
	// wideJobs have the most tasks that a job may have, in bodies of 5 KB.
	wideJobs = 16
	// slimJobs have as many tasks, each in a step of its own, in bodies of 1 KB.
	slimJobs = 16
	// largeJobs have the most steps that a job may have, in bodies of 70 KB.
	largeJobs = 1600
	// longJobs have the longest payload, in bodies of 4 KB.
	longJobs = 8000
)

// absentLabel is a label that no minion has, so that the jobs of a crowd do not end.
const absentLabel = "absent"

// wideJob returns a job of 65,536 tasks in 4,096 steps of 64 occurrences. The tasks of a larger
// step need address space, but no memory before the first of them starts.
func wideJob() string { return scheduledJob(64, 64, 16) }

// slimJob returns a job of 65,536 tasks in as many steps.
func slimJob() string { return scheduledJob(4096, 16, 1) }

// scheduledJob returns a job whose occurrences are far in the future.
func scheduledJob(occurrences, steps, tasks int) string {
	step := fmt.Sprintf(`{"count":%d,"cpu":100,"estimateMs":10,"requiredLabel":%q}`, tasks, absentLabel)
	return fmt.Sprintf(`{"repeatCount":%d,"startAtMs":3900000000000,"intervalMs":1000,"steps":[%s%s]}`,
		occurrences, strings.Repeat(step+",", steps-1), step)
}

// largeJob returns a job with the longest payload and names, and the most dependencies.
func largeJob() string {
	const nameBytes, steps, payloadBytes = 240, 64, 4000
	name := strings.Repeat("n", nameBytes)
	first := fmt.Sprintf(`{"count":1,"cpu":100,"estimateMs":10,"requiredLabel":%q,"image":%q,"dataRack":%q}`, absentLabel, name, name)
	further := fmt.Sprintf(`,{"count":1,"cpu":100,"estimateMs":10,"requiredLabel":%q,"image":%q,"dataRack":%q,"dependsOn":[%s0]}`,
		name, name, name, strings.Repeat("0,", steps-1))
	return fmt.Sprintf(`{"spec":%q,"steps":[%s%s]}`, strings.Repeat("p", payloadBytes), first, strings.Repeat(further, steps-1))
}

// longJob returns a job with the longest payload.
func longJob() string {
	const payloadBytes = 4000
	return fmt.Sprintf(`{"spec":%q,"steps":[{"count":1,"cpu":100,"estimateMs":10,"requiredLabel":%q}]}`, strings.Repeat("p", payloadBytes), absentLabel)
}

// submitAll submits jobs of the first workspace and returns how many were accepted. It may
// cancel each of them at once.
func (node *node) submitAll(count int, body string, cancel bool) int {
	var senders sync.WaitGroup
	var sent, accepted atomic.Int64
	for range jobSenders {
		senders.Go(func() {
			for sent.Add(1) <= int64(count) {
				path := "/q/" + newJobID()
				if status, _ := call(context.Background(), node.front, http.MethodPost, path, firstKey, body); status != http.StatusOK {
					continue
				}
				accepted.Add(1)
				if cancel {
					call(context.Background(), node.front, http.MethodDelete, path, firstKey, "")
				}
			}
		})
	}
	senders.Wait()
	return int(accepted.Load())
}

// awaitGauge waits until a gauge of the node has at least a value.
func (node *node) awaitGauge(name string, least int) {
	pattern := regexp.MustCompile(`(?m)^corianderroad_` + name + `\{label=""\} (\S+)$`)
	node.await(fmt.Sprintf("%s of %d", name, least), func(ctx context.Context) bool {
		_, metrics := call(ctx, node.metrics, http.MethodGet, "/metrics", "", "")
		found := pattern.FindStringSubmatch(metrics)
		if found == nil {
			return false
		}
		value, err := strconv.ParseFloat(found[1], 64)
		return err == nil && int(value) >= least
	})
}

// awaitOpenJobs waits until the node has read that many jobs that have not ended.
func (node *node) awaitOpenJobs(count int) { node.awaitGauge("live_jobs", count) }

// awaitCompletedJob waits until an ordinary job has ended, so that the node is a holder that
// has the tasks of jobs in memory.
func (node *node) awaitCompletedJob(key string) {
	path := "/q/" + newJobID()
	node.await("an ordinary job has ended", func(ctx context.Context) bool {
		_, _ = call(ctx, node.entrance, http.MethodPost, path, key, `{"steps":[{"count":1,"cpu":100,"estimateMs":10}]}`)
		_, state := call(ctx, node.entrance, http.MethodGet, path, key, "")
		return strings.Contains(state, "completed")
	})
}

// endureJobs starts a node that becomes the holder, submits jobs of one workspace, and checks
// that the process keeps its limits and accepts an ordinary job of another workspace.
func endureJobs(t *testing.T, count int, body string) {
	c := quicktest.New(t)
	node := newNode(c, newStore(c), "n1")
	node.awaitCompletedJob(firstKey)
	accepted := node.submitAll(count, body, false)
	c.Logf("%d of %d jobs of %d bytes were accepted", accepted, count, len(body))
	c.Check(accepted > 0, quicktest.IsTrue)
	node.awaitOpenJobs(accepted)
	node.awaitAnswer(secondKey)
	node.checkLimits(node.sampler.awaitSample())
}

// TestJobsOfManyTasks guards against memory that grows with the tasks of accepted jobs, which
// small bodies have in any number.
func TestJobsOfManyTasks(t *testing.T) { endureJobs(t, wideJobs, wideJob()) }

// TestJobsOfManyOccurrences guards against memory that grows with the steps of all occurrences
// of accepted jobs.
func TestJobsOfManyOccurrences(t *testing.T) { endureJobs(t, slimJobs, slimJob()) }

// TestJobsOfManySteps guards against memory that grows with the payload and the steps of
// accepted jobs.
func TestJobsOfManySteps(t *testing.T) { endureJobs(t, largeJobs, largeJob()) }

// TestCancelledJobsOfManyTasks guards against memory that grows with the tasks of jobs that have
// ended and are kept because their state must stay readable.
func TestCancelledJobsOfManyTasks(t *testing.T) {
	c := quicktest.New(t)
	node := newNode(c, newStore(c), "n1")
	node.awaitCompletedJob(firstKey)
	accepted := node.submitAll(wideJobs, wideJob(), true)
	c.Logf("%d of %d jobs were accepted and cancelled", accepted, wideJobs)
	c.Check(accepted > 0, quicktest.IsTrue)
	node.awaitAnswer(secondKey)
	node.awaitCompletedJob(secondKey)
	node.checkLimits(node.sampler.awaitSample())
}

// endureRestart fills the smallest machine with jobs of one workspace and lets a crowd call it
// before and after a restart.
func endureRestart(t *testing.T, count int, body string) {
	c := quicktest.New(t)
	node := newNodeOn(c, smallestMachine, newStore(c).Address(), "n1")
	node.awaitCompletedJob(firstKey)
	accepted := node.submitAll(count, body, false)
	c.Logf("%d of %d jobs were accepted", accepted, count)
	c.Check(accepted > 0 && accepted < count, quicktest.IsTrue)
	node.awaitOpenJobs(accepted)
	gather(c, node.front, 2*crowdSize, mixed())
	node.awaitAnswer(secondKey)
	node.checkLimits(node.sampler.awaitSample())
	node.kill()
	node.start()
	gather(c, node.front, 2*crowdSize, mixed())
	node.awaitOpenJobs(accepted)
	node.awaitCompletedJob(secondKey)
	node.checkLimits(node.sampler.awaitSample())
}

// TestLongPayloadsAndCrowd guards against jobs that leave no memory for clients, and against a node
// that accepts more than it can hold when it starts: it has the records of all jobs in memory before
// it decodes the first.
func TestLongPayloadsAndCrowd(t *testing.T) { endureRestart(t, longJobs, longJob()) }

// TestManyStepsAndCrowd guards against the same with records of 70 KB, of which a page of the store
// may have 500.
func TestManyStepsAndCrowd(t *testing.T) { endureRestart(t, largeJobs, largeJob()) }
