package hostileclients_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/frankban/quicktest"
)

// queries returns requests for jobs that the node does not have, sent without waiting for
// the answers.
func queries(key string) string {
	const pipelined = 20
	request := strings.TrimRight(strings.Replace(post(key), "POST", "GET", 1), "\r\n") + "\r\n\r\n"
	return strings.Repeat(request, pipelined)
}

// reconnect sends queries on one connection after the other, as soon as one is closed, until
// the context ends.
func reconnect(ctx context.Context, address netip.AddrPort, requests string) {
	for ctx.Err() == nil {
		connection := dial(ctx, address)
		if connection == nil {
			continue
		}
		stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
		read := make(chan struct{})
		go func() {
			_, _ = io.Copy(io.Discard, connection) // ends with the connection
			close(read)
		}()
		for {
			if _, err := io.WriteString(connection, requests); err != nil {
				break
			}
		}
		stop()
		_ = connection.Close() // the process may have closed it
		<-read
	}
}

// besiege lets busy clients of the first key reconnect until the test ends.
func besiege(node *node, clients int) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	node.c.Cleanup(func() {
		cancel()
		group.Wait()
	})
	for range clients {
		group.Go(func() { reconnect(ctx, node.front, queries(firstKey)) })
	}
}

// ordinaryCalls is how many calls of another key must be answered beside the crowd.
const ordinaryCalls = 5

// TestBusyClientsOfOneKeyThatReconnect guards against a key whose busy clients take all
// connections, so that the callers of another key get none.
func TestBusyClientsOfOneKeyThatReconnect(t *testing.T) {
	c := quicktest.New(t)
	node := newNode(c, newStore(c), "n1")
	besiege(node, crowdSize)
	// Whether a new connection is refused or replaces another one depends on how soon closed
	// ones are gone. Both mean that the crowd has all connections.
	node.await("the crowd has all connections", func(ctx context.Context) bool {
		_, metrics := call(ctx, node.metrics, http.MethodGet, "/metrics", "", "")
		return strings.Contains(metrics, `client_connection_pressure{label="clients"} 1`)
	})
	for range ordinaryCalls {
		node.awaitAnswer(secondKey)
	}
	node.checkLimits(node.sampler.awaitSample())
}

// maxAttempts is how often an ordinary call may be turned away by a node whose connections are all
// busy. If these were never closed, 2 of 1,000 attempts would be served, in the moment in which a
// client of the crowd reconnects.
const maxAttempts = 10

var connectionLimit = regexp.MustCompile(`client_connections_limit\{label="clients"\} (\d+)`)

// TestBusyClientsThatHoldAllConnections guards against a key whose busy clients, as many as the
// node has connections, keep all of them, so that another key's callers are refused.
func TestBusyClientsThatHoldAllConnections(t *testing.T) {
	c := quicktest.New(t)
	node := newNode(c, newStore(c), "n1")
	_, metrics := call(t.Context(), node.metrics, http.MethodGet, "/metrics", "", "")
	found := connectionLimit.FindStringSubmatch(metrics)
	c.Assert(found, quicktest.HasLen, 2)
	limit, err := strconv.Atoi(found[1])
	c.Assert(err, quicktest.IsNil)
	besiege(node, limit)
	node.await("the crowd has all connections", func(ctx context.Context) bool {
		_, metrics := call(ctx, node.metrics, http.MethodGet, "/metrics", "", "")
		return strings.Contains(metrics, fmt.Sprintf(`client_connections{label="clients"} %d`, limit))
	})
	for range 4 * ordinaryCalls {
		c.Check(node.awaitAnswer(secondKey) <= maxAttempts, quicktest.IsTrue)
	}
	node.checkLimits(node.sampler.awaitSample())
}
