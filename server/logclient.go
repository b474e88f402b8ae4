package server

import (
	"context"
	"net"
	"net/http"
	"time"

	"corianderroad/watcher"
)

// Limits of the connections to the log service.
const (
	logDialTimeout = 2 * time.Second
	// logWriteTimeout bounds the time without progress of a write.
	logWriteTimeout = 2 * time.Second
	logIdleTimeout  = 90 * time.Second
)

// newLogClient returns an HTTP client for one reader or writer of the log.
// Its connections have small send buffers, so that the appender sees whether a request
// advances.
func newLogClient() *http.Client {
	dialer := &net.Dialer{Timeout: logDialTimeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return watcher.NewConn(connection, logWriteTimeout), nil
	}
	return &http.Client{Transport: &http.Transport{DialContext: dial, IdleConnTimeout: logIdleTimeout}}
}
