package gatekeeper_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/gatekeeper"
	"corianderroad/shedder"
)

// serve serves requests whose bodies are read, and returns the address.
func serve(c *quicktest.C) (netip.AddrPort, *counter) {
	_, listener, counter, _ := start(c, shedder.Limits{Memory: 1 << 20, Connections: 64})
	server := &http.Server{ConnContext: gatekeeper.ConnContext, ConnState: gatekeeper.ConnState, ReadHeaderTimeout: testTimeout, Handler: gatekeeper.LimitHeaders(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body) // the client checks the status only
	}))}
	ended := make(chan struct{})
	go func() {
		_ = server.Serve(listener) // ends with Close
		close(ended)
	}()
	c.Cleanup(func() {
		_ = server.Close() // connections may be open
		<-ended
	})
	return listener.Addr().(*net.TCPAddr).AddrPort(), counter
}

// exchange sends requests in one write, and returns the status of each answer until the
// connection ends.
func exchange(c *quicktest.C, address netip.AddrPort, requests string) []int {
	client, err := net.Dial("tcp", address.String())
	c.Assert(err, quicktest.IsNil)
	defer client.Close() //nolint:errcheck // the server may have closed it
	c.Assert(client.SetDeadline(time.Now().Add(testTimeout)), quicktest.IsNil)
	_, err = io.WriteString(client, requests)
	c.Assert(err, quicktest.IsNil)
	var statuses []int
	for reader := bufio.NewReader(client); ; {
		answer, err := http.ReadResponse(reader, nil)
		if err != nil {
			return statuses
		}
		_, _ = io.Copy(io.Discard, answer.Body) // the next answer follows it
		statuses = append(statuses, answer.StatusCode)
	}
}

// post returns a request with many header lines.
func post(count, bodyBytes int, line string) string {
	var request strings.Builder
	request.WriteString("POST / HTTP/1.1\r\nHost: h\r\n")
	for number := range count {
		fmt.Fprintf(&request, "x%d:%s\r\n", number, line)
	}
	fmt.Fprintf(&request, "Content-Length: %d\r\n\r\n%s", bodyBytes, strings.Repeat("\n", bodyBytes))
	return request.String()
}

// last ends a connection after its answer.
const last = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"

// TestOrdinaryHeadersAreRead guards against a limit of header lines that counts those of
// other requests, lines of bodies, or the size of a header.
func TestOrdinaryHeadersAreRead(t *testing.T) {
	c := quicktest.New(t)
	address, counter := serve(c)
	c.Assert(exchange(c, address, post(250, 20_000, "")+post(250, 20_000, "")+last), quicktest.DeepEquals, []int{200, 200, 200})
	c.Assert(exchange(c, address, post(200, 1000, strings.Repeat("v", 70))+"\r\n"+post(200, 1000, "v")+last), quicktest.DeepEquals, []int{200, 200, 200})
	c.Assert(exchange(c, address, strings.Repeat(last[:len(last)-len("Connection: close\r\n\r\n")]+"\r\n", 500)+last), quicktest.HasLen, 501)
	c.Assert(exchange(c, address, "GET / HTTP/1.0\r\n\r\n"), quicktest.DeepEquals, []int{200})
	c.Assert(counter.shed.Load(), quicktest.Equals, int64(0))
}

// allowedLongHeaders is the number of long headers that a listener admits at a time.
const allowedLongHeaders = 16

// occupy lets clients keep unfinished headers of a number of lines open until the test ends.
func occupy(c *quicktest.C, address netip.AddrPort, clients, lines int) {
	for range clients {
		client, err := net.Dial("tcp", address.String())
		c.Assert(err, quicktest.IsNil)
		c.Cleanup(func() { _ = client.Close() }) // the server may have closed it
		_, err = io.WriteString(client, strings.TrimSuffix(post(lines, 0, ""), "\r\n"))
		c.Assert(err, quicktest.IsNil)
	}
}

// TestLongHeadersAreServedInCalm guards against a limit that refuses a single client whose
// header is within the limit of its size, also after many others.
func TestLongHeadersAreServedInCalm(t *testing.T) {
	c := quicktest.New(t)
	address, counter := serve(c)
	for range 2 * allowedLongHeaders {
		c.Assert(exchange(c, address, post(1500, 0, "")+post(400, 10, "")+last), quicktest.DeepEquals, []int{200, 200, 200})
	}
	c.Assert(counter.shed.Load(), quicktest.Equals, int64(0))
}

// TestManyLongHeadersAreRefused guards against short header lines, each of which needs many
// times its size when it is decoded.
func TestManyLongHeadersAreRefused(t *testing.T) {
	c := quicktest.New(t)
	address, counter := serve(c)
	occupy(c, address, allowedLongHeaders+8, 1500)
	for counter.shed.Load() < 8 {
		time.Sleep(time.Millisecond)
	}
	c.Assert(exchange(c, address, post(1500, 0, "")), quicktest.Not(quicktest.Contains), 200)
	c.Assert(exchange(c, address, post(200, 0, "")+last), quicktest.DeepEquals, []int{200, 200})
}

// TestRefusedLongHeaderIsNoBadRequest guards against an answer that calls a request within the limits
// malformed, so that its client does not try again: the connection ends without an answer.
func TestRefusedLongHeaderIsNoBadRequest(t *testing.T) {
	c := quicktest.New(t)
	address, counter := serve(c)
	occupy(c, address, allowedLongHeaders+1, 1500)
	for counter.shed.Load() < 1 {
		time.Sleep(time.Millisecond)
	}
	c.Assert(exchange(c, address, post(1500, 0, "")), quicktest.HasLen, 0)
}

// TestLinesBehindARequestAreCounted guards against header lines that are not counted because
// they are read together with an earlier request.
func TestLinesBehindARequestAreCounted(t *testing.T) {
	c := quicktest.New(t)
	address, counter := serve(c)
	occupy(c, address, allowedLongHeaders+1, 1500)
	for counter.shed.Load() < 1 {
		time.Sleep(time.Millisecond)
	}
	c.Assert(exchange(c, address, post(1, 0, "")+post(400, 10, "")), quicktest.DeepEquals, []int{200, 503})
}
