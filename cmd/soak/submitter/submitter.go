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
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"corianderroad/cmd/soak/stager"
	"corianderroad/identifier"
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
	source     Jobs
	pace       Pace
	jobs       []identifier.Job
	// unfinished are the jobs that count for the pace.
	unfinished []identifier.Job
}

// New returns a caller of the jobs of a source. It draws all else from random.
func New(deployment *stager.Deployment, random *rand.Rand, source Jobs, pace Pace) *Submitter {
	transport := &http.Transport{MaxIdleConnsPerHost: 2, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	return &Submitter{deployment: deployment, random: random, source: source, pace: pace, client: &http.Client{Transport: transport, Timeout: callTimeout}}
}

// Run submits, queries and cancels jobs until the context ends.
func (submitter *Submitter) Run(ctx context.Context) error {
	defer submitter.client.CloseIdleConnections()
	for ctx.Err() == nil {
		submitter.submit(ctx)
		if len(submitter.jobs) > 0 {
			submitter.CheckState(ctx, submitter.jobs[submitter.random.IntN(len(submitter.jobs))])
		}
		submitter.pause(ctx, submitter.pace.MaxPause)
		submitter.awaitFinished(ctx)
	}
	return nil
}

// awaitFinished queries the caller's jobs until few enough are unfinished.
func (submitter *Submitter) awaitFinished(ctx context.Context) {
	if submitter.pace.MaxUnfinished == 0 {
		return
	}
	for ctx.Err() == nil {
		submitter.unfinished = slices.DeleteFunc(submitter.unfinished, func(id identifier.Job) bool {
			submitter.CheckState(ctx, id)
			return !submitter.deployment.Checker.IsUnfinished(id)
		})
		if len(submitter.unfinished) < submitter.pace.MaxUnfinished {
			return
		}
		submitter.pause(ctx, maxPause)
	}
}

func (submitter *Submitter) pause(ctx context.Context, longest time.Duration) {
	select {
	case <-time.After(time.Duration(submitter.random.Int64N(int64(longest)))):
	case <-ctx.Done():
	}
}

// submit submits a job repeatedly until it is accepted or the attempts of its pace are used up.
func (submitter *Submitter) submit(ctx context.Context) {
	id := identifier.Job(fmt.Sprintf("%016x", submitter.random.Uint64()))
	job := submitter.source.Draw()
	body := job.encode()
	submitter.deployment.Checker.Submitted(id, job.behaviour.String(), job.tasks, job.firstStepTasks, job.behaviour.Crashes)
	refused := true
	for range submitter.pace.MaxAttempts {
		answer := submitter.call(ctx, http.MethodPost, id, body)
		switch {
		case answer.status == http.StatusOK:
			submitter.deployment.Checker.Accepted(id)
			submitter.jobs, submitter.unfinished = append(submitter.jobs, id), append(submitter.unfinished, id)
			if submitter.random.Float64() < cancelFraction {
				submitter.cancel(ctx, id)
			}
			return
		case answer.status != http.StatusTooManyRequests && answer.status != http.StatusServiceUnavailable:
			refused = false
		}
		submitter.pause(ctx, maxPause)
	}
	if refused {
		submitter.deployment.Checker.Refused(id)
	}
}

func (submitter *Submitter) cancel(ctx context.Context, id identifier.Job) {
	submitter.deployment.Checker.CancelSent(id)
	for range maxAttempts {
		if answer := submitter.call(ctx, http.MethodDelete, id, ""); answer.status == http.StatusOK {
			submitter.deployment.Checker.Cancelled(id)
			return
		}
		submitter.pause(ctx, maxPause)
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
