// Package reloader receives the signals that ask a process to read its settings again.
//
// It imports only the standard library, so that it is initialized before the packages of other
// modules that need long: together they take some 60 ms, in which a SIGHUP without a receiver
// would end the process.
package reloader

import (
	"os"
	"os/signal"
	"syscall"
)

var requests = receive()

func receive() chan os.Signal {
	requests := make(chan os.Signal, 1)
	signal.Notify(requests, syscall.SIGHUP)
	return requests
}

// Requests returns the channel of the requests. One that arrived since the start of the process
// is kept until it is received.
func Requests() <-chan os.Signal { return requests }

// Stop gives SIGHUP its default effect, which ends the process.
func Stop() { signal.Stop(requests) }
