package gatekeeper

import "github.com/pkg/errors"

// maxHeaderLines bounds the header of a request. A line of five bytes needs about 90 when it
// is decoded, so that the size of a header alone does not bound its memory.
const maxHeaderLines = 256

var errHeaderLines = errors.Errorf("the header has more than %d lines", maxHeaderLines)

// headerCounter counts the lines of a header while it is read. What is read together with the
// end of an earlier request, at most the 4 KiB of the server's buffer, is not counted.
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
