package minion

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"corianderroad/cmd/standins/host"
)

// Answer is a complete answer with the IDs of its attempt.
type Answer struct {
	request string
	attempt string
	status  int
	body    []byte
}

// Receipt is the body of an answer. Its digest lets a caller check that the
// answer belongs to its own request.
type Receipt struct {
	Minion        string `json:"minion"`
	Method        string `json:"method"`
	Workspace     string `json:"workspace"`
	RequestDigest string `json:"request-digest"`
}

// Digest returns the xxhash64 of a body in 16 hexadecimal digits.
func Digest(body []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(body)) }

func newAnswer(request *http.Request, name string, body []byte, status int) Answer {
	// Encoding a struct of strings cannot fail.
	receipt, _ := json.Marshal(Receipt{
		Minion:        name,
		Method:        request.PathValue("method"),
		Workspace:     request.Header.Get("Workspace"),
		RequestDigest: Digest(body),
	})
	return Answer{
		request: request.Header.Get("Request-Id"),
		attempt: request.Header.Get("Attempt-Id"),
		status:  status,
		body:    receipt,
	}
}

// write sends an answer after applying the damage to it.
func (answer Answer) write(writer http.ResponseWriter, damage Damage, busy int, leaving bool) {
	if damage == Lost {
		host.Abort()
	}
	header := writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Request-Id", answer.request)
	header.Set("Attempt-Id", answer.attempt)
	header.Set("Body-Digest", Digest(answer.body))
	header.Set("Slots-Busy", strconv.Itoa(busy))
	header.Set("Leaving", strconv.FormatBool(leaving))
	body := answer.body
	if damage == Truncated {
		// Content-Length is set to the truncated length, so that only the digest
		// shows that the answer is incomplete.
		body = body[:len(body)/2]
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	writer.WriteHeader(answer.status)
	// An error means that the client has disconnected, so it is ignored.
	_, _ = writer.Write(body)
}
