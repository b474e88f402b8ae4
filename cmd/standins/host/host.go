// Package host serves HTTP handlers on loopback addresses and encodes responses.
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
	// maxBody exceeds the largest append, which is a batch of 1 MiB in base64.
	maxBody = 4 << 20
	// shutdownTimeout bounds the time that open requests get to finish.
	shutdownTimeout = time.Second
)

// Listen opens a listener that accepts at most limit open connections. A limit of
// zero means no limit.
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

// Serve serves a handler until the context ends. Open requests then get up to a
// second to finish.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	// Cancelling the base context ends long polls and hanging requests.
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
	shutdown, stop := context.WithTimeout(context.Background(), shutdownTimeout)
	defer stop()
	if server.Shutdown(shutdown) != nil {
		_ = server.Close()
	}
	return nil
}

// WriteJSON writes a JSON response.
func WriteJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	// An error means that the client has disconnected, so it is ignored.
	_ = json.NewEncoder(writer).Encode(body)
}

// WriteError writes a JSON response with the reason of a refusal.
func WriteError(writer http.ResponseWriter, status int, reason string) {
	WriteJSON(writer, status, struct {
		Error string `json:"error"`
	}{reason})
}

// Decode reads a JSON body and refuses unknown keys. If it returns false, it has
// already responded to the request.
func Decode(writer http.ResponseWriter, request *http.Request, body any) bool {
	decoder := json.NewDecoder(request.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(body); err != nil {
		WriteError(writer, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// Hang keeps a request open without a response until its client disconnects or
// the server stops, then aborts the connection.
func Hang(request *http.Request) {
	<-request.Context().Done()
	Abort()
}

// Abort closes the connection of the current request without a response.
func Abort() { panic(http.ErrAbortHandler) }

// Sleep waits for a duration. It returns false if the context ends first.
func Sleep(ctx context.Context, duration time.Duration) bool {
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
