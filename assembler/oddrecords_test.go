package assembler_test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"corianderroad/assembler"
	"corianderroad/platform/imitator"
	"corianderroad/timekeeper"
)

// TestOddRecordsDoNotStopTheNode guards against one odd record of another writer that
// ends the node, or after which it no longer follows the records of the topic.
func TestOddRecordsDoNotStopTheNode(t *testing.T) {
	c := quicktest.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	fake, minion := imitator.New(), imitator.NewMinion()
	defer fake.Close()
	fake.Reply = minion.Reply
	writeOddRecords := func() {
		for _, topic := range []string{"keyed.op", "keyed.servers", "keyed.claim", "keyed.journal"} {
			for _, value := range []string{strings.Repeat("[", 100_000), `{"address":"10.0.0.1:65536"}`, "\xff", `{"version":1e999}`} {
				for _, key := range []string{"odd", "", strings.Repeat("k", 255), "config", "wave/1", "job/odd", "progress/odd"} {
					fake.Write(topic, key, value)
				}
			}
		}
	}
	writeOddRecords()
	settings := newSettings(c, fake)
	keeper, err := timekeeper.New()
	c.Assert(err, quicktest.IsNil)
	stop, ended := make(chan struct{}), make(chan error, 1)
	node := assembler.New(settings, assembler.Options{}, keeper.Now)
	go func() { ended <- node.Run(ctx, stop) }()

	fake.Write("keyed.op", "config", configuration)
	waitForAnswer(ctx, c, "http://"+settings.Readiness.String()+"/api/readyz", "", "")
	writeOddRecords()
	fake.Write("keyed.servers", "i-1", minion.Report("s", fake.Address()))
	url := "http://" + settings.FrontEnd.String() + "/q/5c0e7a21d94b36f8"
	status, body := send(ctx, c, http.MethodPost, url, "h.example", `{"spec":"text","steps":[{"count":2,"cpu":100}]}`)
	c.Assert(status, quicktest.Equals, http.StatusOK, quicktest.Commentf("%s", body))
	waitForAnswer(ctx, c, url, "h.example", `"completed"`)
	waitForAnswer(ctx, c, "http://"+settings.Metrics.String()+"/metrics", "", `corianderroad_io_events_total{kind="record",result="unreadable"}`)
	c.Check(minion.Starts(), quicktest.Equals, 2)
	close(stop)
	c.Assert(<-ended, quicktest.Equals, context.Canceled)
}
