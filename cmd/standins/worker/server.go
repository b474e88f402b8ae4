package worker

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"corianderroad/classifier"
	"corianderroad/cmd/standins/executor"
	"corianderroad/cmd/standins/host"
	"corianderroad/identifier"
)

// command applies one call to the worker.
type command func(now time.Time, worker *Worker, call callBody) *classifier.Error

var commands = map[string]command{
	"POST /reserve": func(now time.Time, worker *Worker, call callBody) *classifier.Error {
		return worker.Reserve(now, call.Term, Reserve{call.Gang, call.Accelerators, call.Members, time.Duration(call.Lease)})
	},
	"POST /start": func(now time.Time, worker *Worker, call callBody) *classifier.Error {
		return worker.Start(now, call.Term, Start{
			call.Gang, time.Duration(call.WorkerClock), time.Duration(call.Lease), time.Duration(call.RunTime), time.Duration(call.Progress),
		})
	},
	"POST /renew": func(now time.Time, worker *Worker, call callBody) *classifier.Error {
		return worker.Renew(now, call.Term, Renew{time.Duration(call.WorkerClock), time.Duration(call.Lease), call.Gangs})
	},
	"POST /checkpoint": func(now time.Time, worker *Worker, call callBody) *classifier.Error {
		return worker.Checkpoint(now, call.Term, Checkpoint{call.Gang, time.Duration(call.Grace)})
	},
	"POST /release": func(now time.Time, worker *Worker, call callBody) *classifier.Error {
		return worker.Release(now, call.Term, Release{call.Gang})
	},
}

// Server implements the protocol of one worker.
type Server struct {
	worker *executor.Executor[*Worker]
	// usageLag is the age of the usage that is reported.
	usageLag time.Duration
	mux      *http.ServeMux
}

// New returns a server of the worker that the executor owns.
func New(worker *executor.Executor[*Worker], usageLag time.Duration) *Server {
	server := &Server{worker: worker, usageLag: usageLag, mux: http.NewServeMux()}
	for pattern, apply := range commands {
		server.mux.HandleFunc(pattern, func(writer http.ResponseWriter, request *http.Request) {
			var call callBody
			if host.Decode(writer, request, &call) {
				server.apply(writer, request, apply, call)
			}
		})
	}
	server.mux.HandleFunc("GET /state", server.handleState)
	server.mux.HandleFunc("GET /usage", server.handleUsage)
	return server
}

// ServeHTTP implements http.Handler.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	mode, err := server.mode(request.Context())
	switch {
	case err != nil:
		host.WriteError(writer, http.StatusServiceUnavailable, err.Error())
	case mode == Dead:
		host.Abort()
	case mode == Unresponsive:
		host.Hang(request)
	default:
		server.mux.ServeHTTP(writer, request)
	}
}

func (server *Server) apply(writer http.ResponseWriter, request *http.Request, apply command, call callBody) {
	var refusal *classifier.Error
	var report Report
	err := server.worker.Do(request.Context(), func(now time.Time, worker *Worker) {
		refusal = apply(now, worker, call)
		report = worker.Report(now)
	})
	switch {
	case err != nil:
		host.WriteError(writer, http.StatusServiceUnavailable, err.Error())
	case refusal != nil:
		status := http.StatusConflict
		if refusal.Code == classifier.BadRequest {
			status = http.StatusBadRequest
		}
		host.WriteJSON(writer, status, refusalBody{uint16(refusal.Code), refusal.Message, report.HighestTerm})
	default:
		host.WriteJSON(writer, http.StatusOK, newReportBody(report))
	}
}

func (server *Server) handleState(writer http.ResponseWriter, request *http.Request) {
	query := func(time.Time, *Worker, callBody) *classifier.Error { return nil }
	var call callBody
	if text := request.URL.Query().Get("term"); text != "" {
		term, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			host.WriteJSON(writer, http.StatusBadRequest, refusalBody{Code: uint16(classifier.BadRequest), Message: "term is not a number"})
			return
		}
		call.Term = identifier.Term(term)
		query = func(now time.Time, worker *Worker, call callBody) *classifier.Error {
			return worker.AcceptTerm(now, call.Term)
		}
	}
	server.apply(writer, request, query, call)
}

func (server *Server) handleUsage(writer http.ResponseWriter, request *http.Request) {
	answer := struct {
		AsOf time.Time                   `json:"as-of"`
		Jobs map[identifier.Job]duration `json:"accelerator-time"`
	}{Jobs: make(map[identifier.Job]duration)}
	err := server.worker.Do(request.Context(), func(now time.Time, worker *Worker) {
		answer.AsOf = now.Add(-server.usageLag)
		for job, used := range worker.Usage(now, answer.AsOf) {
			answer.Jobs[job] = duration(used)
		}
	})
	if err != nil {
		host.WriteError(writer, http.StatusServiceUnavailable, err.Error())
		return
	}
	host.WriteJSON(writer, http.StatusOK, answer)
}

func (server *Server) mode(ctx context.Context) (Mode, error) {
	var mode Mode
	err := server.worker.Do(ctx, func(_ time.Time, worker *Worker) { mode = worker.mode })
	return mode, err
}
