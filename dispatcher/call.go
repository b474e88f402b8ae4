package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
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

// call sends one attempt to its minion and returns the result.
func (dispatcher *Dispatcher) call(ctx context.Context, call messenger.CallMinion) messenger.Event {
	result := messenger.MinionAnswered{Minion: call.Minion, Request: call.Request, Attempt: call.Attempt, Busy: -1}
	// The deadline may have passed while the call was in the ring, for example
	// because the process was paused.
	if !call.Call.Deadline.IsZero() && !dispatcher.parameters.Now().Before(call.Call.Deadline) {
		result.Err = classifier.New(classifier.DeadlineUnmet, "the deadline passed before the request was sent")
		return result
	}
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	var connection atomic.Pointer[net.Conn]
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { connection.Store(&info.Conn) },
	})
	request, err := newRequest(ctx, call)
	if err != nil {
		result.Err = classifier.New(classifier.BadRequest, "the request could not be created: %v", err)
		return result
	}
	// The transport is used directly: a Client would follow redirects and send
	// the body again.
	response, err := dispatcher.transport.RoundTrip(request)
	if err != nil {
		result.Err = classifyFailure(ctx, err, connection.Load() != nil)
		return result
	}
	defer response.Body.Close()
	if result.Err = verifyAttempt(call, response); result.Err != nil {
		// The minion has answered an earlier request twice, so that the answer to this one
		// would be taken for that of the next. The body is left unread: once it is read, the
		// transport gives the connection to the next request, also when it is closed meanwhile.
		_ = (*connection.Load()).Close() // an error means that it is closed already
		return result
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, commander.MaxBodyBytes+1))
	readMinionState(response, &result)
	if err != nil {
		result.Err = classifyFailure(ctx, err, true)
		return result
	}
	result.Body, result.Err = verifyAnswer(response, body)
	return result
}

// newRequest creates the request such that net/http never sends it twice. After a
// connection breaks, net/http repeats a request that has an Idempotency-Key header
// and whose body is empty or can be read again. The body is therefore never nil, and
// GetBody is not set.
func newRequest(ctx context.Context, call messenger.CallMinion) (*http.Request, error) {
	target := url.URL{Scheme: "http", Host: call.Address.String(), Path: "/call/" + string(call.Call.Method)}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target.String(), &singleReadBody{unread: call.Call.Body})
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

// singleReadBody is a body that can be read only once.
type singleReadBody struct{ unread []byte }

// Read implements io.Reader.
func (singleReadBody *singleReadBody) Read(target []byte) (int, error) {
	if len(singleReadBody.unread) == 0 {
		return 0, io.EOF
	}
	count := copy(target, singleReadBody.unread)
	singleReadBody.unread = singleReadBody.unread[count:]
	return count, nil
}

// classifyFailure returns the error of a failed exchange. Only a request that never
// had a connection has certainly not run.
func classifyFailure(ctx context.Context, err error, connected bool) *classifier.Error {
	if !connected {
		return classifier.New(classifier.MinionUnreachable, "no connection to the minion: %v", err)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) {
		return classifier.New(classifier.TimedOut, "the minion did not answer before the deadline")
	}
	return classifier.New(classifier.OutcomeUnknown, "the minion's answer was not received: %v", err)
}

// readMinionState reads the state of the minion from the headers of an answer.
func readMinionState(response *http.Response, result *messenger.MinionAnswered) {
	if busy, err := strconv.Atoi(response.Header.Get(headerBusy)); err == nil && busy >= 0 && busy <= messenger.MaxReportedLoad {
		result.Busy = busy
	}
	result.Leaving = response.Header.Get(headerLeaving) == "true"
}

// verifyAttempt returns an error if an answer is not that of this attempt.
func verifyAttempt(call messenger.CallMinion, response *http.Response) *classifier.Error {
	request, attempt := response.Header.Get(headerRequest), response.Header.Get(headerAttempt)
	if request != string(call.Request) || attempt != strconv.FormatUint(uint64(call.Attempt), 10) {
		return classifier.New(classifier.CorruptAnswer, "the answer belongs to attempt %s of request %q", attempt, request)
	}
	return nil
}

// verifyAnswer returns the body if the answer to this attempt is complete.
func verifyAnswer(response *http.Response, body []byte) ([]byte, *classifier.Error) {
	header := response.Header
	switch {
	case response.StatusCode == http.StatusServiceUnavailable && header.Get(headerNotRun) == "true":
		return nil, classifier.New(classifier.MinionBusy, "the minion refused the request")
	case response.StatusCode != http.StatusOK:
		return nil, classifier.New(classifier.OutcomeUnknown, "the minion answered with status %d", response.StatusCode)
	case len(body) > commander.MaxBodyBytes:
		return nil, classifier.New(classifier.CorruptAnswer, "the answer is longer than %d bytes", commander.MaxBodyBytes)
	case response.ContentLength >= 0 && response.ContentLength != int64(len(body)):
		return nil, classifier.New(classifier.CorruptAnswer, "the answer has %d of %d bytes", len(body), response.ContentLength)
	}
	// For an answer without a Content-Length, the digest also verifies the length.
	if digest := Digest(body); header.Get(headerDigest) != digest {
		return nil, classifier.New(classifier.CorruptAnswer, "the digest of the answer is %s, but its header has %q", digest, header.Get(headerDigest))
	}
	return body, nil
}

// Digest returns the value of the Body-Digest header of a body: its xxhash in
// 16 hexadecimal digits.
func Digest(body []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(body)) }
