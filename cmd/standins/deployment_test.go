package main

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/frankban/quicktest"

	"corianderroad/cmd/standins/loader"
)

// TestControlReachesTargets guards against faults that are accepted and have no
// effect on their targets, and against a report with missing counts.
func TestControlReachesTargets(t *testing.T) {
	c := quicktest.New(t)
	settings, err := loader.Load("../../examples/hoop-and-mallet/standins.yaml")
	c.Assert(err, quicktest.IsNil)
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		deployment := newDeployment(settings)
		for _, duty := range deployment.stateDuties() {
			go func() { _ = duty(ctx) }()
		}
		handlers := make(map[string]func(method, path, body string) *httptest.ResponseRecorder)
		for _, endpoint := range deployment.endpoints {
			handlers[endpoint.name] = func(method, path, body string) *httptest.ResponseRecorder {
				response := httptest.NewRecorder()
				endpoint.handler.ServeHTTP(response, httptest.NewRequest(method, path, strings.NewReader(body)))
				return response
			}
		}
		control, target := handlers["control"], handlers["rota-gulf-a-3"]
		c.Check(control("POST", "/faults", `{"minions":{"match":"rota-gulf-a-*","mode":"leaving"}}`).Body.String(), quicktest.Equals, `{"targets":16}`+"\n")
		c.Check(target("POST", "/call/swap", `{"call":"a"}`).Code, quicktest.Equals, 503)
		c.Check(control("POST", "/faults", `{"minions":{"match":"*"}}`).Code, quicktest.Equals, 200)
		c.Check(target("POST", "/call/swap", `{"call":"a"}`).Code, quicktest.Equals, 200)
		c.Check(control("POST", "/executions", `{"calls":["a","b"]}`).Body.String(), quicktest.Equals, `{"executions":{"a":1,"b":0}}`+"\n")
		c.Check(control("GET", "/report", "").Body.String(), quicktest.Contains, `"served":1,"refused-busy":1`)

		reserve := `{"term":1,"gang":{"job":"draw","placement":1},"accelerators":8,"members":["a","b"],"lease":"15s"}`
		c.Check(handlers["gulf-a-rack-1-0"]("POST", "/reserve", reserve).Code, quicktest.Equals, 200)
		c.Check(control("POST", "/faults", `{"workers":{"match":"gulf-a-rack-1-0","mode":"dead"}}`).Code, quicktest.Equals, 200)
		c.Check(control("POST", "/faults", `{"workers":{"match":"gulf-a-rack-1-0"}}`).Code, quicktest.Equals, 200)
		c.Check(handlers["gulf-a-rack-1-0"]("GET", "/state", "").Body.String(), quicktest.Contains, `"term":1,"mark":"0s","accelerators":8,"tasks":[]`)

		for _, invalid := range []string{`{"minion":{}}`, `{"log":{"mode":"off"}}`, `{"minions":{"match":"*","crossed":2}}`, `{"listed":{"match":"*"}}`} {
			c.Check(control("POST", "/faults", invalid).Code, quicktest.Equals, 400, quicktest.Commentf(invalid))
		}
		cancel()
		synctest.Wait()
	})
}
