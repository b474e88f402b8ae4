package transporter

import (
	"io"
	"sync/atomic"
	"time"
)

// largeFrameBytes is the size from which a frame may take so long that the other
// side's answer to a keep-alive, which follows it, is late.
const largeFrameBytes = 16 << 10

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
