package gatekeeper_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/frankban/quicktest"

	"corianderroad/gatekeeper"
	"corianderroad/shedder"
)

// readListener reports how many bytes each read of its connections has got.
type readListener struct {
	net.Listener
	reads chan int
}

func (listener readListener) Accept() (net.Conn, error) {
	accepted, err := listener.Listener.Accept()
	return readConn{accepted, listener.reads}, err
}

type readConn struct {
	net.Conn
	reads chan int
}

func (conn readConn) Read(target []byte) (int, error) {
	count, err := conn.Conn.Read(target)
	if err == nil {
		conn.reads <- count
	}
	return count, err
}

// TestWorkEndsWithItsConnection guards against work on the request of a closed connection that
// goes on and keeps its place, because the client had already sent more and the server does
// not notice the end.
func TestWorkEndsWithItsConnection(t *testing.T) {
	c := quicktest.New(t)
	keeper, inner, _, _ := start(c, shedder.Limits{Memory: 1 << 20, Connections: 1})
	reads := make(chan int, 16)
	listener := keeper.NewListener(readListener{inner.Listener, reads}, testTimeout)
	begun, ended := make(chan struct{}, 2), make(chan struct{}, 2)
	server := &http.Server{ConnContext: gatekeeper.ConnContext, ConnState: gatekeeper.ConnState, ReadHeaderTimeout: testTimeout, Handler: http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		gatekeeper.FromContext(request.Context()).SetBusy(true)
		begun <- struct{}{}
		<-request.Context().Done()
		ended <- struct{}{}
	})}
	served := make(chan struct{})
	go func() {
		_ = server.Serve(listener) // ends with Close
		close(served)
	}()
	c.Cleanup(func() {
		_ = server.Close() // connections may be open
		<-served
	})
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	for range 2 {
		client, err := net.Dial("tcp", listener.Addr().String())
		c.Assert(err, quicktest.IsNil)
		c.Cleanup(func() { _ = client.Close() }) // the server may have closed it
		_, err = io.WriteString(client, request)
		c.Assert(err, quicktest.IsNil)
		<-begun
		_, err = io.WriteString(client, request) // the server reads its first byte, and then no more
		c.Assert(err, quicktest.IsNil)
		for unread := len(request) + 1; unread > 0; {
			unread -= <-reads
		}
	}
	<-ended
}
