package encoder

import "time"

// AppendRequest is the body of an append to the log service.
type AppendRequest struct {
	ID string `json:"id"`
	// Payload is encoded in base64 on the wire.
	Payload []byte `json:"payload"`
}

// AppendAnswer is the answer to an AppendRequest.
type AppendAnswer struct {
	Offset uint64 `json:"offset"`
}

// ReadAnswer is the answer to a read of a stream. With status 410 (Gone) it has the
// same form, but Appends is empty.
type ReadAnswer struct {
	FirstRetained uint64      `json:"first-retained"`
	Next          uint64      `json:"next"`
	Appends       []ReadEntry `json:"appends"`
}

// ReadEntry is one append of a ReadAnswer.
type ReadEntry struct {
	Offset     uint64    `json:"offset"`
	ID         string    `json:"id"`
	Payload    []byte    `json:"payload"`
	AppendedAt time.Time `json:"appended-at"`
}
