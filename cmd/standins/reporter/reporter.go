// Package reporter serves the counts and findings of the stand-ins over HTTP.
package reporter

import (
	"context"
	"net/http"
	"time"

	"corianderroad/cmd/standins/auditor"
	"corianderroad/cmd/standins/executor"
	"corianderroad/cmd/standins/host"
	"corianderroad/cmd/standins/logserver"
	"corianderroad/cmd/standins/minion"
	"corianderroad/cmd/standins/recorder"
	"corianderroad/cmd/standins/worker"
)

// Sources are the stand-ins that the report covers.
type Sources struct {
	Log       *executor.Executor[*logserver.Log]
	Minions   map[string]*executor.Executor[*minion.Minion]
	Workers   map[string]*executor.Executor[*worker.Worker]
	Record    *executor.Executor[*recorder.Record]
	Findings  *executor.Executor[*auditor.Findings]
	Listeners map[string]*host.Listener
}

// Report is the answer to GET /report.
type Report struct {
	Log logserver.Counts `json:"log"`
	// Record counts executions by all minions.
	Record  recorder.Counts `json:"record"`
	Minions minion.Counts   `json:"minions"`
	Workers worker.Counts   `json:"workers"`
	// ConnectionsRefused counts connections closed at a listener's limit.
	ConnectionsRefused uint64              `json:"connections-refused"`
	Audits             int                 `json:"audits"`
	Violations         []auditor.Violation `json:"gang-parts-alone"`
}

// Executions is the body of POST /executions. The answer has the same keys with
// the number of executions of each call.
type Executions struct {
	Calls []string `json:"calls"`
}

// New returns the handler of GET /report and POST /executions.
func New(sources Sources) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", func(writer http.ResponseWriter, request *http.Request) {
		report, err := sources.report(request.Context())
		if err != nil {
			host.WriteError(writer, http.StatusServiceUnavailable, err.Error())
			return
		}
		host.WriteJSON(writer, http.StatusOK, report)
	})
	mux.HandleFunc("POST /executions", sources.handleExecutions)
	return mux
}

func (sources Sources) report(ctx context.Context) (Report, error) {
	report := Report{Violations: []auditor.Violation{}}
	err := sources.Log.Do(ctx, func(_ time.Time, log *logserver.Log) { report.Log = log.Counts() })
	if err != nil {
		return Report{}, err
	}
	err = sources.Record.Do(ctx, func(_ time.Time, record *recorder.Record) { report.Record = record.Counts() })
	if err != nil {
		return Report{}, err
	}
	err = sources.Findings.Do(ctx, func(_ time.Time, findings *auditor.Findings) {
		report.Audits = findings.Audits
		report.Violations = append(report.Violations, findings.Violations...)
	})
	if err != nil {
		return Report{}, err
	}
	for _, source := range sources.Minions {
		err := source.Do(ctx, func(_ time.Time, minion *minion.Minion) { report.Minions = report.Minions.Add(minion.Counts()) })
		if err != nil {
			return Report{}, err
		}
	}
	for _, source := range sources.Workers {
		err := source.Do(ctx, func(_ time.Time, worker *worker.Worker) { report.Workers = report.Workers.Add(worker.Counts()) })
		if err != nil {
			return Report{}, err
		}
	}
	for _, listener := range sources.Listeners {
		report.ConnectionsRefused += listener.Refused()
	}
	return report, nil
}

func (sources Sources) handleExecutions(writer http.ResponseWriter, request *http.Request) {
	var query Executions
	if !host.Decode(writer, request, &query) {
		return
	}
	answer := struct {
		Executions map[string]uint64 `json:"executions"`
	}{make(map[string]uint64, len(query.Calls))}
	err := sources.Record.Do(request.Context(), func(_ time.Time, record *recorder.Record) {
		for _, call := range query.Calls {
			answer.Executions[call] = record.Executions(call)
		}
	})
	if err != nil {
		host.WriteError(writer, http.StatusServiceUnavailable, err.Error())
		return
	}
	host.WriteJSON(writer, http.StatusOK, answer)
}
