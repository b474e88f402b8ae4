package stager

import (
	"net"
	"net/netip"
	"os/exec"
	"testing"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/frankban/quicktest"
	"github.com/rs/zerolog"
)

// TestFreeAddressesStayFreeBesideStarts guards against a soak that can't start because an
// address is in use: a process that was just forked has a copy of the socket that found the
// address free, until it executes its program.
func TestFreeAddressesStayFreeBesideStarts(t *testing.T) {
	const tries = 100
	c := quicktest.New(t)
	startProcesses(c)
	for range tries {
		addresses, err := freeAddresses(1)
		c.Assert(err, quicktest.IsNil)
		listener, err := net.Listen("tcp", addresses[0].String())
		c.Assert(err, quicktest.IsNil)
		c.Assert(listener.Close(), quicktest.IsNil)
	}
}

// TestProxyRestartsBesideStarts guards against a minion that stays down because the address of its
// proxy is in use: a process that was just forked has a copy of the proxy's listening socket.
func TestProxyRestartsBesideStarts(t *testing.T) {
	const restarts = 300
	c := quicktest.New(t)
	addresses, err := freeAddresses(2)
	c.Assert(err, quicktest.IsNil)
	proxies := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	proxy := toxiproxy.NewProxy(proxies, "minion", addresses[0].String(), addresses[1].String())
	c.Assert(proxy.Start(), quicktest.IsNil)
	c.Cleanup(proxy.Stop)
	startProcesses(c)
	for restart := range restarts {
		upstream := netip.AddrPortFrom(addresses[1].Addr(), uint16(1+restart))
		c.Assert(redirect(proxy, upstream), quicktest.IsNil)
	}
}

// startProcesses starts processes one after the other until the test ends.
func startProcesses(c *quicktest.C) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-done:
				return
			default:
				_ = exec.Command("true").Run() // only its start matters
			}
		}
	}()
	c.Cleanup(func() {
		close(done)
		<-ended
	})
}
