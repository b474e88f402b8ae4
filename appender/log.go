package appender

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"corianderroad/classifier"
	"corianderroad/encoder"
	"corianderroad/identifier"
	"corianderroad/watcher"
)

// Client sends HTTP requests. *http.Client is one.
type Client interface {
	Do(request *http.Request) (*http.Response, error)
	CloseIdleConnections()
}

const (
	// maxAnswerBytes bounds the memory of one answer.
	maxAnswerBytes = 16 << 20
	// readBackPageSize is the number of appends of one page of a read-back. A page
	// that exceeds maxAnswerBytes is requested again with fewer appends.
	readBackPageSize = 16
)

// tooLargeError means that an answer exceeds maxAnswerBytes.
type tooLargeError struct{}

func (tooLargeError) Error() string {
	return fmt.Sprintf("answer of the log service exceeds %d bytes", maxAnswerBytes)
}

// outcome is the result of a posted append, as far as it is known.
type outcome uint8

const (
	appended outcome = iota
	// notAppended means that the request certainly had no effect and may be retried.
	notAppended
	// refused means that the request had no effect and a retry would have none either.
	refused
	// unknown means that the append may be in the log, now or later.
	unknown
)

// log sends the requests for one stream to the log service.
type log struct {
	client  Client
	address netip.AddrPort
	stream  identifier.Stream
	// stallTimeout bounds the time without progress of a request.
	stallTimeout time.Duration
}

// post sends one request to append a payload, whose offset is at least minOffset. An answer
// names no request: one with an earlier offset is a second answer to an earlier append. Two
// refusals are equal, so that the connection is kept only after a success.
func (log log) post(ctx context.Context, id string, payload []byte, minOffset uint64) (uint64, outcome) {
	offset, outcome := log.postOnce(ctx, id, payload)
	if outcome == appended && offset < minOffset {
		outcome = unknown
	}
	if outcome != appended {
		log.client.CloseIdleConnections()
	}
	return offset, outcome
}

func (log log) postOnce(ctx context.Context, id string, payload []byte) (uint64, outcome) {
	body, err := json.Marshal(encoder.AppendRequest{ID: id, Payload: payload})
	if err != nil {
		return 0, refused
	}
	status, answer, err := log.do(ctx, http.MethodPost, "", body)
	if err != nil {
		// A request had no effect if its connection was not established.
		var network *net.OpError
		if errors.As(err, &network) && network.Op == "dial" {
			return 0, notAppended
		}
		return 0, unknown
	}
	switch {
	case status == http.StatusTooManyRequests:
		return 0, notAppended
	case status >= 400 && status < 500 && status != http.StatusRequestTimeout:
		return 0, refused
	case status != http.StatusOK:
		return 0, unknown
	}
	var reply encoder.AppendAnswer
	if err := json.Unmarshal(answer, &reply); err != nil || reply.Offset == 0 {
		return 0, unknown
	}
	return reply.Offset, appended
}

// nextOffset returns the lowest offset that the next append can get.
func (log log) nextOffset(ctx context.Context) (uint64, error) {
	answer, _, err := log.read(ctx, 1, 1)
	if err != nil {
		return 0, err
	}
	return max(answer.Next, 1), nil
}

// find searches for an append by its ID, starting at an offset. If it does not find
// the append, it returns the offset up to which it has searched, also with an error.
func (log log) find(ctx context.Context, id string, from uint64) (uint64, bool, error) {
	pageSize := readBackPageSize
	for {
		answer, status, err := log.read(ctx, from, pageSize)
		if errors.Is(err, tooLargeError{}) && pageSize > 1 {
			pageSize /= 4
			continue
		}
		if err != nil {
			return from, false, err
		}
		if status == http.StatusGone {
			// The append may be among those that retention has deleted.
			return from, false, classifier.New(classifier.OutcomeUnknown, "offset %d is no longer retained", from)
		}
		for _, entry := range answer.Appends {
			if entry.ID == id {
				return entry.Offset, true, nil
			}
			from = entry.Offset + 1
		}
		if from >= answer.Next || len(answer.Appends) == 0 {
			return from, false, nil
		}
	}
}

func (log log) read(ctx context.Context, from uint64, limit int) (encoder.ReadAnswer, int, error) {
	var answer encoder.ReadAnswer
	status, body, err := log.do(ctx, http.MethodGet, fmt.Sprintf("?from=%d&limit=%d&wait=0s", from, limit), nil)
	if err != nil {
		return answer, 0, err
	}
	if status != http.StatusOK && status != http.StatusGone {
		return answer, status, classifier.New(classifier.LogUnavailable, "log service answered with status %d", status)
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return answer, status, errors.WithStack(err)
	}
	if answer.Next == 0 {
		return answer, status, classifier.New(classifier.LogUnavailable, "the answer to a read of the log service has no end")
	}
	return answer, status, nil
}

// do sends one request. It fails when neither the request nor the answer advances for
// stallTimeout. Their duration is not bounded, because all nodes may send large
// appends over one link.
func (log log) do(ctx context.Context, method, query string, body []byte) (int, []byte, error) {
	ctx, watched := watcher.New(ctx, log.stallTimeout)
	defer watched.Stop()
	url := fmt.Sprintf("http://%s/streams/%s/appends%s", log.address, log.stream, query)
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if len(body) > 0 {
		request.Body = io.NopCloser(watched.Reader(bytes.NewReader(body)))
	}
	request.Header.Set("Content-Type", "application/json")
	// A read is rare. No request follows it on its connection, so that no second answer to it
	// can be taken for that of another.
	request.Close = method == http.MethodGet
	response, err := log.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(watched.Reader(response.Body), maxAnswerBytes+1))
	if err == nil && len(answer) > maxAnswerBytes {
		err = tooLargeError{}
	}
	return response.StatusCode, answer, err
}
