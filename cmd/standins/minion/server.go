package minion

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"corianderroad/cmd/standins/executor"
	"corianderroad/cmd/standins/host"
	"corianderroad/cmd/standins/recorder"
)

const (
	// defaultRunTime applies to a body that declares none.
	defaultRunTime = 10 * time.Millisecond
	maxRunTime     = 10 * time.Minute
)

// Server answers the protocol of one minion.
type Server struct {
	name   string
	minion *executor.Executor[*Minion]
	record *executor.Executor[*recorder.Record]
	mux    *http.ServeMux
}

// New returns a server of the minion that the executor owns.
func New(name string, minion *executor.Executor[*Minion], record *executor.Executor[*recorder.Record]) *Server {
	server := &Server{name: name, minion: minion, record: record, mux: http.NewServeMux()}
	server.mux.HandleFunc("POST /call/{method}", server.call)
	server.mux.HandleFunc("GET /slots", server.slots)
	return server
}

// ServeHTTP implements http.Handler.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	mode, err := server.mode(request.Context())
	switch {
	case err != nil:
		host.Refuse(writer, http.StatusServiceUnavailable, err.Error())
	case mode == Dead:
		host.Break()
	case mode == Silent:
		host.Hang(request)
	default:
		server.mux.ServeHTTP(writer, request)
	}
}

// work is the body of a call. Other bodies run for the default time.
type work struct {
	RunTime string `json:"run-time"`
	// Call names the request for the record of executions.
	Call string `json:"call"`
	// Once says that the request must not run twice.
	Once bool `json:"once"`
}

func (server *Server) call(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		host.Break()
	}
	var declared work
	_ = json.Unmarshal(body, &declared)
	runTime, err := time.ParseDuration(declared.RunTime)
	if err != nil || runTime < 0 || runTime > maxRunTime {
		runTime = defaultRunTime
	}
	if !server.begin(writer, request) {
		return
	}
	// The slot stays busy when the caller leaves: the work goes on.
	ctx := context.WithoutCancel(request.Context())
	_ = server.record.Do(ctx, func(_ time.Time, record *recorder.Record) {
		record.Add(recorder.Execution{
			Call: declared.Call, Once: declared.Once,
			Key: request.Header.Get("Idempotency-Key"), Request: request.Header.Get("Request-Id"),
		})
	})
	host.Delay(ctx, runTime)
	server.end(writer, request, newAnswer(request, server.name, body, http.StatusOK))
}

// begin takes a slot, or answers that the request did not run.
func (server *Server) begin(writer http.ResponseWriter, request *http.Request) bool {
	var begun, leaving bool
	var busy int
	// A slot that was taken is always freed, so the caller's leaving must not
	// hide that it was taken.
	ctx := context.WithoutCancel(request.Context())
	err := server.minion.Do(ctx, func(_ time.Time, minion *Minion) {
		begun = minion.Begin()
		busy, leaving = minion.busy, minion.faults.Mode == Leaving
	})
	if err == nil && begun {
		return true
	}
	header := writer.Header()
	header.Set("Not-Run", "true")
	header.Set("Request-Id", request.Header.Get("Request-Id"))
	header.Set("Attempt-Id", request.Header.Get("Attempt-Id"))
	header.Set("Slots-Busy", strconv.Itoa(busy))
	header.Set("Leaving", strconv.FormatBool(leaving))
	host.Refuse(writer, http.StatusServiceUnavailable, "no free slot")
	return false
}

func (server *Server) end(writer http.ResponseWriter, request *http.Request, own Answer) {
	var sent Answer
	var happened Damage
	var faults Faults
	var busy int
	err := server.minion.Do(context.WithoutCancel(request.Context()), func(_ time.Time, minion *Minion) {
		faults = minion.faults
		if faults.Mode == Failing {
			own.status = http.StatusInternalServerError
		}
		sent, happened = minion.End(own)
		busy = minion.busy
	})
	switch {
	case err != nil || faults.Mode == Dead:
		host.Break()
	case faults.Mode == Silent:
		host.Hang(request)
	}
	sent.write(writer, happened, busy, faults.Mode == Leaving)
}

func (server *Server) slots(writer http.ResponseWriter, request *http.Request) {
	var body struct {
		Slots   int  `json:"slots"`
		Busy    int  `json:"busy"`
		Leaving bool `json:"leaving"`
	}
	err := server.minion.Do(request.Context(), func(_ time.Time, minion *Minion) {
		body.Slots, body.Busy, body.Leaving = minion.slots, minion.busy, minion.faults.Mode == Leaving
	})
	if err != nil {
		host.Refuse(writer, http.StatusServiceUnavailable, err.Error())
		return
	}
	host.Answer(writer, http.StatusOK, body)
}

func (server *Server) mode(ctx context.Context) (Mode, error) {
	var mode Mode
	err := server.minion.Do(ctx, func(_ time.Time, minion *Minion) { mode = minion.faults.Mode })
	return mode, err
}
