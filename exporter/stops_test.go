package exporter_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/frankban/quicktest"

	"corianderroad/exporter"
	"corianderroad/messenger"
	"corianderroad/querier"
)

type noGauges struct{}

func (noGauges) Inspect(context.Context, querier.Query) (querier.Answer, error) {
	return querier.Answer{}, nil
}

// TestStopsAreExported guards against counters of stopped work that are counted and not
// shown, or shown under another name or label.
func TestStopsAreExported(t *testing.T) {
	c := quicktest.New(t)
	exporter := exporter.New(nil, noGauges{})
	exporter.Count(messenger.Count{Counter: messenger.StoppedRuns, Reason: "drain"})
	exporter.Count(messenger.Count{Counter: messenger.BrokenGangs, Reason: "failed"})
	exporter.Count(messenger.Count{Counter: messenger.RepeatedStops})
	exporter.CountLoss(messenger.WorkLost{Rule: "drain", CoreSeconds: 12.5})
	exporter.CountLoss(messenger.WorkLost{Rule: "drain", CoreSeconds: 2})
	recorder := httptest.NewRecorder()
	exporter.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, line := range []string{
		`corianderroad_stopped_runs_total{rule="drain"} 1`,
		`corianderroad_broken_gangs_total{cause="failed"} 1`,
		`corianderroad_repeated_stops_total 1`,
		`corianderroad_lost_core_seconds_total{rule="drain"} 14.5`,
	} {
		c.Assert(recorder.Body.String(), quicktest.Contains, line+"\n")
	}
	c.Assert(recorder.Body.String(), quicktest.Not(quicktest.Contains), "corianderroad_transitions_total{")
}
