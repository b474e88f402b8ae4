package main

import (
	"net"
	"sync"
	"time"
)

// Proxy forwards connections to an address. While it is cut, it forwards nothing in either
// direction, and neither side sees an end of the connection.
type Proxy struct {
	listener net.Listener
	upstream string

	mutex       sync.Mutex
	healed      chan struct{} // nil while the path is whole
	connections map[net.Conn]bool
}

// NewProxy starts a proxy on a free loopback port.
func NewProxy(upstream string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	proxy := &Proxy{listener: listener, upstream: upstream, connections: make(map[net.Conn]bool)}
	go proxy.run()
	return proxy, nil
}

// Address returns where the proxy listens.
func (proxy *Proxy) Address() string { return proxy.listener.Addr().String() }

func (proxy *Proxy) run() {
	for {
		connection, err := proxy.listener.Accept()
		if err != nil {
			return
		}
		go proxy.serve(connection)
	}
}

func (proxy *Proxy) serve(client net.Conn) {
	proxy.track(client)
	defer proxy.untrack(client)
	proxy.awaitWhole()
	server, err := net.Dial("tcp", proxy.upstream)
	if err != nil {
		return
	}
	proxy.track(server)
	defer proxy.untrack(server)
	done := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{client, server}, {server, client}} {
		go func() {
			proxy.copy(pair[0], pair[1])
			done <- struct{}{}
		}()
	}
	<-done
}

func (proxy *Proxy) copy(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		if err != nil {
			return
		}
		proxy.awaitWhole()
		if _, err := to.Write(buffer[:count]); err != nil {
			return
		}
	}
}

func (proxy *Proxy) awaitWhole() {
	proxy.mutex.Lock()
	healed := proxy.healed
	proxy.mutex.Unlock()
	if healed != nil {
		<-healed
	}
}

func (proxy *Proxy) track(connection net.Conn) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.connections[connection] = true
}

func (proxy *Proxy) untrack(connection net.Conn) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	delete(proxy.connections, connection)
	_ = connection.Close()
}

// Cut interrupts the path for a time. What was held up is lost: the connections of that
// time are closed at its end.
func (proxy *Proxy) Cut(span time.Duration) {
	proxy.mutex.Lock()
	proxy.healed = make(chan struct{})
	proxy.mutex.Unlock()
	time.AfterFunc(span, func() {
		proxy.mutex.Lock()
		defer proxy.mutex.Unlock()
		for connection := range proxy.connections {
			_ = connection.Close()
		}
		close(proxy.healed)
		proxy.healed = nil
	})
}

// IsCut reports whether the path is interrupted.
func (proxy *Proxy) IsCut() bool {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	return proxy.healed != nil
}

// Close ends the proxy and its connections. New connections are refused.
func (proxy *Proxy) Close() {
	_ = proxy.listener.Close()
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	for connection := range proxy.connections {
		_ = connection.Close()
	}
}
