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
	// defaultRunTime applies to a body that declares no run time.
	defaultRunTime = 10 * time.Millisecond
	maxRunTime     = 10 * time.Minute
)

// Server implements the protocol of one minion.
type Server struct {
	name   string
	minion *executor.Executor[*Minion]
	record *executor.Executor[*recorder.Record]
	mux    *http.ServeMux
}

// New returns a server of the minion that the executor owns.
func New(name string, minion *executor.Executor[*Minion], record *executor.Executor[*recorder.Record]) *Server {
	server := &Server{name: name, minion: minion, record: record, mux: http.NewServeMux()}
	server.mux.HandleFunc("POST /call/{method}", server.handleCall)
	server.mux.HandleFunc("GET /slots", server.handleSlots)
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

// callBody is the body of a call. Calls with other bodies run for the default time.
type callBody struct {
	RunTime string `json:"run-time"`
	// Call names the request for the record of executions.
	Call string `json:"call"`
	// Once is true if the request must not run twice.
	Once bool `json:"once"`
}

func (server *Server) handleCall(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		host.Abort()
	}
	var declared callBody
	_ = json.Unmarshal(body, &declared)
	runTime, err := time.ParseDuration(declared.RunTime)
	if err != nil || runTime < 0 || runTime > maxRunTime {
		runTime = defaultRunTime
	}
	if !server.beginCall(writer, request) {
		return
	}
	// The work continues and the slot stays busy if the caller disconnects.
	ctx := context.WithoutCancel(request.Context())
	_ = server.record.Do(ctx, func(_ time.Time, record *recorder.Record) {
		record.Add(recorder.Execution{
			Call: declared.Call, Once: declared.Once,
			Key: request.Header.Get("Idempotency-Key"), Request: request.Header.Get("Request-Id"),
		})
	})
	host.Sleep(ctx, runTime)
	server.endCall(writer, request, newAnswer(request, server.name, body, http.StatusOK))
}

// beginCall occupies a slot, or responds that the request did not run.
func (server *Server) beginCall(writer http.ResponseWriter, request *http.Request) bool {
	var begun, leaving bool
	var busy int
	// The operation ignores the cancellation of the request: otherwise it could
	// occupy a slot unnoticed, and the slot would never be freed.
	ctx := context.WithoutCancel(request.Context())
	err := server.minion.Do(ctx, func(_ time.Time, minion *Minion) {
		begun = minion.BeginCall()
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
	host.WriteError(writer, http.StatusServiceUnavailable, "no free slot")
	return false
}

func (server *Server) endCall(writer http.ResponseWriter, request *http.Request, answer Answer) {
	var sent Answer
	var damage Damage
	var faults Faults
	var busy int
	err := server.minion.Do(context.WithoutCancel(request.Context()), func(_ time.Time, minion *Minion) {
		faults = minion.faults
		if faults.Mode == Failing {
			answer.status = http.StatusInternalServerError
		}
		sent, damage = minion.EndCall(answer)
		busy = minion.busy
	})
	switch {
	case err != nil || faults.Mode == Dead:
		host.Abort()
	case faults.Mode == Unresponsive:
		host.Hang(request)
	}
	sent.write(writer, damage, busy, faults.Mode == Leaving)
}

func (server *Server) handleSlots(writer http.ResponseWriter, request *http.Request) {
	var body struct {
		Slots   int  `json:"slots"`
		Busy    int  `json:"busy"`
		Leaving bool `json:"leaving"`
	}
	err := server.minion.Do(request.Context(), func(_ time.Time, minion *Minion) {
		body.Slots, body.Busy, body.Leaving = minion.slots, minion.busy, minion.faults.Mode == Leaving
	})
	if err != nil {
		host.WriteError(writer, http.StatusServiceUnavailable, err.Error())
		return
	}
	host.WriteJSON(writer, http.StatusOK, body)
}

func (server *Server) mode(ctx context.Context) (Mode, error) {
	var mode Mode
	err := server.minion.Do(ctx, func(_ time.Time, minion *Minion) { mode = minion.faults.Mode })
	return mode, err
}
