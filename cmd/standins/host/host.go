// Package host serves HTTP handlers on loopback addresses and encodes answers.
package host

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxBody is above the largest append: a batch of 1 MiB in base64.
	maxBody = 4 << 20
	// grace bounds how long open requests may take after a stop.
	grace = time.Second
)

// Listen opens a listener that accepts at most limit connections, zero for all.
func Listen(address netip.AddrPort, limit int) (*Listener, error) {
	if !address.Addr().IsLoopback() {
		return nil, errors.Errorf("address %s is not a loopback address", address)
	}
	inner, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return NewListener(inner, limit), nil
}

// Serve serves a handler until the context ends. Open requests get a second to
// finish.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	// Long polls and silent requests end with the base context.
	base, cancel := context.WithCancel(context.Background())
	defer cancel()
	server := &http.Server{
		Handler:           http.MaxBytesHandler(handler, maxBody),
		ReadHeaderTimeout: 10 * time.Second,
		BaseContext:       func(net.Listener) context.Context { return base },
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return errors.WithStack(err)
	case <-ctx.Done():
	}
	cancel()
	ending, stop := context.WithTimeout(context.Background(), grace)
	defer stop()
	if server.Shutdown(ending) != nil {
		_ = server.Close()
	}
	return nil
}

// Answer writes a JSON answer.
func Answer(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	// An error means that the client has left; there is nobody to tell.
	_ = json.NewEncoder(writer).Encode(body)
}

// Refuse writes a JSON answer that gives a reason.
func Refuse(writer http.ResponseWriter, status int, reason string) {
	Answer(writer, status, struct {
		Error string `json:"error"`
	}{reason})
}

// Decode reads a JSON body without unknown keys. It has answered the request
// if it returns false.
func Decode(writer http.ResponseWriter, request *http.Request, body any) bool {
	decoder := json.NewDecoder(request.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(body); err != nil {
		Refuse(writer, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// Hang keeps a request open without an answer until its client leaves or the
// server stops, then breaks the connection.
func Hang(request *http.Request) {
	<-request.Context().Done()
	Break()
}

// Break closes the connection of the current request without an answer.
func Break() { panic(http.ErrAbortHandler) }

// Delay waits for a duration. It returns false if the client left meanwhile.
func Delay(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return true
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
