package assembler_test

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"

	"github.com/frankban/quicktest"

	"corianderroad/platform/imitator"
)

// TestExplainEndToEnd guards against a node that does not serve the queries beside its
// metrics, says nothing of a job that no minion can hold, or does not tell that it is the holder.
func TestExplainEndToEnd(t *testing.T) {
	c := quicktest.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	fake, minion := imitator.New(), imitator.NewMinion()
	defer fake.Close()
	settings, stop := startNode(ctx, c, fake, minion)
	job, err := json.Marshal(map[string]any{"spec": "text", "steps": []map[string]any{{"count": 1, "cpu": 900000, "estimateMs": 10}}})
	c.Assert(err, quicktest.IsNil)
	status, body := send(ctx, c, http.MethodPost, "http://"+settings.FrontEnd.String()+"/q/5c0e7a21d94b36f8", "h.example", string(job))
	c.Assert(status, quicktest.Equals, http.StatusOK, quicktest.Commentf("%s", body))
	metrics := "http://" + settings.Metrics.String()
	waitForAnswer(ctx, c, metrics+"/explain/5c0e7a21d94b36f8", "", `"reason":"no-capacity"`)
	waitForAnswer(ctx, c, metrics+"/explain/5c0e7a21d94b36f8", "", `"fitting-minions":0,"basis":"unknown"`)
	waitForAnswer(ctx, c, metrics+"/status", "", `"holder":true,`)
	waitForAnswer(ctx, c, metrics+"/status", "", `"minions-by-availability":{"accepting":1}`)
	waitForAnswer(ctx, c, metrics+"/metrics", "", `corianderroad_runs{label=""} 0`)
	stop()
}
