// Package framer reads and writes the frames of peer connections and performs
// the handshake with the deployment's shared key. A frame is a 4-byte length in
// network byte order, a 1-byte kind and a msgpack body. The length counts the
// kind and the body.
package framer

import (
	"encoding/binary"
	"io"

	"github.com/pkg/errors"

	"corianderroad/classifier"
)

// Kind is the kind of a frame.
type Kind uint8

// Kinds of frames.
const (
	Hello           Kind = iota + 1 // handshake: the dialling side identifies itself
	Challenge                       // handshake: the accepting side identifies itself and proves that it holds the key
	Proof                           // handshake: the dialling side proves that it holds the key
	Message                         // a peer message
	Query                           // a query
	Answer                          // the answer to a query
	KeepAlive                       // requests a KeepAliveAnswer
	KeepAliveAnswer                 // answers a KeepAlive
)

// MaxFrame is the largest length of a frame: kind and body.
const MaxFrame = 1 << 20

// Overhead is the number of bytes of a frame in addition to its body.
const Overhead = lengthBytes + kindBytes

const (
	lengthBytes = 4
	kindBytes   = 1
	// initialBodyBytes bounds the memory that is allocated for a declared length
	// before any bytes of the body arrive.
	initialBodyBytes = 64 << 10
)

// Frame is one frame.
type Frame struct {
	Kind Kind
	Body []byte
}

// Append appends the wire form of a frame to buffer. The error has code
// BadFrame if the frame is larger than MaxFrame.
func Append(buffer []byte, frame Frame) ([]byte, error) {
	length := kindBytes + len(frame.Body)
	if length > MaxFrame {
		return buffer, classifier.New(classifier.BadFrame, "frame has %d bytes, the limit is %d", length, MaxFrame)
	}
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(length))
	buffer = append(buffer, byte(frame.Kind))
	return append(buffer, frame.Body...), nil
}

// Write writes a frame with one call of Write, so that an error with a short
// count means that the other side can't have read the complete frame.
func Write(writer io.Writer, frame Frame) error {
	wire, err := Append(nil, frame)
	if err != nil {
		return err
	}
	if _, err := writer.Write(wire); err != nil {
		return errors.Wrap(err, "write frame")
	}
	return nil
}

// Read reads a frame. The error has code BadFrame if the frame is malformed, and
// otherwise wraps the reader's error.
func Read(reader io.Reader) (Frame, error) { return readLimited(reader, MaxFrame) }

// readLimited reads a frame of at most limit bytes. The handshake uses it, so
// that a peer without the key can't make a node allocate a large frame.
func readLimited(reader io.Reader, limit int) (Frame, error) {
	var header [Overhead]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return Frame{}, errors.Wrap(err, "read frame")
	}
	length := binary.BigEndian.Uint32(header[:lengthBytes])
	if length < kindBytes || length > uint32(limit) {
		return Frame{}, classifier.New(classifier.BadFrame, "frame declares %d bytes, must be 1 to %d", length, limit)
	}
	kind := Kind(header[lengthBytes])
	if kind < Hello || kind > KeepAliveAnswer {
		return Frame{}, classifier.New(classifier.BadFrame, "frame has unknown kind %d", kind)
	}
	body, err := readBody(reader, int(length)-kindBytes)
	return Frame{Kind: kind, Body: body}, err
}

func readBody(reader io.Reader, size int) ([]byte, error) {
	body := make([]byte, min(size, initialBodyBytes))
	read := 0
	for {
		count, err := io.ReadFull(reader, body[read:])
		read += count
		if err != nil {
			return nil, errors.Wrap(err, "read frame")
		}
		if read == size {
			return body, nil
		}
		grown := make([]byte, min(size, 2*len(body)))
		copy(grown, body)
		body = grown
	}
}
