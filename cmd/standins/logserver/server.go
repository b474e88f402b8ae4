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
	// maxPayload is the largest append that the service takes.
	maxPayload = 2 << 20
)

// Server answers the protocol of the log service.
type Server struct {
	log *executor.Executor[*Log]
	mux *http.ServeMux
}

// New returns a server of the log that the executor owns.
func New(log *executor.Executor[*Log]) *Server {
	server := &Server{log: log, mux: http.NewServeMux()}
	server.mux.HandleFunc("POST /streams/{stream}/appends", server.withFaults(server.append))
	server.mux.HandleFunc("GET /streams/{stream}/appends", server.withFaults(server.read))
	return server
}

// ServeHTTP implements http.Handler.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	server.mux.ServeHTTP(writer, request)
}

// withFaults applies the faults that concern every request before the handler.
func (server *Server) withFaults(handler http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		var faults Faults
		known := false
		err := server.log.Do(request.Context(), func(_ time.Time, log *Log) {
			faults, known = log.Faults(), log.Has(streamOf(request))
		})
		switch {
		case err != nil:
			host.Refuse(writer, http.StatusServiceUnavailable, err.Error())
		case faults.Mode == Down:
			host.Break()
		case faults.Mode == Silent:
			host.Hang(request)
		case !host.Delay(request.Context(), faults.Delay):
			// The client has left.
		case !known:
			host.Refuse(writer, http.StatusNotFound, "no such stream")
		default:
			handler(writer, request)
		}
	}
}

func (server *Server) append(writer http.ResponseWriter, request *http.Request) {
	var body struct {
		ID      string `json:"id"`
		Payload []byte `json:"payload"`
	}
	if !host.Decode(writer, request, &body) {
		return
	}
	if body.ID == "" || len(body.Payload) > maxPayload {
		host.Refuse(writer, http.StatusBadRequest, "id is empty or payload is above 2 MiB")
		return
	}
	var offset identifier.Offset
	var accepted, lost bool
	err := server.log.Do(request.Context(), func(now time.Time, log *Log) {
		offset, accepted = log.Append(now, streamOf(request), body.ID, body.Payload)
		lost = accepted && log.LosesAnswer()
	})
	switch {
	case err != nil:
		host.Refuse(writer, http.StatusServiceUnavailable, err.Error())
	case !accepted:
		host.Refuse(writer, http.StatusTooManyRequests, "the log takes no more appends in this second")
	case lost:
		host.Break()
	default:
		host.Answer(writer, http.StatusOK, struct {
			Offset identifier.Offset `json:"offset"`
		}{offset})
	}
}

func (server *Server) read(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	if err != nil || from == 0 {
		host.Refuse(writer, http.StatusBadRequest, "from must be an offset, 1 or higher")
		return
	}
	limit := defaultLimit
	if text := query.Get("limit"); text != "" {
		if limit, err = strconv.Atoi(text); err != nil || limit < 1 || limit > maxLimit {
			host.Refuse(writer, http.StatusBadRequest, "limit must be 1 to 1024")
			return
		}
	}
	var wait time.Duration
	if text := query.Get("wait"); text != "" {
		if wait, err = time.ParseDuration(text); err != nil || wait < 0 || wait > maxWait {
			host.Refuse(writer, http.StatusBadRequest, "wait must be 0s to 30s")
			return
		}
	}
	server.poll(writer, request, identifier.Offset(from), limit, wait)
}

// poll answers a read at once if it can, else after the next append or the wait.
func (server *Server) poll(writer http.ResponseWriter, request *http.Request, from identifier.Offset, limit int, wait time.Duration) {
	ctx, cancel := context.WithTimeout(request.Context(), wait)
	defer cancel()
	for {
		var page Page
		var grown <-chan struct{}
		var retained bool
		err := server.log.Do(request.Context(), func(now time.Time, log *Log) {
			page, grown, retained = log.Read(now, streamOf(request), from, limit)
		})
		switch {
		case err != nil:
			host.Refuse(writer, http.StatusServiceUnavailable, err.Error())
			return
		case !retained:
			host.Answer(writer, http.StatusGone, page)
			return
		case grown == nil || ctx.Err() != nil:
			host.Answer(writer, http.StatusOK, page)
			return
		}
		select {
		case <-grown:
		case <-ctx.Done():
		}
	}
}

func streamOf(request *http.Request) identifier.Stream {
	return identifier.Stream(request.PathValue("stream"))
}
