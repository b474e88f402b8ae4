package gatekeeper

import (
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"corianderroad/shedder"
)

const (
	// usualHeaderLines is the number of lines up to which headers are not limited. A line of
	// five bytes needs about 90 when it is decoded, so that the size of a header alone does not
	// bound its memory.
	usualHeaderLines = 256
	// maxLongHeaders bounds the requests with more lines that a listener has at a time. Each
	// needs up to 300 KB.
	maxLongHeaders = 16
)

var errLongHeaders = errors.Errorf("%d other requests have headers of more than %d lines", maxLongHeaders, usualHeaderLines)

// headerCounter counts the lines of a header while it is read. What is read together with the
// end of an earlier request, at most the 4 KiB of the server's buffer, is not counted here
// but in LimitHeaders.
type headerCounter struct {
	isDone     bool
	isLineUsed bool // the present line is not empty
	lines      int
}

// add counts the lines of the next bytes of a connection.
func (counter *headerCounter) add(content []byte) {
	if counter.isDone {
		return
	}
	for _, character := range content {
		switch character {
		case '\r':
		case '\n':
			if !counter.isLineUsed && counter.lines > 0 {
				counter.isDone = true
				return
			}
			if counter.isLineUsed {
				counter.lines++
			}
			counter.isLineUsed = false
		default:
			counter.isLineUsed = true
		}
	}
}

// admitHeader reports whether the connection may have a header with a number of lines.
func (conn *Conn) admitHeader(lines int) bool {
	if lines <= usualHeaderLines || conn.hasLongHeader {
		return true
	}
	if conn.gatekeeper.longHeaders.Add(1) > maxLongHeaders {
		conn.gatekeeper.longHeaders.Add(-1)
		conn.gatekeeper.observer.ObserveShed(conn.gatekeeper.name, shedder.HeaderLines)
		return false
	}
	conn.hasLongHeader = true
	return true
}

// releaseHeader notes that the server has left the request of the connection.
func (conn *Conn) releaseHeader() {
	if conn.hasLongHeader {
		conn.hasLongHeader = false
		conn.gatekeeper.longHeaders.Add(-1)
	}
}

// LimitHeaders refuses requests with long headers that were not counted when they were read,
// so that no more of them than allowed are kept while bodies are awaited.
func LimitHeaders(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if conn := FromContext(request.Context()); conn == nil || conn.admitHeader(len(request.Header)) {
			handler.ServeHTTP(writer, request)
			return
		}
		writer.Header().Set("Connection", "close") // the body is not read
		writer.Header().Set("Retry-After", strconv.Itoa(int(RetryDelay/time.Second)))
		writer.WriteHeader(http.StatusServiceUnavailable)
	})
}
