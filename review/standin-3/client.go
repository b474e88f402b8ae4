package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"
)

// Names of the deployment.
const (
	serviceName = "rota"
	host        = "nony24.example"
	prefix      = "/lohu930/"
	tenantKey   = "d4a3hwrr6x73d3zji9n7"
)

// clientTimeout is how long a client waits for an answer.
const clientTimeout = 3 * time.Second

// configuration returns the operator's configuration, with one queue.
func configuration() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-ce7ejsm", "host": host, "pathPrefix": prefix, "type": "mutating", "timeoutMs": clientTimeout.Milliseconds(),
			"targetLatencyMs": 1500, "priority": 1, "service": serviceName, "attempts": 4, "stretch": 3.0, "public": false,
		}},
		"services": []any{map[string]any{"name": serviceName, "healthPath": "/healthz", "maxConnections": 64, "protocol": "h1", "enforcesCapacity": true}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "kaje80", "apiKeys": []string{tenantKey}, "priority": 1, "guaranteed": map[string]int{"gpu": 8}}},
	}
}

// call sends a request of a client to a node. The status is 0 without an answer.
func (deployment *deployment) call(node *node, method, id string, body any) (int, string) {
	var content []byte
	if body != nil {
		content, _ = json.Marshal(body) // the bodies are plain data
	}
	request, err := http.NewRequest(method, "http://"+node.front+prefix+id, bytes.NewReader(content))
	if err != nil {
		return 0, ""
	}
	request.Host = host
	request.Header.Set("Authorization", "Token "+tenantKey)
	request.Header.Set("X-Corianderroad-Deadline-Ms", "3000")
	request.Header.Set("Content-Type", "application/json")
	client := &http.Client{Timeout: clientTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		deployment.log.add("%s %s at %s: no answer", method, id, node.name)
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }() // it is read
	answered, _ := io.ReadAll(response.Body)     // a short answer has no state
	deployment.log.add("%s %s at %s: %d %s", method, id, node.name, response.StatusCode, strings.TrimSpace(string(answered)))
	return response.StatusCode, string(answered)
}

// submit submits a job, at one node after the other until one accepts it.
func (deployment *deployment) submit(id string, work workSpec, steps []stepBody, firstNode int) bool {
	deployment.jobs.add(id, steps)
	spec, _ := json.Marshal(work) // plain data
	for attempt := range 12 {
		status, _ := deployment.call(deployment.nodes[(firstNode+attempt)%len(deployment.nodes)], http.MethodPost, id, map[string]any{"spec": string(spec), "steps": steps})
		if status == http.StatusOK {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job, at one node after the other until one answers.
func (deployment *deployment) state(id string) string {
	for attempt := range 12 {
		status, content := deployment.call(deployment.nodes[attempt%len(deployment.nodes)], http.MethodGet, id, nil)
		var body struct {
			State string `json:"state"`
		}
		switch {
		case status == http.StatusGone:
			return "unknown"
		case status == http.StatusOK && json.Unmarshal([]byte(content), &body) == nil:
			return body.State
		}
		time.Sleep(300 * time.Millisecond)
	}
	return "no answer"
}
