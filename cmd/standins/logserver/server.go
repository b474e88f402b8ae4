package logserver

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"corianderroad/cmd/standins/executor"
	"corianderroad/cmd/standins/host"
	"corianderroad/identifier"
)

const (
	defaultLimit = 256
	maxLimit     = 1024
	maxWait      = 30 * time.Second
	// maxPayload is the largest append that the service accepts.
	maxPayload = 2 << 20
)

// Server implements the protocol of the log service.
type Server struct {
	log *executor.Executor[*Log]
	mux *http.ServeMux
}

// New returns a server of the log that the executor owns.
func New(log *executor.Executor[*Log]) *Server {
	server := &Server{log: log, mux: http.NewServeMux()}
	server.mux.HandleFunc("POST /streams/{stream}/appends", server.withFaults(server.handleAppend))
	server.mux.HandleFunc("GET /streams/{stream}/appends", server.withFaults(server.handleRead))
	return server
}

// ServeHTTP implements http.Handler.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	server.mux.ServeHTTP(writer, request)
}

// withFaults wraps a handler and applies the faults that affect every request.
func (server *Server) withFaults(handler http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		var faults Faults
		exists := false
		err := server.log.Do(request.Context(), func(_ time.Time, log *Log) {
			faults, exists = log.Faults(), log.HasStream(streamOf(request))
		})
		switch {
		case err != nil:
			host.WriteError(writer, http.StatusServiceUnavailable, err.Error())
		case faults.Mode == Down:
			host.Abort()
		case faults.Mode == Unresponsive:
			host.Hang(request)
		case !host.Sleep(request.Context(), faults.Delay):
			// The client has disconnected.
		case !exists:
			host.WriteError(writer, http.StatusNotFound, "no such stream")
		default:
			handler(writer, request)
		}
	}
}

func (server *Server) handleAppend(writer http.ResponseWriter, request *http.Request) {
	var body struct {
		ID      string `json:"id"`
		Payload []byte `json:"payload"`
	}
	if !host.Decode(writer, request, &body) {
		return
	}
	if body.ID == "" || len(body.Payload) > maxPayload {
		host.WriteError(writer, http.StatusBadRequest, "id is empty or payload is above 2 MiB")
		return
	}
	var offset identifier.Offset
	var accepted, lost bool
	err := server.log.Do(request.Context(), func(now time.Time, log *Log) {
		offset, accepted = log.Append(now, streamOf(request), body.ID, body.Payload)
		lost = accepted && log.DrawLostAnswer()
	})
	switch {
	case err != nil:
		host.WriteError(writer, http.StatusServiceUnavailable, err.Error())
	case !accepted:
		host.WriteError(writer, http.StatusTooManyRequests, "the append rate limit of the log is exceeded")
	case lost:
		host.Abort()
	default:
		host.WriteJSON(writer, http.StatusOK, struct {
			Offset identifier.Offset `json:"offset"`
		}{offset})
	}
}

func (server *Server) handleRead(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	if err != nil || from == 0 {
		host.WriteError(writer, http.StatusBadRequest, "from must be an offset, 1 or higher")
		return
	}
	limit := defaultLimit
	if text := query.Get("limit"); text != "" {
		if limit, err = strconv.Atoi(text); err != nil || limit < 1 || limit > maxLimit {
			host.WriteError(writer, http.StatusBadRequest, "limit must be 1 to 1024")
			return
		}
	}
	var wait time.Duration
	if text := query.Get("wait"); text != "" {
		if wait, err = time.ParseDuration(text); err != nil || wait < 0 || wait > maxWait {
			host.WriteError(writer, http.StatusBadRequest, "wait must be 0s to 30s")
			return
		}
	}
	server.longPoll(writer, request, identifier.Offset(from), limit, wait)
}

// longPoll responds to a read immediately if there is an append to return, and
// otherwise after the next append or the wait.
func (server *Server) longPoll(writer http.ResponseWriter, request *http.Request, from identifier.Offset, limit int, wait time.Duration) {
	ctx, cancel := context.WithTimeout(request.Context(), wait)
	defer cancel()
	for {
		var page Page
		var appended <-chan struct{}
		var retained bool
		err := server.log.Do(request.Context(), func(now time.Time, log *Log) {
			page, appended, retained = log.Read(now, streamOf(request), from, limit)
		})
		switch {
		case err != nil:
			host.WriteError(writer, http.StatusServiceUnavailable, err.Error())
			return
		case !retained:
			host.WriteJSON(writer, http.StatusGone, page)
			return
		case appended == nil || ctx.Err() != nil:
			host.WriteJSON(writer, http.StatusOK, page)
			return
		}
		select {
		case <-appended:
		case <-ctx.Done():
		}
	}
}

func streamOf(request *http.Request) identifier.Stream {
	return identifier.Stream(request.PathValue("stream"))
}
