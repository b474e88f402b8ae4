package assembler_test

import (
	"context"
	"testing"

	"github.com/frankban/quicktest"

	"corianderroad/platform/imitator"
)

// TestStatusEndToEnd guards against a node that does not serve the status of the pool beside its
// metrics, or does not tell that it is the holder.
func TestStatusEndToEnd(t *testing.T) {
	c := quicktest.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	fake, minion := imitator.New(), imitator.NewMinion()
	defer fake.Close()
	settings, stop := startNode(ctx, c, fake, minion)
	waitForAnswer(ctx, c, "http://"+settings.Metrics.String()+"/status", "", `"holder":true,`)
	waitForAnswer(ctx, c, "http://"+settings.Metrics.String()+"/status", "", `"minions-by-availability":{"accepting":1}`)
	stop()
}
