package lister_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/lister"
	"corianderroad/messenger"
	"corianderroad/throttler"
)

// countingReceiver counts the lists that a node receives.
type countingReceiver struct {
	mutex sync.Mutex
	lists int
}

func (receiver *countingReceiver) Deliver(context.Context, messenger.Event) error {
	receiver.mutex.Lock()
	defer receiver.mutex.Unlock()
	receiver.lists++
	return nil
}

func (receiver *countingReceiver) CountPoll(string) {}

func (receiver *countingReceiver) RefuseEntry(string, error) {}

// TestLongListReachesAllNodesOverNarrowLink guards against nodes that give up the VM
// list half-way and request it again, all of them at once and for ever.
func TestLongListReachesAllNodesOverNarrowLink(t *testing.T) {
	const (
		nodes          = 17
		vms            = 5500           // workers, minions and entry VMs
		bytesPerSecond = 60_000_000 / 8 // the link between two regions
	)
	var entries []string
	for number := range vms {
		entries = append(entries, fmt.Sprintf(`{"name":"w-%d","role":"worker","address":"10.0.0.1:7001","region":"%s"}`, number, strings.Repeat("r", 230)))
	}
	list := `{"vms":[` + strings.Join(entries, ",") + `]}`
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		link := throttler.New(bytesPerSecond)
		server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			_, _ = writer.Write([]byte(list))
		})}
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		group.Go(func() { _ = server.Serve(link) })
		transport := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return link.Dial(ctx, netip.AddrPort{})
		}}
		receivers := make([]countingReceiver, nodes)
		for index := range receivers {
			node := lister.New(&http.Client{Transport: transport}, "http://10.0.0.1:80", &receivers[index], &receivers[index])
			group.Go(func() { _ = node.Run(ctx) })
		}
		time.Sleep(20 * time.Second)
		missing := 0
		for index := range receivers {
			receivers[index].mutex.Lock()
			if receivers[index].lists == 0 {
				missing++
			}
			receivers[index].mutex.Unlock()
		}
		cancel()
		_ = server.Close()
		transport.CloseIdleConnections()
		group.Wait()
		time.Sleep(time.Second) // the segments that wait for the link
		c.Assert(missing, quicktest.Equals, 0, quicktest.Commentf("nodes without a list of %d bytes", len(list)))
	})
}
