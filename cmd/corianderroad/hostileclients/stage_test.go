// Package hostileclients_test holds tests in which crowds of clients that respect no limits
// call a real process of an entry VM. The limits of the process and the size of the
// crowds can be set by environment variables, for a run with those of a real VM.
package hostileclients_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/platform"
	"corianderroad/platform/imitator"
)

// Limits of the process and the size of the crowds.
var (
	memoryMB    = limit("HOSTILE_MEMORY_MB", 96)
	descriptors = limit("HOSTILE_DESCRIPTORS", 1000)
	crowdSize   = limit("HOSTILE_CONNECTIONS", 600)
	bodyBytes   = limit("HOSTILE_BODY_BYTES", 128<<10)
)

// testTimeout limits the duration of a test. It is not a performance target.
const testTimeout = 3 * time.Minute

// program is the path of the program under test. It is built without the race detector,
// whose memory would count.
var program string

func limit(variable string, fallback int) int {
	if value, err := strconv.Atoi(os.Getenv(variable)); err == nil {
		return value
	}
	return fallback
}

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "hostileclients")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(folder) //nolint:errcheck // it is only the folder of a test run
	program = filepath.Join(folder, "corianderroad")
	if output, err := exec.Command("go", "build", "-o", program, "corianderroad/cmd/corianderroad").CombinedOutput(); err != nil {
		panic(string(output))
	}
	return m.Run()
}

// machine is the VM of a node.
type machine struct {
	memoryMB, descriptors int
	cpuShare              float64
}

// ordinaryMachine has the limits that the environment sets.
func ordinaryMachine() machine {
	return machine{memoryMB: memoryMB, descriptors: descriptors, cpuShare: 1}
}

// node is a process under test.
type node struct {
	c                         *quicktest.C
	machine                   machine
	front, readiness, metrics netip.AddrPort
	// entrance is where ordinary callers call: front, or the address of a link to it.
	entrance netip.AddrPort
	settings string
	// command is nil while no process runs.
	command *exec.Cmd
	ended   chan error
	sampler *sampler
}

const (
	host    = "h.example"
	service = "s"
	// Keys of the two workspaces.
	firstKey, secondKey = "key-a", "key-b"
)

// newStore returns a store with a queue, two workspaces and a minion.
func newStore(c *quicktest.C) *imitator.Imitator {
	store, minion := imitator.New(), imitator.NewMinion()
	store.Reply = minion.Reply
	store.Write("keyed.servers", "i-1", minion.Report(service, store.Address()))
	store.Write("keyed.op", "config", fmt.Sprintf(`{"version":1,"routes":[{"name":"q","host":%q,"pathPrefix":"/q/","service":%q,"attempts":2,"stretch":3}],`+
		`"services":[{"name":%q}],"tenants":[{"name":"a","apiKeys":[%q]},{"name":"b","apiKeys":[%q]}]}`,
		host, service, service, firstKey, secondKey))
	c.Cleanup(func() {
		store.CloseClientConnections()
		store.Close()
	})
	return store
}

// nodeIP is the local address of the nodes. No connection begins there, so that none takes
// a port of a node that does not listen yet.
var nodeIP = netip.AddrFrom4([4]byte{127, 0, 0, 3})

// freeAddresses returns different addresses on which no process listens.
func freeAddresses(c *quicktest.C, count int) []netip.AddrPort {
	var addresses []netip.AddrPort
	for range count {
		listener, err := net.Listen("tcp", netip.AddrPortFrom(nodeIP, 0).String())
		c.Assert(err, quicktest.IsNil)
		defer func() { c.Check(listener.Close(), quicktest.IsNil) }()
		addresses = append(addresses, netip.MustParseAddrPort(listener.Addr().String()))
	}
	return addresses
}

// newNode starts a node on an ordinary machine.
func newNode(c *quicktest.C, store *imitator.Imitator, name string) *node {
	return newNodeOn(c, ordinaryMachine(), store.Address(), name)
}

// newNodeOn writes the settings of a node and starts it.
func newNodeOn(c *quicktest.C, machine machine, store netip.AddrPort, name string) *node {
	addresses := freeAddresses(c, 3)
	node := &node{c: c, machine: machine, front: addresses[0], readiness: addresses[1], metrics: addresses[2], entrance: addresses[0]}
	encoded, err := json.Marshal(map[string]any{
		"nodeName": name, "zone": "a", "region": "r",
		"listen":    map[string]string{"front": node.front.String(), "readiness": node.readiness.String()},
		"portRange": []uint16{node.metrics.Port(), node.metrics.Port()},
		"limits":    map[string]any{"cpuShare": machine.cpuShare, "cores": 1, "memoryMb": machine.memoryMB, "maxFds": machine.descriptors},
		"bounds":    map[string]any{"graceS": 4, "maxHoldMs": 6000, "stopTimeoutMs": 500},
		"platform":  map[string]string{"address": store.String()},
	})
	c.Assert(err, quicktest.IsNil)
	node.settings = filepath.Join(c.TempDir(), "settings")
	c.Assert(os.WriteFile(node.settings, encoded, 0o600), quicktest.IsNil)
	node.start()
	c.Cleanup(node.kill)
	return node
}

// start starts the process and waits until it is ready.
func (node *node) start() {
	node.command = exec.Command(program, "enter")
	node.command.Env = append(os.Environ(), platform.SettingsVariable+"="+node.settings)
	node.command.Stdout, node.command.Stderr = io.Discard, os.Stderr
	node.c.Assert(node.command.Start(), quicktest.IsNil)
	node.ended = make(chan error, 1)
	go func(command *exec.Cmd, ended chan<- error) { ended <- command.Wait() }(node.command, node.ended)
	node.sampler = newSampler(node)
	node.await("the node is ready", func(ctx context.Context) bool {
		status, _ := call(ctx, node.readiness, http.MethodGet, "/", "", "")
		return status == http.StatusOK
	})
}

func (node *node) kill() {
	if node.command != nil {
		_ = node.command.Process.Kill() // the process may have ended already
		<-node.ended
		node.endSampling()
	}
}

// endSampling returns the peaks of a process that has ended.
func (node *node) endSampling() peaks {
	node.command = nil
	return node.sampler.close()
}

// await repeats a check until it succeeds.
func (node *node) await(what string, check func(ctx context.Context) bool) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for !check(ctx) {
		select {
		case err := <-node.ended:
			node.ended <- err
			node.c.Fatalf("the process has ended: %v", err)
		case <-ctx.Done():
			node.c.Fatalf("not seen: %s", what)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// awaitAnswer sends an ordinary job until it is accepted, and returns the number of attempts.
func (node *node) awaitAnswer(key string) int {
	path, attempts := "/q/"+newJobID(), 0
	defer func() { node.c.Logf("accepted at attempt %d", attempts) }()
	node.await("an ordinary job is accepted", func(ctx context.Context) bool {
		attempts++
		status, _ := call(ctx, node.entrance, http.MethodPost, path, key, smallJob)
		return status == http.StatusOK
	})
	return attempts
}

var lastJob atomic.Uint64

func newJobID() string { return fmt.Sprintf("%016x", lastJob.Add(1)) }

// call sends one request on a connection of its own.
func call(ctx context.Context, address netip.AddrPort, method, path, key, body string) (int, string) {
	status, _, content := callWithHeader(ctx, address, method, path, key, body)
	return status, content
}

// callWithHeader does the same as call, and returns the header of the answer as well.
func callWithHeader(ctx context.Context, address netip.AddrPort, method, path, key, body string) (int, http.Header, string) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address.String()+path, strings.NewReader(body))
	if err != nil {
		return 0, nil, err.Error()
	}
	request.Host, request.Close = host, true
	request.Header.Set("Authorization", "Token "+key)
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, err.Error()
	}
	defer answer.Body.Close() //nolint:errcheck // the answer was read
	content, _ := io.ReadAll(answer.Body)
	return answer.StatusCode, answer.Header, string(content)
}
