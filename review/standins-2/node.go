//go:build review

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// node is an entry VM, which runs as a process of its own.
type node struct {
	name             string
	front, readiness string
	recorder         *recorder
	storeServer      *http.Server
	command          *exec.Cmd
}

// startNode starts a node with its own address of the store, by which the store
// recognizes it.
func startNode(name, binary, folder string, store *store, cloud string, recorder *recorder) (*node, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	started := &node{name: name, recorder: recorder, storeServer: &http.Server{Handler: store.handler(name)}}
	go func() { _ = started.storeServer.Serve(listener) }() // ends with stop
	addresses, err := freeAddresses(3)
	if err != nil {
		return nil, err
	}
	started.front, started.readiness = addresses[0].String(), addresses[1].String()
	settings, err := writeSettings(folder, name, addresses, listener.Addr().String(), cloud)
	if err != nil {
		return nil, err
	}
	output, err := os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		return nil, err
	}
	defer output.Close() //nolint:errcheck // the process has its own descriptor
	started.command = exec.Command(binary, "enter")
	started.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CORIANDERROAD_BOOT=" + settings}
	started.command.Stdout, started.command.Stderr = output, output
	started.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := started.command.Start(); err != nil {
		return nil, err
	}
	recorder.log("node %s: started", name)
	return started, nil
}

// kill kills the process and waits for its end.
func (node *node) kill() {
	if node.command == nil {
		return
	}
	_ = node.command.Process.Kill() // it may have ended already
	_ = node.command.Wait()         // the end by the signal is an error
	node.command = nil
	node.recorder.log("node %s: killed", node.name)
}

func (node *node) stop() {
	node.kill()
	_ = node.storeServer.Close() // the process ends anyway
}

// awaitReady returns once the node answers that it is ready.
func (node *node) awaitReady(ctx context.Context) error {
	for {
		response, err := http.Get("http://" + node.readiness + "/api/readyz")
		if err == nil {
			_ = response.Body.Close() // it was not read
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("node %s is not ready: %w", node.name, ctx.Err())
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// The ports of nodes lie below the ephemeral ports, so that no outgoing connection uses one.
const (
	firstPort = 12000
	portCount = 20000
)

// lastPort is the port that was last assigned. It begins at a random one, so that scripts
// that run together do not try the same ports.
var lastPort = rand.IntN(portCount)

// freeAddresses returns loopback addresses on which nothing listens now.
func freeAddresses(count int) ([]*net.TCPAddr, error) {
	var addresses []*net.TCPAddr
	for range portCount {
		lastPort = (lastPort + 1) % portCount
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+lastPort))
		if err != nil {
			continue // something listens there
		}
		addresses = append(addresses, listener.Addr().(*net.TCPAddr))
		if err := listener.Close(); err != nil {
			return nil, err
		}
		if len(addresses) == count {
			return addresses, nil
		}
	}
	return nil, errors.New("no free ports")
}

// writeSettings writes the settings of a node, with the bounds of a small deployment.
func writeSettings(folder, name string, addresses []*net.TCPAddr, store, cloud string) (string, error) {
	settings := map[string]any{
		"nodeName": name, "role": "entry", "machineClass": "edge", "serves": []string{"edge"}, "ip": "127.0.0.1",
		"zone": "gulf-a", "region": "gulf", "zones": map[string]string{"gulf-a": "gulf"},
		"listen":    map[string]string{"front": addresses[0].String(), "readiness": addresses[1].String()},
		"portRange": []int{addresses[2].Port, addresses[2].Port}, "bootstrap": true, "heartbeatMs": heartbeatInterval.Milliseconds(),
		"limits": map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"bounds": map[string]any{
			"contactMs": 4000, "ackTimeoutMs": 5000, "drainMs": 3000, "graceS": 6, "revokeMs": 5000, "maxHoldMs": maxHold.Milliseconds(),
			"stopTimeoutMs": 900, "gangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "finish_s": 14, "status_s": 120,
			"maintenanceS": 2, "requireFencing": true, "leaseMs": 3000, "reclaimMs": 3400,
		},
		"controlMode": "call",
		"platform":    map[string]any{"address": store, "form": "log", "appendMs": 4.0, "recordBytes": 262144, "requestBytes": 2097152, "keep_s": 300},
		"cloud":       map[string]any{"address": cloud, "ratePerS": 60.0, "duties": []string{}, "dutyPerS": 60.0},
	}
	encoded, err := json.Marshal(settings)
	if err != nil {
		return "", err
	}
	path := filepath.Join(folder, name+".json")
	return path, os.WriteFile(path, encoded, 0o600)
}
