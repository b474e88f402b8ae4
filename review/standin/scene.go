package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	serviceName = "rota"
	apiKey      = "key-of-the-club"
	// finishTime is the bound finish_s of the example deployment, standstill the time for
	// which a waiting job must have had nothing running (rule LOST).
	finishTime = 14 * time.Second
	standstill = 3 * time.Second
	// clientDeadline is how long a client waits for an answer, and says so.
	clientDeadline = 3 * time.Second
	nodeCount      = 3
)

// Route is a route of the configuration.
type Route struct {
	Name, Prefix       string
	Priority, Attempts int
}

// Scene is a deployment: nodes as processes, and the stand-ins around them.
type Scene struct {
	record  *Record
	store   *Store
	pool    *Pool
	cloud   *Cloud
	trouble bool
	folder  string

	nodes   []*node
	stopped []*node // those that were told to stop
	version int
	client  *http.Client
	mutex   sync.Mutex
	next    int // the node of the next call
	lastJob int
}

type node struct {
	name, front, readiness string
	command                *exec.Cmd
}

// NewScene starts the stand-ins and the nodes, and returns once all nodes are ready.
func NewScene(root string, record *Record, trouble bool, minions int, routes ...*Route) (*Scene, error) {
	scene := &Scene{record: record, store: NewStore(), trouble: trouble, client: &http.Client{Timeout: clientDeadline + 500*time.Millisecond}}
	var err error
	if scene.folder, err = os.MkdirTemp("", "review-"); err != nil {
		return scene, err
	}
	go scene.endInTime()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return scene, err
	}
	go func() { _ = (&http.Server{Handler: scene.store}).Serve(listener) }()
	if scene.cloud, err = NewCloud(record); err != nil {
		return scene, err
	}
	scene.Configure(routes...)
	if scene.pool, err = NewPool(minions, scene.store, record); err != nil {
		return scene, err
	}
	scene.cloud.pool = scene.pool
	for index := range nodeCount {
		if err := scene.startNode(root, index, listener.Addr().String()); err != nil {
			return scene, err
		}
	}
	return scene, scene.awaitReady()
}

// Configure publishes the next version of the configuration with the given routes.
func (scene *Scene) Configure(routes ...*Route) {
	scene.version++
	var encoded []string
	for _, route := range routes {
		encoded = append(encoded, fmt.Sprintf(`{"name":%q,"host":"club.example","pathPrefix":%q,"type":"mutating","timeoutMs":3000,`+
			`"targetLatencyMs":1500,"priority":%d,"service":%q,"attempts":%d,"stretch":3.0,"public":false}`,
			route.Name, route.Prefix, route.Priority, serviceName, route.Attempts))
	}
	scene.store.Write("keyed.op", "config", fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":%q,"enforcesCapacity":true,"standby":false}],`+
		`"tenants":[{"name":"club","apiKeys":[%q],"guaranteed":{"gpu":8}}],"limits":{"maxBodyBytes":262144}}`,
		scene.version, strings.Join(encoded, ","), serviceName, apiKey))
	scene.record.Sayf("the operator publishes version %d with %d routes", scene.version, len(routes))
}

// The ports of the nodes lie below the range from which the system takes ports of outgoing
// connections.
const (
	firstPort = 10_240
	portCount = 20_000
)

// freeAddresses returns loopback addresses on which no process listens.
func freeAddresses(count int) ([]string, error) {
	var addresses []string
	for range 100 * count {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		if addresses = append(addresses, address); len(addresses) == count {
			return addresses, nil
		}
	}
	return nil, errors.New("no free port for a node")
}

func (scene *Scene) startNode(root string, index int, store string) error {
	addresses, err := freeAddresses(3)
	if err != nil {
		return err
	}
	node := &node{name: fmt.Sprintf("edge-%d", index), front: addresses[0], readiness: addresses[1]}
	_, port, _ := net.SplitHostPort(addresses[2])
	settings := fmt.Sprintf(`{"nodeName":%q,"role":"entry","machineClass":"edge","serves":["edge"],"ip":"127.0.0.1","zone":"gulf-a","region":"gulf",`+
		`"zones":{"gulf-a":"gulf"},"listen":{"front":%q,"readiness":%q},"portRange":[%s,%s],"bootstrap":true,`+
		`"limits":{"cpuShare":0.4,"cores":1,"memoryMb":284,"maxFds":4100,"linkMbps":1000.0,"diskMb":0},"dataDir":null,"heartbeatMs":1500,`+
		`"bounds":{"contactMs":4000,"ackTimeoutMs":5000,"drainMs":3000,"graceS":6,"configApplyMs":3000,"revokeMs":5000,"maxHoldMs":10000,`+
		`"stopTimeoutMs":900,"gangTimeoutMs":3000,"cancel_ms":3000,"visible_ms":3000,"early_ms":250,"finish_s":14,"status_s":120,`+
		`"checkpointS":2,"restoreMs":100,"noticeMs":5500,"maintenanceS":2,"requireFencing":true,"leaseMs":3000,"reclaimMs":3400},`+
		`"controlMode":"call","advice":null,"platform":{"address":%q,"form":"log","writesPerS":800,"readsPerS":2000,"parts":8,"appendMs":4.0,`+
		`"recordBytes":262144,"requestBytes":2097152,"keep_s":300,"partitionMb":200,"minTtlMs":1000},"cloud":%s}`,
		node.name, node.front, node.readiness, port, port, store, fmt.Sprintf(`{"address":%q,"ratePerS":60.0,"duties":[],"dutyPerS":60.0}`, scene.cloud.address))
	path := filepath.Join(scene.folder, node.name+".json")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	output, err := os.Create(filepath.Join(scene.folder, node.name+".log"))
	if err != nil {
		return err
	}
	node.command = exec.Command("target/corianderroad", "enter")
	node.command.Dir = root
	node.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "CORIANDERROAD_BOOT=" + path}
	node.command.Stdout, node.command.Stderr = output, output
	if err := node.command.Start(); err != nil {
		return err
	}
	scene.mutex.Lock()
	defer scene.mutex.Unlock()
	scene.nodes = append(scene.nodes, node)
	return nil
}

// awaitReady waits until all nodes are ready, and then for a calm time.
func (scene *Scene) awaitReady() error {
	deadline := time.Now().Add(15 * time.Second)
	for _, node := range scene.nodes {
		for {
			response, err := scene.client.Get("http://" + node.readiness + "/api/readyz")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", node.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(5 * time.Second)
	scene.record.Sayf("%d nodes are ready, %d minions", len(scene.nodes), len(scene.pool.minions))
	return nil
}

// maxRunTime bounds a case.
const maxRunTime = 118 * time.Second

// endInTime ends the processes of the nodes and this one when it is told to stop, or when
// the case has lasted too long.
func (scene *Scene) endInTime() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(maxRunTime):
	}
	scene.record.Sayf("the case was stopped")
	scene.Close()
	os.Exit(exitNotRun)
}

// Close ends the processes of the nodes.
func (scene *Scene) Close() {
	scene.mutex.Lock()
	defer scene.mutex.Unlock()
	for _, node := range append(scene.nodes, scene.stopped...) {
		_ = node.command.Process.Kill()
		_ = node.command.Wait()
	}
	_ = os.RemoveAll(scene.folder)
}

// call sends one request to the next node. The status is 0 if there was no answer.
func (scene *Scene) call(method string, job *Job, body string) (int, string) {
	scene.mutex.Lock()
	node := scene.nodes[scene.next%len(scene.nodes)]
	scene.next++
	scene.mutex.Unlock()
	return scene.callNode(node, method, job, body)
}

// callNode sends one request to a node.
func (scene *Scene) callNode(node *node, method string, job *Job, body string) (int, string) {
	request, err := http.NewRequest(method, "http://"+node.front+job.Route.Prefix+job.ID, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = "club.example"
	request.Header.Set("Authorization", "Token "+apiKey)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Corianderroad-Deadline-Ms", fmt.Sprint(clientDeadline.Milliseconds()))
	response, err := scene.client.Do(request)
	if err != nil {
		scene.record.Logf("%s %s at %s: %v", method, job.ID, node.name, err)
		return 0, err.Error()
	}
	defer response.Body.Close() //nolint:errcheck // the answer was read
	answer, err := io.ReadAll(response.Body)
	scene.record.Logf("%s %s at %s: %d %s", method, job.ID, node.name, response.StatusCode, answer)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(answer)
}

// NewJob registers a job before a client sends it.
func (scene *Scene) NewJob(route *Route, steps ...*Step) *Job {
	scene.mutex.Lock()
	scene.lastJob++
	job := &Job{ID: fmt.Sprintf("%08x%08x", scene.lastJob, time.Now().UnixMilli()&0xffffffff), Route: route, Steps: steps}
	scene.mutex.Unlock()
	scene.pool.mutex.Lock()
	defer scene.pool.mutex.Unlock()
	scene.pool.jobs[job.ID] = job
	return job
}

// Submit sends a job, again after no answer or a refusal, until it is accepted or five
// attempts were made.
func (scene *Scene) Submit(route *Route, steps ...*Step) *Job {
	job := scene.NewJob(route, steps...)
	scene.Send(job)
	return job
}

// Send sends a registered job as Submit does.
func (scene *Scene) Send(job *Job) {
	for range 5 {
		if status, _ := scene.call(http.MethodPost, job, job.body()); status == http.StatusOK {
			scene.pool.mutex.Lock()
			job.AcceptedAt = time.Now()
			scene.pool.mutex.Unlock()
			return
		}
		time.Sleep(time.Second)
	}
}

func (job *Job) body() string {
	var steps []map[string]any
	for _, step := range job.Steps {
		encoded := map[string]any{"count": step.Count, "cpu": step.CPU, "memMb": step.MemMB, "estimateMs": step.Work.Milliseconds()}
		if step.GPU > 0 {
			encoded["gpu"] = step.GPU
		}
		if len(step.DependsOn) > 0 {
			encoded["dependsOn"] = step.DependsOn
		}
		if step.Checkpointing {
			encoded["checkpointing"] = true
		}
		steps = append(steps, encoded)
	}
	fields := map[string]any{"spec": "draw", "steps": steps}
	if job.Repeats > 0 {
		fields["repeatCount"], fields["startAtMs"], fields["intervalMs"] = job.Repeats, time.Now().UnixMilli(), job.Interval.Milliseconds()
	}
	encoded, _ := json.Marshal(fields)
	return string(encoded)
}

// Ask asks for the state of a job.
func (scene *Scene) Ask(job *Job) string {
	status, answer := scene.call(http.MethodGet, job, "")
	var shown struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(answer), &shown) != nil {
		return fmt.Sprint(status)
	}
	return shown.State
}
