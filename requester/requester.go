// Package requester is an HTTP client for the commands and queries of a node. The
// command line uses it, and other programs can use it too.
package requester

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"corianderroad/acceptor"
	"corianderroad/classifier"
)

// Requester sends requests to one of several nodes. It is safe for concurrent use.
type Requester struct {
	nodes  []netip.AddrPort
	token  string
	client *http.Client
}

// New returns a Requester that tries the nodes in the given order. The timeout
// bounds each request. An answer names no request, so that each request has a connection
// of its own, on which no second answer to an earlier one is taken for it.
func New(nodes []netip.AddrPort, token string, timeout time.Duration) *Requester {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.DisableKeepAlives = true
	return &Requester{nodes: nodes, token: token, client: &http.Client{Timeout: timeout, Transport: transport}}
}

// Request is one request to a node.
type Request struct {
	Method string
	// Path is the path with its query, for example /v1/queries/status.
	Path   string
	Header http.Header
	Body   []byte
}

// Do sends a request and returns the complete body of a successful answer. It
// tries the next node only if a connection could not be made, because only then
// is it certain that the request did not run. A refusal is returned as its
// classifier.Error.
func (requester *Requester) Do(ctx context.Context, request Request) ([]byte, error) {
	err := error(classifier.New(classifier.NodeUnreachable, "no node was given"))
	for _, node := range requester.nodes {
		var body []byte
		body, err = requester.send(ctx, node, request)
		if classifier.CodeOf(err) != classifier.NodeUnreachable {
			return body, err
		}
	}
	return nil, err
}

func (requester *Requester) send(ctx context.Context, node netip.AddrPort, request Request) ([]byte, error) {
	url := "http://" + node.String() + request.Path
	// net/http repeats a request that may have been sent if it can read the body
	// again or the body is empty. The wrapper prevents both.
	body := struct{ io.Reader }{bytes.NewReader(request.Body)}
	httpRequest, err := http.NewRequestWithContext(ctx, request.Method, url, body)
	if err != nil {
		return nil, classifier.New(classifier.BadRequest, "%v", err)
	}
	httpRequest.ContentLength = int64(len(request.Body))
	if request.Header != nil {
		httpRequest.Header = request.Header.Clone()
	}
	httpRequest.Header.Set("Authorization", "Bearer "+requester.token)
	response, err := requester.client.Do(httpRequest)
	if err != nil {
		return nil, sendError(node, err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, classifier.New(classifier.OutcomeUnknown, "the answer of %s is incomplete: %v", node, err)
	}
	if response.StatusCode == http.StatusOK {
		return answer, nil
	}
	return nil, refusalError(node, response.StatusCode, answer)
}

func sendError(node netip.AddrPort, err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return classifier.New(classifier.NodeUnreachable,
			"no node answers at %s (%v); name a running node with -node", node, operation.Err)
	}
	return classifier.New(classifier.OutcomeUnknown, "%s did not answer: %v", node, err)
}

func refusalError(node netip.AddrPort, status int, body []byte) error {
	var refusal acceptor.Refusal
	if err := json.Unmarshal(body, &refusal); err != nil || refusal.Code == classifier.OK {
		return classifier.New(classifier.OutcomeUnknown, "%s answered with status %d", node, status)
	}
	retryDelay, _ := time.ParseDuration(refusal.RetryAfter) // zero if the answer has no retry delay
	err := classifier.New(refusal.Code, "%s", refusal.Message)
	err.RetryAfter = retryDelay
	err.MayHaveRun = refusal.Execution == classifier.Unknown.String()
	return err
}

// Post sends a command and decodes its answer.
func (requester *Requester) Post(ctx context.Context, path string, command any) (acceptor.CommandResult, error) {
	var commandResult acceptor.CommandResult
	body, err := json.Marshal(command)
	if err != nil {
		return commandResult, classifier.New(classifier.BadRequest, "%v", err)
	}
	answer, err := requester.Do(ctx, Request{Method: http.MethodPost, Path: path, Body: body})
	if err != nil {
		return commandResult, err
	}
	return commandResult, decode(answer, &commandResult)
}

// Get sends a query and decodes its answer.
func (requester *Requester) Get(ctx context.Context, path string, answer any) error {
	body, err := requester.Do(ctx, Request{Method: http.MethodGet, Path: path})
	if err != nil {
		return err
	}
	return decode(body, answer)
}

func decode(body []byte, target any) error {
	if err := json.Unmarshal(body, target); err != nil {
		return classifier.New(classifier.OutcomeUnknown, "the answer can't be decoded: %v", err)
	}
	return nil
}
