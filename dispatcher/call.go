package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"corianderroad/classifier"
	"corianderroad/commander"
	"corianderroad/messenger"
)

// Headers of the protocol with minions.
const (
	headerRequest   = "Request-Id"
	headerAttempt   = "Attempt-Id"
	headerWorkspace = "Workspace"
	headerKey       = "Idempotency-Key"
	headerDigest    = "Body-Digest"
	headerBusy      = "Slots-Busy"
	headerLeaving   = "Leaving"
	headerNotRun    = "Not-Run"
)

// call carries one attempt to its minion.
func (dispatcher *Dispatcher) call(ctx context.Context, call messenger.CallMinion) messenger.Event {
	answered := messenger.MinionAnswered{Minion: call.Minion, Request: call.Request, Attempt: call.Attempt, Busy: -1}
	// The call may have waited in the ring while the process was paused.
	if !call.Call.Deadline.IsZero() && !dispatcher.parameters.Now().Before(call.Call.Deadline) {
		answered.Err = classifier.New(classifier.DeadlineUnmet, "the deadline passed before the request was sent")
		return answered
	}
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := newRequest(ctx, call)
	if err != nil {
		answered.Err = classifier.New(classifier.BadRequest, "the request can't be formed: %v", err)
		return answered
	}
	// The transport is used directly: a Client would follow redirects and send
	// the body again.
	response, err := dispatcher.transport.RoundTrip(request)
	if err != nil {
		answered.Err = classify(ctx, err, connected.Load())
		return answered
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, commander.MaxBodyBytes+1))
	read(response, &answered)
	if err != nil {
		answered.Err = classify(ctx, err, true)
		return answered
	}
	answered.Body, answered.Err = verify(call, response, body)
	return answered
}

// newRequest forms the request so that net/http never sends it twice. It
// repeats a request on a broken connection if that is declared idempotent by
// an Idempotency-Key header and its body is empty or can be read again. The
// body is therefore never nil and has no GetBody.
func newRequest(ctx context.Context, call messenger.CallMinion) (*http.Request, error) {
	target := url.URL{Scheme: "http", Host: call.Address.String(), Path: "/call/" + string(call.Call.Method)}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target.String(), &once{rest: call.Call.Body})
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(call.Call.Body))
	request.GetBody = nil
	request.Header.Set(headerRequest, string(call.Request))
	request.Header.Set(headerAttempt, strconv.FormatUint(uint64(call.Attempt), 10))
	request.Header.Set(headerWorkspace, string(call.Call.Workspace))
	if call.Call.Key != "" {
		request.Header.Set(headerKey, string(call.Call.Key))
	}
	return request, nil
}

// once is a body that can be read a single time.
type once struct{ rest []byte }

// Read implements io.Reader.
func (once *once) Read(target []byte) (int, error) {
	if len(once.rest) == 0 {
		return 0, io.EOF
	}
	count := copy(target, once.rest)
	once.rest = once.rest[count:]
	return count, nil
}

// classify returns the code of a failed exchange. Only a request that never
// had a connection has surely not run.
func classify(ctx context.Context, err error, connected bool) *classifier.Error {
	if !connected {
		return classifier.New(classifier.MinionUnreachable, "no connection: %v", err)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) {
		return classifier.New(classifier.TimedOut, "no answer in time")
	}
	return classifier.New(classifier.OutcomeUnknown, "the answer was lost: %v", err)
}

// read takes the state of the minion from the headers of an answer.
func read(response *http.Response, answered *messenger.MinionAnswered) {
	if busy, err := strconv.Atoi(response.Header.Get(headerBusy)); err == nil && busy >= 0 {
		answered.Busy = busy
	}
	answered.Leaving = response.Header.Get(headerLeaving) == "true"
}

// verify returns the body if it is the whole answer to this attempt.
func verify(call messenger.CallMinion, response *http.Response, body []byte) ([]byte, *classifier.Error) {
	header := response.Header
	attempt := strconv.FormatUint(uint64(call.Attempt), 10)
	switch {
	case header.Get(headerRequest) != string(call.Request) || header.Get(headerAttempt) != attempt:
		return nil, classifier.New(classifier.CorruptAnswer, "the answer belongs to attempt %s of request %q",
			header.Get(headerAttempt), header.Get(headerRequest))
	case response.StatusCode == http.StatusServiceUnavailable && header.Get(headerNotRun) == "true":
		return nil, classifier.New(classifier.MinionBusy, "the minion refused the request")
	case response.StatusCode != http.StatusOK:
		return nil, classifier.New(classifier.OutcomeUnknown, "the minion answered with status %d", response.StatusCode)
	case len(body) > commander.MaxBodyBytes:
		return nil, classifier.New(classifier.CorruptAnswer, "the answer is longer than %d bytes", commander.MaxBodyBytes)
	case response.ContentLength >= 0 && response.ContentLength != int64(len(body)):
		return nil, classifier.New(classifier.CorruptAnswer, "the answer has %d of %d bytes", len(body), response.ContentLength)
	}
	// The length is checked by the digest too, for an answer without a length.
	if digest := Digest(body); header.Get(headerDigest) != digest {
		return nil, classifier.New(classifier.CorruptAnswer, "the answer's digest is %s, the header says %q", digest, header.Get(headerDigest))
	}
	return body, nil
}

// Digest returns the value of the Body-Digest header of a body: its xxhash in
// 16 hexadecimal digits.
func Digest(body []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(body)) }
