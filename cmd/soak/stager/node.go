package stager

import (
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/pkg/errors"

	"corianderroad/platform"
)

// Node is an entry VM: a process that is restarted whenever it ends.
type Node struct {
	Name string
	// ClientAddress serves the calls of clients, ReadinessAddress the health checks, and
	// MetricsAddress the queries of operators.
	ClientAddress, ReadinessAddress, MetricsAddress netip.AddrPort
	// StoreProxy is the proxy between the node and the store.
	StoreProxy *toxiproxy.Proxy

	deployment *Deployment
	binary     string
	settings   string

	mutex   sync.Mutex
	process *os.Process
	closed  bool
	// disturbedAt is when the process was last sent a signal other than SIGHUP, and other than
	// SIGTERM while it was stopping.
	disturbedAt time.Time
	// stoppingSince is when the process was first sent SIGTERM, zero if it was not.
	stoppingSince time.Time
	ended         chan struct{}
}

// restartDelay is the time between the end of a process and its next start.
const restartDelay = 300 * time.Millisecond

func (deployment *Deployment) newNode(binary string, index int) (*Node, error) {
	node := &Node{Name: fmt.Sprintf("n%d", index), deployment: deployment, binary: binary, ended: make(chan struct{})}
	proxy, err := deployment.newProxy("store-of-"+node.Name, deployment.Store.Address())
	if err != nil {
		return nil, err
	}
	node.StoreProxy = proxy
	addresses, err := freeAddresses(3)
	if err != nil {
		return nil, err
	}
	node.ClientAddress, node.ReadinessAddress, node.MetricsAddress = addresses[0], addresses[1], addresses[2]
	if node.settings, err = deployment.writeSettings(node.Name, addresses, proxy.Listen); err != nil {
		return nil, err
	}
	output, err := os.Create(filepath.Join(deployment.folder, node.Name+".log"))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	go node.run(output)
	return node, nil
}

// run restarts the process whenever it ends, until the deployment is closed.
func (node *Node) run(output *os.File) {
	defer close(node.ended)
	defer output.Close() //nolint:errcheck // it is only the log of a test run
	for {
		command := exec.Command(node.binary, "enter", "-gang-reservations", "-loss-aware-stops", "-minion-profiles", "-urgent-headroom", "-early-refusals")
		command.Env = append(os.Environ(), platform.SettingsVariable+"="+node.settings)
		command.Stdout, command.Stderr = output, output
		node.mutex.Lock()
		if node.closed {
			node.mutex.Unlock()
			return
		}
		err := command.Start()
		node.process, node.stoppingSince = command.Process, time.Time{}
		node.mutex.Unlock()
		if err != nil {
			node.deployment.Checker.ReportViolation("node %s does not start: %v", node.Name, err)
			return
		}
		err = command.Wait()
		node.checkExit(err)
		time.Sleep(restartDelay)
	}
}

// checkExit records a violation if the process failed without a signal from this
// test.
func (node *Node) checkExit(err error) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	if err != nil && !node.closed && time.Since(node.disturbedAt) > gracePeriod {
		node.deployment.Checker.ReportViolation("node %s has ended without a signal: %v", node.Name, err)
	}
	node.process = nil
}

// gracePeriod is the time that the settings allow a process to stop.
const gracePeriod = 6 * time.Second

// StopsGracefully reports whether the process was sent SIGTERM before the given time
// and no other signal than SIGHUP since.
func (node *Node) StopsGracefully(at time.Time) bool {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return !node.stoppingSince.IsZero() && node.stoppingSince.Before(at) && !node.disturbedAt.After(node.stoppingSince)
}

// Signal sends a signal to the process, if there is one.
func (node *Node) Signal(signal syscall.Signal) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	if node.process == nil {
		return
	}
	isRepeatedStop := signal == syscall.SIGTERM && !node.stoppingSince.IsZero()
	if signal != syscall.SIGHUP && !isRepeatedStop {
		node.disturbedAt = time.Now()
	}
	if signal == syscall.SIGTERM && !isRepeatedStop {
		node.stoppingSince = node.disturbedAt
	}
	if err := node.process.Signal(signal); err != nil {
		node.deployment.Checker.Increment("signals that came too late")
	}
}

// Terminate sends SIGTERM to the process, and kills it after the grace period.
func (node *Node) Terminate() {
	node.Signal(syscall.SIGTERM)
	node.mutex.Lock()
	process := node.process
	node.mutex.Unlock()
	time.AfterFunc(gracePeriod, func() {
		node.mutex.Lock()
		defer node.mutex.Unlock()
		if process != nil && node.process == process {
			node.deployment.Checker.Increment("stops that outlasted the grace period")
			_ = process.Kill() // the process may have ended already
		}
	})
}

// shutDown kills the process and prevents its restart.
func (node *Node) shutDown() {
	node.mutex.Lock()
	node.closed = true
	if node.process != nil {
		_ = node.process.Kill() // the process may have ended already
	}
	node.mutex.Unlock()
	<-node.ended
	node.StoreProxy.Stop()
}
