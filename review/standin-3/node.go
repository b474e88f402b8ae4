package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// node is one entry VM: a process with the settings of a small deployment.
type node struct {
	name      string
	front     string
	readiness string
	settings  string
	logs      string
	command   []string
	process   *exec.Cmd
	ended     chan struct{}
}

// deployment is the nodes with their platform.
type deployment struct {
	store *store
	log   *journal
	jobs  *jobs
	pool  *pool
	cloud *cloud
	nodes []*node
	// folder is a temporary folder for settings and logs.
	folder string
}

// runWords returns the words of the role's command in the deploy file.
func runWords() ([]string, error) {
	content, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(content)) {
		if value, isRun := strings.CutPrefix(strings.TrimSpace(line), "run = "); isRun {
			return strings.Fields(strings.Trim(value, `"`)), nil
		}
	}
	return nil, fmt.Errorf("deploy/system.toml has no run line")
}

// serve serves a handler on a free loopback port.
func serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, handler) }() //nolint:gosec // it ends with the process
	return listener.Addr().String(), nil
}

// Ports of the nodes are below those that the kernel gives to connections, so that none is taken
// between the search for it and the start of the node.
const firstPort, lastPort = 12000, 30000

// freePorts returns free loopback ports.
func freePorts(count int) ([]int, error) {
	var ports []int
	for range 1000 {
		port := firstPort + rand.IntN(lastPort-firstPort)
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = listener.Close() // it has no connections
		if !slices.Contains(ports, port) {
			ports = append(ports, port)
		}
		if len(ports) == count {
			return ports, nil
		}
	}
	return nil, fmt.Errorf("no %d free ports", count)
}

// newNode prepares the settings of a node.
func (deployment *deployment) newNode(index int, folder, storeAddress, cloudAddress string, command []string) (*node, error) {
	ports, err := freePorts(3)
	if err != nil {
		return nil, err
	}
	prepared := &node{
		name: fmt.Sprintf("edge-gulf-a-%d", index+1), front: fmt.Sprintf("127.0.0.1:%d", ports[0]), readiness: fmt.Sprintf("127.0.0.1:%d", ports[1]),
		command: command,
	}
	prepared.settings, prepared.logs = filepath.Join(folder, prepared.name+".json"), filepath.Join(folder, prepared.name+".log")
	content, err := json.Marshal(map[string]any{
		"nodeName": prepared.name, "role": "entry", "machineClass": "edge", "serves": []string{"edge"}, "ip": "127.0.0.1",
		"zone": "gulf-a", "region": "gulf", "zones": map[string]string{"gulf-a": "gulf"},
		"listen":    map[string]string{"front": prepared.front, "readiness": prepared.readiness},
		"portRange": []int{ports[2], ports[2]}, "bootstrap": true, "heartbeatMs": heartbeat.Milliseconds(),
		"limits": map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000},
		"bounds": map[string]any{
			"contactMs": 4000, "ackTimeoutMs": 5000, "drainMs": 3000, "graceS": 6, "configApplyMs": 3000, "strictRevoke": true, "revokeMs": 5000,
			"maxHoldMs": maxHold.Milliseconds(), "stopTimeoutMs": 900, "gangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000,
			"finish_s": 14, "status_s": 120, "noticeMs": 5500, "maintenanceS": 2, "requireFencing": true, "leaseMs": 3000, "reclaimMs": 3400,
		},
		"controlMode": "call",
		"platform":    map[string]any{"address": storeAddress, "form": "log", "writesPerS": 800, "readsPerS": 2000, "recordBytes": 262144, "requestBytes": 2097152},
		"cloud":       map[string]any{"address": cloudAddress, "ratePerS": 60, "dutyPerS": 60},
	})
	if err != nil {
		return nil, err
	}
	return prepared, os.WriteFile(prepared.settings, content, 0o600)
}

// start starts the node's process.
func (node *node) start(log *journal) error {
	file, err := os.OpenFile(node.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	process := exec.Command(node.command[0], node.command[1:]...) //nolint:gosec // the command of the deploy file
	process.Env = []string{"CORIANDERROAD_BOOT=" + node.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	process.Stdout, process.Stderr = file, file
	if err := process.Start(); err != nil {
		return err
	}
	log.add("process of %s starts", node.name)
	ended := make(chan struct{})
	node.process, node.ended = process, ended
	go func() {
		err := process.Wait()
		_ = file.Close() // the process has ended
		log.add("process of %s has ended: %v", node.name, err)
		close(ended)
	}()
	return nil
}

// stop ends the node's process.
func (node *node) stop() {
	if node.process == nil {
		return
	}
	_ = node.process.Process.Kill() // an error means that it has ended
	<-node.ended
}

// awaitReady waits until all nodes report that they are ready.
func (deployment *deployment) awaitReady(ctx context.Context) error {
	for _, node := range deployment.nodes {
		for {
			response, err := http.Get("http://" + node.readiness + "/api/readyz")
			if err == nil {
				_ = response.Body.Close() // it is not read
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s is not ready", node.name)
			case <-time.After(100 * time.Millisecond):
			}
		}
	}
	return nil
}
