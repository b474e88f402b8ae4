package assembler_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/assembler"
	"corianderroad/platform"
	"corianderroad/platform/imitator"
	"corianderroad/timekeeper"
)

// freeAddress returns a local address on which no process listens. The host is one of this process
// alone: on 127.0.0.1 an outgoing connection of another process could take the port meanwhile.
func freeAddress(c *quicktest.C) netip.AddrPort {
	pid := os.Getpid()
	host := netip.AddrFrom4([4]byte{127, 1 + byte(pid>>16&0x3f), byte(pid >> 8), byte(pid)})
	listener, err := net.Listen("tcp", netip.AddrPortFrom(host, 0).String())
	c.Assert(err, quicktest.IsNil)
	defer func() { c.Check(listener.Close(), quicktest.IsNil) }()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// testTimeout limits the duration of the whole test. It is not a performance target.
const testTimeout = 30 * time.Second

// waitForAnswer repeats a request until the answer contains the wanted text.
func waitForAnswer(ctx context.Context, c *quicktest.C, url, host, wanted string) {
	for {
		status, body := send(ctx, c, http.MethodGet, url, host, "")
		if status == http.StatusOK && strings.Contains(body, wanted) {
			return
		}
		select {
		case <-ctx.Done():
			c.Fatalf("%s: last answer %d %q, wanted %q", url, status, body, wanted)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func send(ctx context.Context, c *quicktest.C, method, url, host, body string) (int, string) {
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	c.Assert(err, quicktest.IsNil)
	request.Host = host
	request.Header.Set("Authorization", "Token key")
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { c.Check(answer.Body.Close(), quicktest.IsNil) }()
	content, err := io.ReadAll(answer.Body)
	c.Assert(err, quicktest.IsNil)
	return answer.StatusCode, string(content)
}

const configuration = `{"version":1,"routes":[{"name":"q","host":"h.example","pathPrefix":"/q/","service":"s",` +
	`"attempts":2,"stretch":3}],"services":[{"name":"s"}],"tenants":[{"name":"t","apiKeys":["key"]}]}`

// newSettings returns the settings of a node that uses the store.
func newSettings(c *quicktest.C, fake *imitator.Imitator) *platform.Settings {
	return &platform.Settings{
		Node: "n", FailureDomain: "a", Region: "r", FrontEnd: freeAddress(c), Readiness: freeAddress(c), Metrics: freeAddress(c),
		Store: fake.Address(), Bounds: platform.Bounds{
			Grace: 2600 * time.Millisecond, Revocation: 5 * time.Second, MaxLease: 6 * time.Second,
			StopTimeout: 500 * time.Millisecond, StatusRetention: time.Minute, ReclaimTime: 3 * time.Second,
		},
		RecordBytes: 256 << 10, RequestBytes: 2 << 20,
	}
}

// startNode starts a node with one queue and one minion. The function that it returns
// stops the node and checks how it ended.
func startNode(ctx context.Context, c *quicktest.C, fake *imitator.Imitator, minion *imitator.Minion) (*platform.Settings, func()) {
	settings := newSettings(c, fake)
	return settings, startNodeWith(ctx, c, settings, fake, minion)
}

// startNodeWith starts a node as startNode does, with the given settings.
func startNodeWith(ctx context.Context, c *quicktest.C, settings *platform.Settings, fake *imitator.Imitator, minion *imitator.Minion) func() {
	fake.Reply = minion.Reply
	fake.Write("keyed.servers", "i-1", minion.Report("s", fake.Address()))
	fake.Write("keyed.op", "config", configuration)
	keeper, err := timekeeper.New()
	c.Assert(err, quicktest.IsNil)
	stop, ended := make(chan struct{}), make(chan error, 1)
	node := assembler.New(settings, assembler.Options{}, keeper.Now)
	go func() { ended <- node.Run(ctx, stop) }()

	waitForAnswer(ctx, c, "http://"+settings.Readiness.String()+"/api/readyz", "", "")
	return func() {
		close(stop)
		c.Assert(<-ended, quicktest.Equals, context.Canceled)
		c.Assert(ctx.Err(), quicktest.IsNil)
	}
}

// TestJobRunsEndToEnd guards against a node that does not start a client's job on a
// minion or does not report the job's end to the client, and against one that does
// not stop when requested.
func TestJobRunsEndToEnd(t *testing.T) {
	c := quicktest.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	fake, minion := imitator.New(), imitator.NewMinion()
	defer fake.Close()
	settings, stop := startNode(ctx, c, fake, minion)
	url := "http://" + settings.FrontEnd.String() + "/q/5c0e7a21d94b36f8"
	job, err := json.Marshal(map[string]any{"spec": "text", "steps": []map[string]any{{"count": 2, "cpu": 100, "estimateMs": 10}}})
	c.Assert(err, quicktest.IsNil)
	status, body := send(ctx, c, http.MethodPost, url, "h.example", string(job))
	c.Assert(status, quicktest.Equals, http.StatusOK, quicktest.Commentf("%s", body))
	waitForAnswer(ctx, c, url, "h.example", `"completed"`)
	waitForAnswer(ctx, c, "http://"+settings.Metrics.String()+"/metrics", "", `corianderroad_answer_seconds_count{kind="submit",result="ok"} 1`)
	c.Assert(minion.Starts(), quicktest.Equals, 2)

	stop()
}
