package gatekeeper

import (
	"net/http"

	"github.com/pkg/errors"

	"corianderroad/shedder"
)

// maxHeaderLines bounds the header of a request. A line of five bytes needs about 90 when it
// is decoded, so that the size of a header alone does not bound its memory.
const maxHeaderLines = 256

var errHeaderLines = errors.Errorf("the header has more than %d lines", maxHeaderLines)

// headerCounter counts the lines of a header while it is read. What is read together with the
// end of an earlier request, at most the 4 KiB of the server's buffer, is not counted here
// but in LimitHeaders.
type headerCounter struct {
	isDone     bool
	isLineUsed bool // the present line is not empty
	lines      int
}

// add counts the lines of the next bytes of a connection. It reports whether there are too
// many.
func (counter *headerCounter) add(content []byte) bool {
	if counter.isDone {
		return false
	}
	for _, character := range content {
		switch character {
		case '\r':
		case '\n':
			if !counter.isLineUsed && counter.lines > 0 {
				counter.isDone = true
				return false
			}
			if counter.isLineUsed {
				counter.lines++
			}
			counter.isLineUsed = false
		default:
			counter.isLineUsed = true
		}
		if counter.lines > maxHeaderLines {
			return true
		}
	}
	return false
}

// LimitHeaders refuses requests with too many header lines that were not counted when they
// were read, so that no such header is kept while a body is awaited.
func LimitHeaders(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if len(request.Header) <= maxHeaderLines {
			handler.ServeHTTP(writer, request)
			return
		}
		if conn := FromContext(request.Context()); conn != nil {
			conn.gatekeeper.observer.ObserveShed(conn.gatekeeper.name, shedder.HeaderLines)
		}
		writer.Header().Set("Connection", "close") // the body is not read
		writer.WriteHeader(http.StatusBadRequest)
	})
}
