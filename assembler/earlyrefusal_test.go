package assembler_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/assembler"
	"corianderroad/encoder"
	"corianderroad/messenger"
	"corianderroad/planner"
	"corianderroad/platform/imitator"
	"corianderroad/specifier"
	"corianderroad/timekeeper"
)

// refusalConfiguration has a queue of priority 2 whose jobs must end within 3 times their run time.
const refusalConfiguration = `{"version":1,"routes":[{"name":"q","host":"h.example","pathPrefix":"/q/","service":"s","priority":2,` +
	`"attempts":2,"stretch":3}],"services":[{"name":"s"}],"tenants":[{"name":"t","apiKeys":["key"]}]}`

// publishWaits renews a claim with long waits, as another node would, until the context ends.
func publishWaits(ctx context.Context, fake *imitator.Imitator, now func() time.Time) {
	claim := messenger.Claim{Node: "other", Incarnation: 1}
	for {
		claim.Serial++
		claim.Waits = &messenger.QueueWaits{ComputedAt: now(), Queues: []messenger.QueueWait{{
			Queue: "q", TimelyWait: time.Minute, Wait: time.Minute, RunTime: time.Second, Tasks: 1,
			LargestMinion: specifier.Resources{MilliCPU: 32_000, MemoryMB: 64_000},
		}}}
		if record, err := encoder.MarshalClaim(claim); err == nil {
			fake.Write("keyed.claim", record.Key, string(record.Value))
		}
		claim.Token = 1
		select {
		case <-ctx.Done():
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// submitJob submits a job of one second. It returns the status and the retry delay of the answer.
func submitJob(ctx context.Context, c *quicktest.C, url string) (int, string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(`{"spec":"text","steps":[{"count":1,"cpu":100,"estimateMs":1000}]}`))
	c.Assert(err, quicktest.IsNil)
	request.Host = "h.example"
	request.Header.Set("Authorization", "Token key")
	answer, err := http.DefaultClient.Do(request)
	c.Assert(err, quicktest.IsNil)
	c.Assert(answer.Body.Close(), quicktest.IsNil)
	return answer.StatusCode, answer.Header.Get("Retry-After")
}

// TestEarlyRefusalEndToEnd guards against waits that do not get from the holder's renewals to the clients of
// another node, against a refusal without a retry delay or of a job that is in the journal, and against
// refusals by a node without the flag.
func TestEarlyRefusalEndToEnd(t *testing.T) {
	for _, enabled := range []bool{true, false} {
		t.Run(fmt.Sprint("enabled=", enabled), func(t *testing.T) {
			c := quicktest.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			fake := imitator.New()
			defer fake.Close()
			fake.Write("keyed.op", "config", refusalConfiguration)
			keeper, err := timekeeper.New()
			c.Assert(err, quicktest.IsNil)
			publishing, stopPublishing := context.WithCancel(ctx)
			defer stopPublishing()
			go publishWaits(publishing, fake, keeper.Now)
			settings, ended := newSettings(c, fake), make(chan error, 1)
			node := assembler.New(settings, assembler.Options{Features: planner.Features{EarlyRefusals: enabled}}, keeper.Now)
			stop := make(chan struct{})
			go func() { ended <- node.Run(ctx, stop) }()
			waitForAnswer(ctx, c, "http://"+settings.Readiness.String()+"/api/readyz", "", "")
			checkRefusals(ctx, c, "http://"+settings.FrontEnd.String()+"/q/", fake, enabled)
			if enabled {
				metrics := "http://" + settings.Metrics.String() + "/metrics"
				waitForAnswer(ctx, c, metrics, "", `corianderroad_early_refusals_total{queue="q"}`)
				waitForAnswer(ctx, c, metrics, "", `corianderroad_published_wait_seconds{label="q"} 60`)
			}
			close(stop)
			c.Assert(<-ended, quicktest.Equals, context.Canceled)
		})
	}
}

// checkRefusals submits jobs until one is refused, or during some renewals of the claim if none is to be.
func checkRefusals(ctx context.Context, c *quicktest.C, url string, fake *imitator.Imitator, enabled bool) {
	const renewals = 10
	for number := 0; enabled || len(fake.Values("keyed.claim")) < renewals; number++ {
		id := fmt.Sprintf("5c0e7a21d94b%04x", number)
		status, retryAfter := submitJob(ctx, c, url+id)
		if status == http.StatusOK {
			continue
		}
		c.Assert(enabled, quicktest.IsTrue)
		c.Assert(status, quicktest.Equals, http.StatusTooManyRequests)
		seconds, err := strconv.Atoi(retryAfter)
		c.Assert(err, quicktest.IsNil)
		c.Assert(seconds >= 1 && seconds <= 30, quicktest.IsTrue)
		status, _ = send(ctx, c, http.MethodGet, url+id, "h.example", "")
		c.Assert(status, quicktest.Equals, http.StatusGone)
		return
	}
}
