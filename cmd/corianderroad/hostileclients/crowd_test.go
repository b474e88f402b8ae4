package hostileclients_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/frankban/quicktest"
)

// attack is what one client of a crowd sends. The text may be large and is shared by the crowd. An
// empty part is a pause.
type attack func(index int) []string

// crowd is a number of connections that stay open until it is dismissed.
type crowd struct {
	cancel context.CancelFunc
	group  sync.WaitGroup
}

const (
	// dialers bounds the connections that are established at the same time.
	dialers = 64
	// clientBufferBytes is the receive buffer of a client that reads nothing.
	clientBufferBytes = 4 << 10
	// sendTimeout ends a write to a process that reads no more.
	sendTimeout = 5 * time.Second
	// pauseTime is the time between two pieces of a body that is sent slowly.
	pauseTime = 10 * time.Millisecond
)

// gather connects a crowd and returns when each of its clients has sent what the
// process took of it within the timeout.
func gather(c *quicktest.C, address netip.AddrPort, size int, attack attack) *crowd {
	ctx, cancel := context.WithCancel(context.Background())
	crowd := &crowd{cancel: cancel}
	c.Cleanup(crowd.dismiss)
	var sending sync.WaitGroup
	slots := make(chan struct{}, dialers)
	for index := range size {
		slots <- struct{}{}
		sending.Add(1)
		crowd.group.Go(func() {
			connection := dial(ctx, address)
			<-slots
			send(connection, attack(index))
			sending.Done()
			<-ctx.Done()
			if connection != nil {
				_ = connection.Close() // the process may have closed it
			}
		})
	}
	sending.Wait()
	return crowd
}

// dismiss closes all connections.
func (crowd *crowd) dismiss() {
	crowd.cancel()
	crowd.group.Wait()
}

// dial connects from a local address of the crowds. It returns nil if the
// process does not accept the connection.
func dial(ctx context.Context, address netip.AddrPort) net.Conn {
	dialer := net.Dialer{Timeout: sendTimeout, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 2)}}
	connection, err := dialer.DialContext(ctx, "tcp4", address.String())
	if err != nil {
		return nil
	}
	_ = connection.(*net.TCPConn).SetReadBuffer(clientBufferBytes) // fails only if the connection is closed
	return connection
}

// send writes as much as the process takes.
func send(connection net.Conn, parts []string) {
	if connection == nil {
		return
	}
	for _, part := range parts {
		if part == "" {
			time.Sleep(pauseTime)
			continue
		}
		_ = connection.SetWriteDeadline(time.Now().Add(sendTimeout)) // fails only if the connection is closed
		if _, err := connection.Write([]byte(part)); err != nil {
			return
		}
	}
}

// post returns the head of a submission with further header lines.
func post(key string, lines ...string) string {
	return fmt.Sprintf("POST /q/%s HTTP/1.1\r\nHost: %s\r\nAuthorization: Token %s\r\n%s\r\n\r\n", newJobID(), host, key, strings.Join(lines, "\r\n"))
}

// sized sends a body with its length.
func sized(key, body string, length int) attack {
	return func(int) []string { return []string{post(key, fmt.Sprintf("Content-Length: %d", length)), body} }
}

// unfinished sends a body whose last byte is missing.
func unfinished(key string) attack { return sized(key, blank(bodyBytes-1), bodyBytes) }

// blank returns white space, which any JSON body may begin with.
func blank(size int) string { return strings.Repeat(" ", size) }

// chunk encodes one chunk of a body without a length.
func chunk(content string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(content), content) }

// chunked sends chunks of a body whose last chunk is missing.
func chunked(key string, size int) attack {
	chunks := strings.Repeat(chunk(blank(size)), (bodyBytes-1)/size)
	return func(int) []string { return []string{post(key, "Transfer-Encoding: chunked"), chunks} }
}
