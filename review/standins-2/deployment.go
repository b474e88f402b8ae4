//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"
)

// Names in the configuration.
const (
	host    = "lawns.example"
	prefix  = "/rota/"
	service = "rota"
	key     = "3hh2b9wu3fexd9dnn2ct"
)

// clientDeadline is how long a client waits for an answer.
const clientDeadline = 3 * time.Second

// deployment is a small deployment with its stand-ins.
type deployment struct {
	recorder *recorder
	store    *store
	nodes    []*node
	minions  []*minion
	folder   string
	binary   string
	cloud    string
	version  int
}

func newDeployment(binary string, recorder *recorder) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	return &deployment{recorder: recorder, store: newStore(recorder), folder: folder, binary: binary}, nil
}

func (deployment *deployment) close() {
	for _, node := range deployment.nodes {
		node.stop()
	}
	for _, minion := range deployment.minions {
		minion.close()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(deployment.folder) // it is a temporary folder
	} else {
		fmt.Println("logs:", deployment.folder)
	}
}

// route is a queue in the configuration.
type route struct {
	Name            string  `json:"name"`
	Host            string  `json:"host"`
	PathPrefix      string  `json:"pathPrefix"`
	Type            string  `json:"type"`
	TimeoutMS       int     `json:"timeoutMs"`
	TargetLatencyMS int     `json:"targetLatencyMs"`
	Priority        int     `json:"priority"`
	Service         string  `json:"service"`
	Attempts        int     `json:"attempts"`
	Stretch         float64 `json:"stretch"`
	Public          bool    `json:"public"`
}

func newRoute(name string) route {
	return route{
		Name: name, Host: host, PathPrefix: prefix, Type: "mutating", TimeoutMS: 3000, TargetLatencyMS: 1500, Priority: 1,
		Service: service, Attempts: 4, Stretch: 3,
	}
}

// configure writes a version of the configuration.
func (deployment *deployment) configure(routes ...route) {
	deployment.version++
	encoded, _ := json.Marshal(map[string]any{ // text and numbers always can be encoded
		"version": deployment.version, "routes": routes,
		"services": []map[string]any{{"name": service, "enforcesCapacity": true, "standby": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144},
		"tenants":  []map[string]any{{"name": "kaje80", "apiKeys": []string{key}, "guaranteed": map[string]int{"gpu": 8}}},
	})
	deployment.recorder.log("operator: version %d of the configuration: %s", deployment.version, encoded)
	deployment.store.write("keyed.op", "config", string(encoded))
}

func (deployment *deployment) addMinion(id string, labels ...string) (*minion, error) {
	added, err := newMinion(id, service, labels, deployment.recorder, deployment.store)
	if err == nil {
		deployment.minions = append(deployment.minions, added)
	}
	return added, err
}

// addMinions adds minions of one kind.
func (deployment *deployment) addMinions(count int, label string) error {
	for index := range count {
		if _, err := deployment.addMinion(fmt.Sprintf("i-0000aaa%d", index+1), label, "r1-2"); err != nil {
			return err
		}
	}
	return nil
}

// startNodes starts nodes and waits until all are ready.
func (deployment *deployment) startNodes(ctx context.Context, count int) error {
	for index := range count {
		started, err := startNode(fmt.Sprintf("edge-gulf-a-%d", index+1), deployment.binary, deployment.folder, deployment.store, deployment.cloud, deployment.recorder)
		if err != nil {
			return err
		}
		deployment.nodes = append(deployment.nodes, started)
	}
	for _, node := range deployment.nodes {
		if err := node.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// nodesByRole returns a node that does not place tasks, the one that does, and another one.
func (deployment *deployment) nodesByRole() (follower, holder, other *node) {
	name := deployment.store.lastClaimant()
	var followers []*node
	for _, node := range deployment.nodes {
		if node.name == name {
			holder = node
		} else {
			followers = append(followers, node)
		}
	}
	if holder == nil {
		return deployment.nodes[0], deployment.nodes[1], deployment.nodes[2]
	}
	return followers[0], holder, followers[1]
}

// step is a step of a job. All of its tasks ask for one accelerator.
type step struct {
	Count         int    `json:"count"`
	CPU           int    `json:"cpu"`
	MemMB         int    `json:"memMb"`
	GPU           int    `json:"gpu"`
	EstimateMS    int    `json:"estimateMs"`
	DependsOn     []int  `json:"dependsOn,omitempty"`
	RequiredLabel string `json:"requiredLabel,omitempty"`
}

func newStep(work time.Duration, label string, dependsOn ...int) step {
	return step{
		Count: 1, CPU: 1000, MemMB: 1024, GPU: 1, EstimateMS: int(work.Milliseconds()), DependsOn: dependsOn, RequiredLabel: label,
	}
}

type job struct {
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`
}

// newJob returns a job whose tasks work as long as its steps estimate.
func newJob(steps ...step) job {
	var spec bytes.Buffer
	for _, step := range steps {
		_, _ = fmt.Fprintf(&spec, "%d ", step.EstimateMS)
	}
	return job{spec.String(), steps}
}

// answer is the answer to a call of a client. The status is zero without one.
type answer struct {
	status int
	body   string
	at     time.Time
}

// call sends a call of a client to a node.
func (deployment *deployment) call(node *node, method, id string, content any) answer {
	var body []byte
	if content != nil {
		body, _ = json.Marshal(content) // text and numbers always can be encoded
	}
	ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+node.front+prefix+id, bytes.NewReader(body))
	if err != nil {
		return answer{at: time.Now()}
	}
	request.Host = host
	request.Header.Set("Authorization", "Token "+key)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Corianderroad-Deadline-Ms", fmt.Sprint(clientDeadline.Milliseconds()))
	deployment.recorder.log("client: %s %s%s to %s %s", method, prefix, id, node.name, body)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		deployment.recorder.log("client: %s %s%s gets no answer: %v", method, prefix, id, err)
		return answer{at: time.Now()}
	}
	defer response.Body.Close() //nolint:errcheck // it has been read
	received, _ := io.ReadAll(response.Body)
	deployment.recorder.log("client: %s %s%s gets %d %s", method, prefix, id, response.StatusCode, received)
	return answer{response.StatusCode, string(received), time.Now()}
}

// submit submits a job, again after an answer that allows it, until it is accepted.
func (deployment *deployment) submit(ctx context.Context, id string, submitted job) error {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		answer := deployment.call(deployment.nodes[attempt%len(deployment.nodes)], http.MethodPost, id, submitted)
		if answer.status/100 == 2 {
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return ctx.Err()
}

// awaitRun waits until a run of a job satisfies a condition, and returns it.
func (deployment *deployment) awaitRun(ctx context.Context, id string, condition func(taskRun) bool) (taskRun, error) {
	for {
		for _, run := range deployment.recorder.runsOf(id) {
			if condition(run) {
				return run, nil
			}
		}
		select {
		case <-ctx.Done():
			return taskRun{}, fmt.Errorf("no such run of job %s: %w", id, ctx.Err())
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// sleepUntil waits until a time.
func sleepUntil(at time.Time) { time.Sleep(time.Until(at)) }
