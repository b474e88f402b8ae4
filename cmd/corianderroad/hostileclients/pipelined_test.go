package hostileclients_test

import (
	"context"
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
)

// smallJob is the body of an ordinary job.
const smallJob = `{"spec":"text","steps":[{"count":1,"cpu":100,"estimateMs":10}]}`

// refusedForShare matches the metrics of a node that has refused jobs of a workspace for want of memory.
var refusedForShare = regexp.MustCompile(`accepted_job_refusals\{label="workspace-share"\} [1-9]`)

// TestJobsInOneGo guards against memory that grows with valid jobs that clients send in one go
// without reading an answer, and against callers who get none afterwards. The jobs count until
// their state need not be readable any more, so that callers of the same key may be refused.
func TestJobsInOneGo(t *testing.T) {
	const jobsPerClient = 200
	c := quicktest.New(t)
	node := newNode(c, newStore(c), "n1")
	crowd := gather(c, node.front, crowdSize/2, func(int) []string {
		var requests strings.Builder
		for range jobsPerClient {
			requests.WriteString(strings.Replace(post(firstKey, fmt.Sprintf("Content-Length: %d", len(smallJob))), "\r\n\r\n", "\r\n\r\n"+smallJob, 1))
		}
		return []string{requests.String()}
	})
	node.await("jobs of the crowd are refused", func(ctx context.Context) bool {
		_, metrics := call(ctx, node.metrics, http.MethodGet, "/metrics", "", "")
		return refusedForShare.MatchString(metrics)
	})
	node.awaitAnswer(secondKey)
	crowd.dismiss()
	node.awaitAnswer(secondKey)
	node.awaitVerdict(firstKey)
	node.checkLimits(node.sampler.awaitSample())
}

// awaitVerdict sends an ordinary job until it is accepted, or refused with the time to come back
// for the reason that the jobs of its workspace need their share.
func (node *node) awaitVerdict(key string) {
	node.await("an ordinary job is accepted or refused for its workspace", func(ctx context.Context) bool {
		status, header, content := callWithHeader(ctx, node.front, http.MethodPost, "/q/"+newJobID(), key, smallJob)
		if status == http.StatusServiceUnavailable && strings.Contains(content, "workspace-share") {
			node.c.Check(header.Get("Retry-After"), quicktest.Not(quicktest.Equals), "")
			return true
		}
		return status == http.StatusOK
	})
}
