// Package stager sets up a deployment for the soak test: the stand-in of the
// platform in this process, nodes as separate processes, and proxies between them.
package stager

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"corianderroad/cmd/soak/checker"
	"corianderroad/cmd/soak/stutterer"
	"corianderroad/platform/imitator"
)

// Names of the only queue and of its service.
const (
	Host    = "soak.example"
	Prefix  = "/soak/"
	service = "soak"
)

// Deployment is a deployment under test. Its methods are safe for concurrent use
// unless stated otherwise.
type Deployment struct {
	Store      *imitator.Imitator
	Nodes      []*Node
	Minions    []*Minion
	Checker    *checker.Checker
	proxies    *toxiproxy.ApiServer
	pool       *imitator.Pool
	folder     string
	faultCount atomic.Uint64

	mutex   sync.Mutex
	version int64
	keys    []string
}

// Minion is a minion behind a proxy. It begins a new incarnation after each crash.
type Minion struct {
	Proxy        *toxiproxy.Proxy
	mutex        sync.Mutex
	incarnation  *imitator.LeasedMinion
	incarnations int
	down         bool
	index        int
}

// New starts a deployment that writes its logs to the given folder. The caller must
// call Close, even after an error.
func New(binary, folder string, nodes, minions int) (*Deployment, error) {
	deployment := &Deployment{
		Store: imitator.New(), Checker: checker.New(), folder: folder,
		proxies: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop()),
	}
	stutterer.Register()
	deployment.pool = imitator.NewPool(deployment.Checker, deployment.crashUnderTask)
	deployment.Configure("key-a", "key-b")
	for index := range minions {
		minion, err := deployment.newMinion(index)
		if err != nil {
			return deployment, err
		}
		deployment.Minions = append(deployment.Minions, minion)
	}
	for index := range nodes {
		node, err := deployment.newNode(binary, index)
		if err != nil {
			return deployment, err
		}
		deployment.Nodes = append(deployment.Nodes, node)
	}
	return deployment, nil
}

// Configure publishes a configuration with the given keys.
func (deployment *Deployment) Configure(keys ...string) {
	deployment.mutex.Lock()
	defer deployment.mutex.Unlock()
	deployment.version++
	deployment.keys = keys
	encoded, _ := json.Marshal(keys) // cannot fail on strings
	deployment.Store.Write("keyed.op", "config", fmt.Sprintf(
		`{"version":%d,"routes":[{"name":"soak","host":%q,"pathPrefix":%q,"service":%q,"attempts":3,"stretch":3,"targetLatencyMs":2000}],`+
			`"services":[{"name":%q}],"tenants":[{"name":"tenant","apiKeys":%s}]}`,
		deployment.version, Host, Prefix, service, service, encoded))
}

// Key returns the first key of the newest configuration.
func (deployment *Deployment) Key() string {
	deployment.mutex.Lock()
	defer deployment.mutex.Unlock()
	return deployment.keys[0]
}

func (deployment *Deployment) newMinion(index int) (*Minion, error) {
	minion := &Minion{index: index}
	minion.incarnation = deployment.pool.NewMinion(minion.name(), minion.clockRate())
	proxy, err := deployment.newProxy(fmt.Sprintf("minion-%d", index), minion.incarnation.Address())
	if err != nil {
		return nil, err
	}
	minion.Proxy = proxy
	deployment.register(minion)
	return minion, nil
}

// clockRate returns the rate of the minion's clock: some clocks run slow.
func (minion *Minion) clockRate() float64 { return 1 - 0.005*float64(minion.index%5) }

// name returns the ID of the minion's current incarnation. Every second minion keeps its ID.
func (minion *Minion) name() string {
	if minion.index%2 == 1 {
		return fmt.Sprintf("m%d", minion.index)
	}
	return fmt.Sprintf("m%d-%d", minion.index, minion.incarnations)
}

// entryLifetime is how long the entry of a crashed minion remains in the store.
const entryLifetime = 3 * time.Second

// minionsPerRack is how many minions share a rack.
const minionsPerRack = 3

func (deployment *Deployment) register(minion *Minion) {
	address := netip.MustParseAddrPort(minion.Proxy.Listen)
	rack := fmt.Sprintf("r-%d", minion.index/minionsPerRack)
	deployment.Checker.Registered(minion.incarnation.Name, minion.domain())
	deployment.Store.Write("keyed.servers", minion.incarnation.Name, minion.incarnation.Report(service, string(minion.domain()), rack, address))
}

// Crash ends a minion's incarnation and begins another after the given time. It has
// no effect on a minion that is already down.
func (deployment *Deployment) Crash(minion *Minion, down time.Duration) {
	minion.mutex.Lock()
	defer minion.mutex.Unlock()
	if minion.down {
		return
	}
	minion.down = true
	name := minion.incarnation.Name
	minion.incarnation.Crash()
	time.AfterFunc(entryLifetime, func() {
		minion.mutex.Lock()
		defer minion.mutex.Unlock()
		if minion.down || minion.incarnation.Name != name {
			deployment.Store.Write("keyed.servers", name, "")
		}
	})
	minion.incarnations++
	time.AfterFunc(down, func() {
		minion.mutex.Lock()
		defer minion.mutex.Unlock()
		minion.incarnation, minion.down = deployment.pool.NewMinion(minion.name(), minion.clockRate()), false
		if err := redirect(minion.Proxy, minion.incarnation.Address()); err != nil {
			deployment.Checker.ReportViolation("the soak test could not restart a minion: %v", err)
			return
		}
		deployment.register(minion)
	})
}

// A restart of a proxy is tried again every restartInterval, up to maxRestarts times.
const (
	restartInterval = 10 * time.Millisecond
	maxRestarts     = 200
)

// redirect restarts a proxy with another upstream on the same address. A process that was just
// forked has a copy of the listening socket until it executes its program, so that the address may
// still be in use. syscall.ForkLock does not help: the lock is free some time before the copy is
// closed.
func redirect(proxy *toxiproxy.Proxy, upstream netip.AddrPort) error {
	restarted := &toxiproxy.Proxy{Listen: proxy.Listen, Upstream: upstream.String(), Enabled: true}
	err := proxy.Update(restarted)
	for tries := 1; tries < maxRestarts && errors.Is(err, syscall.EADDRINUSE); tries++ {
		time.Sleep(restartInterval)
		err = proxy.Update(restarted)
	}
	return err
}

// Downtime of a minion that a task has crashed.
const (
	minCrashDowntime  = 1500 * time.Millisecond
	crashDowntimeStep = 700 * time.Millisecond
	crashDowntimes    = 4
)

// crashUnderTask crashes the minion of an incarnation that one of its tasks has crashed.
func (deployment *Deployment) crashUnderTask(incarnation *imitator.LeasedMinion) {
	for _, minion := range deployment.Minions {
		minion.mutex.Lock()
		isCurrent := minion.incarnation == incarnation
		minion.mutex.Unlock()
		if isCurrent {
			deployment.Crash(minion, minCrashDowntime+crashDowntimeStep*time.Duration(minion.index%crashDowntimes))
		}
	}
}

// Resize changes the capacity of a minion, which then writes a report.
func (deployment *Deployment) Resize(minion *Minion, accelerators int) {
	minion.mutex.Lock()
	defer minion.mutex.Unlock()
	if minion.down {
		return
	}
	minion.incarnation.Resize(accelerators)
	deployment.register(minion)
}

func (deployment *Deployment) newProxy(name string, upstream netip.AddrPort) (*toxiproxy.Proxy, error) {
	addresses, err := freeAddresses(1)
	if err != nil {
		return nil, err
	}
	proxy := toxiproxy.NewProxy(deployment.proxies, name, addresses[0].String(), upstream.String())
	return proxy, errors.Wrap(proxy.Start(), name)
}

// Impair injects a fault into a proxy for a time. The stream is "upstream" or
// "downstream", so that a fault can affect a single direction.
func (deployment *Deployment) Impair(proxy *toxiproxy.Proxy, kind, stream, attributes string, span time.Duration) {
	name := fmt.Sprintf("fault-%d", deployment.faultCount.Add(1))
	toxic := fmt.Sprintf(`{"name":%q,"type":%q,"stream":%q,"toxicity":1,"attributes":%s}`, name, kind, stream, attributes)
	if _, err := proxy.Toxics.AddToxicJson(strings.NewReader(toxic)); err != nil {
		deployment.Checker.ReportViolation("the soak test could not impair a connection: %v", err)
		return
	}
	time.AfterFunc(span, func() {
		if err := proxy.Toxics.RemoveToxic(context.Background(), name); err != nil {
			deployment.Checker.ReportViolation("the soak test could not restore a connection: %v", err)
		}
	})
}

// Close ends all processes and stand-ins that the deployment has started.
func (deployment *Deployment) Close() {
	for _, node := range deployment.Nodes {
		node.shutDown()
	}
	for _, minion := range deployment.Minions {
		minion.mutex.Lock()
		minion.incarnation.Crash()
		minion.Proxy.Stop()
		minion.mutex.Unlock()
	}
	deployment.Store.CloseClientConnections()
	deployment.Store.Close()
}

// The ports of nodes and proxies lie below the ephemeral port range. Otherwise an outgoing
// connection could use the port of a node that is down, or of a proxy that gets another
// upstream.
const (
	firstPort       = 12000
	portsPerProcess = 400 // for each process of the soak test
	maxProcesses    = 50
)

// lastPort is the port that was last assigned to a node.
var lastPort atomic.Uint32

// checkPidfds makes the runtime check whether the kernel supports descriptors of processes. It
// does so once, before the first start of a process, and forks a process for it without the lock
// of forks.
var checkPidfds = sync.OnceFunc(func() {
	if process, err := os.FindProcess(os.Getpid()); err == nil {
		_ = process.Release() // never fails for a process that was found
	}
})

// isFree reports whether no process listens on an address. No process is forked meanwhile: until
// it executes its program, it would have a copy of the listening socket.
func isFree(address netip.AddrPort) (bool, error) {
	checkPidfds()
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return false, nil
	}
	return true, errors.WithStack(listener.Close())
}

// freeAddresses returns loopback addresses on which no process listens.
func freeAddresses(count int) ([]netip.AddrPort, error) {
	lastPort.CompareAndSwap(0, uint32(firstPort+os.Getpid()%maxProcesses*portsPerProcess))
	var addresses []netip.AddrPort
	for len(addresses) < count {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(lastPort.Add(1)))
		if address.Port() < firstPort {
			return nil, errors.New("no free port for a node")
		}
		free, err := isFree(address)
		if err != nil {
			return nil, err
		}
		if free {
			addresses = append(addresses, address)
		}
	}
	return addresses, nil
}

// writeSettings writes the settings file of a node.
func (deployment *Deployment) writeSettings(name string, addresses []netip.AddrPort, store string) (string, error) {
	settings := map[string]any{
		"nodeName": name, "zone": nodeDomain, "region": region, "zones": deployment.zones(),
		"listen":    map[string]string{"front": addresses[0].String(), "readiness": addresses[1].String()},
		"portRange": []uint16{addresses[2].Port(), addresses[2].Port()},
		"limits":    map[string]any{"cpuShare": 1, "cores": 1, "memoryMb": 256},
		"bounds": map[string]any{
			"graceS": 6, "revokeMs": checker.RevokeBound.Milliseconds(), "maxHoldMs": imitator.MaxLease.Milliseconds(),
			"stopTimeoutMs": 200, "status_s": 600, "reclaimMs": 3000,
			"evacuateMs": checker.EvacuationTime.Milliseconds(),
		},
		"platform": map[string]string{"address": store},
	}
	encoded, err := json.Marshal(settings)
	if err != nil {
		return "", errors.WithStack(err)
	}
	path := filepath.Join(deployment.folder, name+".json")
	return path, errors.WithStack(os.WriteFile(path, encoded, 0o600))
}
