package assembler_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/identifier"
	"corianderroad/platform/imitator"
)

// TestEvacuatedZoneGetsNoStart guards against a node that starts tasks on the minion of a zone
// that the operator has had evacuated, and against one that does not use it again after the
// withdrawal. An invalid request beside it changes nothing.
func TestEvacuatedZoneGetsNoStart(t *testing.T) {
	c := quicktest.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	fake, minion := imitator.New(), imitator.NewMinion()
	defer fake.Close()
	settings := newSettings(c, fake)
	settings.Bounds.EvacuationTime = 5 * time.Second
	settings.Zones = map[identifier.FailureDomain]identifier.Region{"a": "r", "b": "r"} // the minion is in zone a
	fake.Write("keyed.op", "evacuate/a", "{}")
	fake.Write("keyed.op", "evacuate/elsewhere", "{}")
	stop := startNodeWith(ctx, c, settings, fake, minion)
	url := "http://" + settings.FrontEnd.String() + "/q/5c0e7a21d94b36f8"
	status, body := send(ctx, c, http.MethodPost, url, "h.example", `{"spec":"text","steps":[{"count":2,"cpu":100,"estimateMs":10}]}`)
	c.Assert(status, quicktest.Equals, http.StatusOK, quicktest.Commentf("%s", body))
	metrics := "http://" + settings.Metrics.String() + "/metrics"
	waitForAnswer(ctx, c, metrics, "", `label="domain-evacuated"} 1`)
	c.Assert(minion.Starts(), quicktest.Equals, 0)
	waitForAnswer(ctx, c, metrics, "", `corianderroad_io_events_total{kind="record",result="unreadable"} 1`)
	fake.Write("keyed.op", "evacuate/a", "")
	waitForAnswer(ctx, c, url, "h.example", `"completed"`)
	c.Assert(minion.Starts(), quicktest.Equals, 2)
	stop()
}
