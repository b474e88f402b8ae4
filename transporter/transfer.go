package transporter

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

const (
	// segmentBytes is the part of a frame that must be written within WriteTimeout. If
	// a whole frame had to be, nodes that receive large frames over one full link would
	// lose their connections and request the frames again.
	segmentBytes = 16 << 10
	// largeFrameBytes is the size from which a frame may take so long that the other
	// side's answer to a keep-alive, which follows it, is late.
	largeFrameBytes = segmentBytes
)

// deadlineWriter writes to a connection and bounds the time without progress.
type deadlineWriter struct {
	connection net.Conn
	timeout    time.Duration
}

// Write implements io.Writer.
func (deadlineWriter deadlineWriter) Write(content []byte) (int, error) {
	written := 0
	for written < len(content) {
		_ = deadlineWriter.connection.SetWriteDeadline(time.Now().Add(deadlineWriter.timeout))
		count, err := deadlineWriter.connection.Write(content[written:min(written+segmentBytes, len(content))])
		written += count
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// frameReader records when a large frame advances.
type frameReader struct {
	reader io.Reader
	// received is the number of bytes of the frame received so far.
	received int
	advanced *atomic.Int64
}

// Read implements io.Reader.
func (frameReader *frameReader) Read(target []byte) (int, error) {
	count, err := frameReader.reader.Read(target)
	frameReader.received += count
	if frameReader.received >= largeFrameBytes {
		frameReader.advanced.Store(time.Now().UnixNano())
	}
	return count, err
}
