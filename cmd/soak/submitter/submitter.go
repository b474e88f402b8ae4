// Package submitter simulates the callers of a deployment under test.
package submitter

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"corianderroad/cmd/soak/stager"
	"corianderroad/identifier"
	"corianderroad/platform/imitator"
)

// Behaviour of a caller.
const (
	maxAttempts = 6
	callTimeout = 3 * time.Second
	maxPause    = 400 * time.Millisecond
	// stopResponseTime is the time within which a stopping node must answer or
	// refuse a request.
	stopResponseTime = 200 * time.Millisecond
	// cancelFraction is the fraction of jobs that are cancelled.
	cancelFraction = 0.1
)

// Submitter is one caller. It leaves its connections open until the node closes
// them.
type Submitter struct {
	deployment *stager.Deployment
	random     *rand.Rand
	client     *http.Client
	number     int
	// crashRandom draws the jobs that crash minions, so that the other jobs of a seed do not
	// depend on them.
	crashRandom *rand.Rand
	jobs        []identifier.Job
}

// New returns a caller that draws its jobs from a random source.
func New(deployment *stager.Deployment, number int, random, crashRandom *rand.Rand) *Submitter {
	transport := &http.Transport{MaxIdleConnsPerHost: 2, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	return &Submitter{deployment: deployment, random: random, crashRandom: crashRandom, number: number, client: &http.Client{Transport: transport, Timeout: callTimeout}}
}

// Run submits, queries and cancels jobs until the context ends.
func (submitter *Submitter) Run(ctx context.Context) error {
	defer submitter.client.CloseIdleConnections()
	for ctx.Err() == nil {
		submitter.submit(ctx)
		if len(submitter.jobs) > 0 {
			submitter.CheckState(ctx, submitter.jobs[submitter.random.IntN(len(submitter.jobs))])
		}
		submitter.pause(ctx)
	}
	return nil
}

func (submitter *Submitter) pause(ctx context.Context) {
	select {
	case <-time.After(time.Duration(submitter.random.Int64N(int64(maxPause)))):
	case <-ctx.Done():
	}
}

// submit submits a job repeatedly until it is accepted or maxAttempts is reached.
func (submitter *Submitter) submit(ctx context.Context) {
	id := identifier.Job(fmt.Sprintf("%016x", submitter.random.Uint64()))
	body, behaviour, tasks, firstStepTasks := submitter.drawJob()
	submitter.deployment.Checker.Submitted(id, behaviour.String(), tasks, firstStepTasks, behaviour.Crashes)
	refused := true
	for range maxAttempts {
		answer := submitter.call(ctx, http.MethodPost, id, body)
		switch {
		case answer.status == http.StatusOK:
			submitter.deployment.Checker.Accepted(id)
			submitter.jobs = append(submitter.jobs, id)
			if submitter.random.Float64() < cancelFraction {
				submitter.cancel(ctx, id)
			}
			return
		case answer.status != http.StatusTooManyRequests && answer.status != http.StatusServiceUnavailable:
			refused = false
		}
		submitter.pause(ctx)
	}
	if refused {
		submitter.deployment.Checker.Refused(id)
	}
}

// drawJob draws a job of one or two steps. It returns the encoded job, the behaviour of
// its tasks, their number and that of the tasks of the first step.
func (submitter *Submitter) drawJob() (body string, behaviour imitator.Behaviour, tasks, firstStepTasks int) {
	random := submitter.random
	firstStepTasks = 1 + random.IntN(4)
	gang := 0
	if random.IntN(2) == 0 {
		gang = firstStepTasks
	}
	work := 50 + random.IntN(900)
	if random.IntN(3) == 0 {
		work += 1000 + random.IntN(4000) // exceeds the time for which an answer is awaited
	}
	behaviour = imitator.Behaviour{Work: time.Duration(work) * time.Millisecond, Members: gang, Accelerators: 1 << random.IntN(3)}
	submitter.drawCrash(&behaviour)
	step := func(count int, dependsOn []int) map[string]any {
		return map[string]any{
			"count": count, "cpu": 1000, "memMb": 100, "gpu": behaviour.Accelerators, "estimateMs": 500,
			"gang": gang > 0, "sameRack": random.IntN(3) == 0, "dependsOn": dependsOn,
		}
	}
	steps := []map[string]any{step(firstStepTasks, nil)}
	tasks = firstStepTasks
	if random.IntN(3) == 0 {
		steps = append(steps, step(firstStepTasks, []int{0}))
		tasks += firstStepTasks
	}
	encoded, _ := json.Marshal(map[string]any{"spec": behaviour.String(), "steps": steps}) // cannot fail on strings and numbers
	return string(encoded), behaviour, tasks, firstStepTasks
}

// crashShare is the fraction of jobs whose tasks crash their minions, and maxCrashDelay the
// longest time from the start to the crash.
const (
	crashShare    = 0.05
	maxCrashDelay = 1200 * time.Millisecond
)

// drawCrash lets some jobs crash the minions that start their tasks, at once or later.
func (submitter *Submitter) drawCrash(behaviour *imitator.Behaviour) {
	if submitter.crashRandom.Float64() >= crashShare {
		return
	}
	behaviour.Crashes = true
	if submitter.crashRandom.IntN(2) == 0 {
		behaviour.CrashAfter = time.Duration(submitter.crashRandom.Int64N(int64(maxCrashDelay)))
	}
	behaviour.Work = max(behaviour.Work, 2*maxCrashDelay)
}

func (submitter *Submitter) cancel(ctx context.Context, id identifier.Job) {
	submitter.deployment.Checker.CancelSent(id)
	for range maxAttempts {
		if answer := submitter.call(ctx, http.MethodDelete, id, ""); answer.status == http.StatusOK {
			submitter.deployment.Checker.Cancelled(id)
			return
		}
		submitter.pause(ctx)
	}
}

// CheckState queries any node for the state of a job and checks the answer.
func (submitter *Submitter) CheckState(ctx context.Context, id identifier.Job) {
	requestedAt := time.Now()
	answer := submitter.call(ctx, http.MethodGet, id, "")
	var shownState struct {
		State string `json:"state"`
	}
	switch answer.status {
	case http.StatusOK:
		if err := json.Unmarshal([]byte(answer.body), &shownState); err != nil {
			submitter.deployment.Checker.ReportViolation("state of %s: %v", id, err)
			return
		}
		submitter.deployment.Checker.CheckState(id, requestedAt, false, shownState.State)
	case http.StatusGone:
		submitter.deployment.Checker.CheckState(id, requestedAt, true, "")
	}
}

type callResult struct {
	status int
	body   string
}

// call sends one request to a randomly chosen node.
func (submitter *Submitter) call(ctx context.Context, method string, id identifier.Job, body string) callResult {
	node := submitter.deployment.Nodes[submitter.random.IntN(len(submitter.deployment.Nodes))]
	url := "http://" + node.ClientAddress.String() + stager.Prefix + string(id)
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		submitter.deployment.Checker.ReportViolation("request: %v", err)
		return callResult{}
	}
	request.Host = stager.Host
	request.Header.Set("Authorization", "Token "+submitter.deployment.Key())
	request.Header.Set("X-Corianderroad-Deadline-Ms", "2500")
	sentAt := time.Now()
	response, err := submitter.client.Do(request)
	if err != nil {
		submitter.deployment.Checker.Increment("calls without an answer")
		if node.StopsGracefully(sentAt) && time.Since(sentAt) > stopResponseTime && !isTimeout(err) && ctx.Err() == nil {
			submitter.deployment.Checker.ReportViolation("%s %s: node %s was stopping and closed the connection: %v", method, id, node.Name, err)
		}
		return callResult{}
	}
	defer response.Body.Close() //nolint:errcheck // the body is read completely
	content, err := io.ReadAll(response.Body)
	if err != nil {
		submitter.deployment.Checker.Increment("calls without an answer")
		return callResult{}
	}
	submitter.deployment.Checker.Increment(fmt.Sprintf("answers %d", response.StatusCode))
	return callResult{response.StatusCode, string(content)}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
