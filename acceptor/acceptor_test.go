package acceptor_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/kataras/iris/v12"

	"corianderroad/acceptor"
	"corianderroad/classifier"
	"corianderroad/commander"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// node replaces the state machines and the other dependencies. It answers each event
// at once with the refusal that is set, or with success.
type node struct {
	events   []messenger.Event
	refusal  *classifier.Error
	ringFull bool
	refused  []classifier.Code
	drained  bool
	calls    chan messenger.CallAnswered
	answers  chan messenger.CommandAnswered
}

func (node *node) Offer(event messenger.Event) error {
	if node.ringFull {
		return classifier.New(classifier.RingFull, "full")
	}
	node.events = append(node.events, event)
	switch event := event.(type) {
	case messenger.CallArrived:
		node.calls <- messenger.CallAnswered{Request: event.Request, Err: node.refusal, Body: event.Call.Body}
	case messenger.CommandArrived:
		node.answers <- messenger.CommandAnswered{Request: event.Request, Err: node.refusal, Offset: 7}
	}
	return nil
}

func (node *node) Deliver(_ context.Context, event messenger.Event) error { return node.Offer(event) }

func (node *node) CountRefusal(code classifier.Code) { node.refused = append(node.refused, code) }
func (node *node) Drain()                            { node.drained = true }

func (node *node) Workspace(token string) (identifier.Workspace, error) {
	if token != "county" {
		return "", classifier.New(classifier.Unauthenticated, "unknown token")
	}
	return "county", nil
}

func (node *node) Operator(token string) (identifier.Organisation, error) {
	if token != "operator" {
		return "", classifier.New(classifier.Unauthenticated, "unknown token")
	}
	return "mallet", nil
}

func (node *node) IsMember(organisation identifier.Organisation) bool {
	return organisation == "mallet" || organisation == "lawn"
}

func (node *node) Verify([]byte, identifier.Organisation, string) error {
	return classifier.New(classifier.Unauthenticated, "no digest matches")
}

type calls struct{ *node }

func (calls calls) Register(identifier.Request) (<-chan messenger.CallAnswered, error) {
	return calls.calls, nil
}
func (calls) Forget(context.Context, identifier.Request) error { return nil }

type commands struct{ *node }

func (commands commands) Register(identifier.Request) (<-chan messenger.CommandAnswered, error) {
	return commands.answers, nil
}
func (commands) Forget(context.Context, identifier.Request) error { return nil }

func newNode(c *quicktest.C) (*node, http.Handler) {
	node := &node{calls: make(chan messenger.CallAnswered, 1), answers: make(chan messenger.CommandAnswered, 1)}
	app := iris.New()
	app.Logger().SetLevel("disable")
	acceptor.New(acceptor.Dependencies{
		EventSink: node, Calls: calls{node}, Commands: commands{node}, Access: node, PublicationVerifier: node, Drainer: node, Counter: node,
	}).Register(app)
	c.Assert(app.Build(), quicktest.IsNil)
	return node, app
}

func post(handler http.Handler, path, token, body string, header ...string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+token)
	for index := 0; index < len(header); index += 2 {
		request.Header.Set(header[index], header[index+1])
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder
}

// TestBadInputIsRefusedAndChangesNothing guards against input that reaches the state
// machines unchecked or without authorisation, and against refusals without a code.
func TestBadInputIsRefusedAndChangesNothing(t *testing.T) {
	c := quicktest.New(t)
	const call = "/v1/services/rota/methods/swap"
	for _, bad := range []struct {
		path, token, body string
		header            []string
		code              classifier.Code
	}{
		{call, "", "x", nil, classifier.Unauthenticated},
		{call, "operator", "x", nil, classifier.Unauthenticated},
		{call, "county", strings.Repeat("x", commander.MaxBodyBytes+1), nil, classifier.BodyTooLarge},
		{call, "county", "x", []string{"Timeout", "5"}, classifier.BadRequest},
		{call, "county", "x", []string{"Timeout", "-1s"}, classifier.BadRequest},
		{call, "county", "x", []string{"Timeout", "1000h"}, classifier.BadRequest},
		{call, "county", "x", []string{"Run-Time", "soon"}, classifier.BadRequest},
		{call, "county", "x", []string{"Run-Time", "-1s"}, classifier.BadRequest},
		{call, "county", "x", []string{"Idempotent", "yes"}, classifier.BadRequest},
		{call, "county", "x", []string{"Repeated", "maybe"}, classifier.BadRequest},
		{call, "county", "x", []string{"Idempotency-Key", "k"}, classifier.BadKey},
		{call, "county", "x", []string{"Idempotency-Key", "c9a646d3-9c61-4cb7-bfcd-ee2522c8f633"}, classifier.BadKey},
		{"/v1/services/" + strings.Repeat("s", 200) + "/methods/swap", "county", "x", nil, classifier.BadRequest},
		{"/v1/commands/submit", "county", `{"job":"j","members":0,"accelerators":1}`, nil, classifier.BadRequest},
		{"/v1/commands/submit", "county", `{"job":"j","members":129,"accelerators":1}`, nil, classifier.BadRequest},
		{"/v1/commands/submit", "county", `{"job":"j","members":1,"accelerators":1,"adjacency":"near"}`, nil, classifier.BadRequest},
		{"/v1/commands/submit", "county", `{"job":"j","members":1,"accelerators":1,"run-time":"3"}`, nil, classifier.BadRequest},
		{"/v1/commands/submit", "county", `{"job":"j","member":1}`, nil, classifier.BadRequest},
		{"/v1/commands/submit", "county", `{`, nil, classifier.BadRequest},
		{"/v1/commands/cancel", "", `{"job":"j"}`, nil, classifier.Unauthenticated},
		{"/v1/commands/cancel", "county", `{}`, nil, classifier.BadRequest},
		{"/v1/commands/publish", "county", `{"organisation":"mallet","text":"t"}`, nil, classifier.Unauthenticated},
		{"/v1/commands/publish", "operator", `{"organisation":"lawn","text":"t"}`, nil, classifier.Forbidden},
		{"/v1/commands/publish", "operator", `{"organisation":"stranger","text":"t"}`, nil, classifier.Unauthenticated},
		{"/v1/commands/publish", "operator", `{"organisation":"mallet","text":""}`, nil, classifier.InvalidText},
		{"/v1/commands/approve", "operator", `{"organisation":"lawn","publication":3}`, nil, classifier.Forbidden},
		{"/v1/commands/approve", "operator", `{"organisation":"mallet"}`, nil, classifier.BadRequest},
		{"/v1/commands/drain", "county", `{"node":"n"}`, nil, classifier.Unauthenticated},
		{"/v1/commands/drain", "operator", `{}`, nil, classifier.BadRequest},
	} {
		c.Run(fmt.Sprintf("%s %.40s %v", bad.path, bad.body, bad.header), func(c *quicktest.C) {
			node, handler := newNode(c)
			answer := post(handler, bad.path, bad.token, bad.body, bad.header...)
			var refusal acceptor.Refusal
			c.Assert(json.Unmarshal(answer.Body.Bytes(), &refusal), quicktest.IsNil)
			c.Assert(refusal.Code, quicktest.Equals, bad.code, quicktest.Commentf("%s", refusal.Message))
			c.Assert(answer.Code, quicktest.Equals, bad.code.Meaning().Status)
			c.Assert(refusal.Execution, quicktest.Equals, "not-run")
			c.Assert(node.events, quicktest.HasLen, 0)
			c.Assert(node.refused, quicktest.DeepEquals, []classifier.Code{bad.code})
			c.Assert(node.drained, quicktest.IsFalse)
		})
	}
}

// TestRefusalOfRepetitionHasUnknownExecution guards against a caller that concludes
// from the refusal of its repetition that its first request did not run.
func TestRefusalOfRepetitionHasUnknownExecution(t *testing.T) {
	c := quicktest.New(t)
	for _, repeated := range []string{"false", "true"} {
		for _, full := range []bool{false, true} {
			node, handler := newNode(c)
			node.ringFull, node.refusal = full, classifier.New(classifier.QueueFull, "full")
			answer := post(handler, "/v1/services/rota/methods/swap", "county", "x", "Repeated", repeated)
			var refusal acceptor.Refusal
			c.Assert(json.Unmarshal(answer.Body.Bytes(), &refusal), quicktest.IsNil)
			want := map[string]string{"false": "not-run", "true": "unknown"}[repeated]
			c.Assert(refusal.Execution, quicktest.Equals, want)
		}
	}
}

// TestCommandsReachTheirStateMachine guards against a command that is executed with
// other fields than the caller sent.
func TestCommandsReachTheirStateMachine(t *testing.T) {
	c := quicktest.New(t)
	node, handler := newNode(c)
	answer := post(handler, "/v1/commands/submit", "county",
		`{"job":"draw","members":4,"accelerators":8,"adjacency":"same-rack","run-time":"3s","urgent":true}`)
	c.Assert(answer.Body.String(), quicktest.Contains, `"offset":7`)
	submitted := node.events[0].(messenger.CommandArrived).Command.(commander.Submit)
	c.Assert(submitted.Workspace, quicktest.Equals, identifier.Workspace("county"))
	c.Assert(submitted.Job.Shape, quicktest.Equals, commander.Shape{Members: 4, Accelerators: 8, Adjacency: commander.SameRack})
	post(handler, "/v1/commands/drain", "operator", `{"node":"n"}`)
	c.Assert(node.drained, quicktest.IsTrue)
	served := post(handler, "/v1/services/rota/methods/swap", "county", "body", "Timeout", "2s")
	c.Assert(served.Body.String(), quicktest.Equals, "body")
}

// FuzzSubmit guards against a body that crashes a node.
func FuzzSubmit(f *testing.F) {
	f.Add(`{"job":"draw","members":4,"accelerators":8,"run-time":"3s"}`)
	f.Fuzz(func(t *testing.T, body string) {
		_, handler := newNode(quicktest.New(t))
		if answer := post(handler, "/v1/commands/submit", "county", body); answer.Code >= 500 {
			t.Fatalf("status %d for %q", answer.Code, body)
		}
	})
}
