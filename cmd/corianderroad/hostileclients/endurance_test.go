package hostileclients_test

import (
	"context"
	"io"
	"net/netip"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// crowdTime is how long a crowd stays.
var crowdTime = time.Duration(limit("HOSTILE_SECONDS", 20)) * time.Second

// leftOpen is by how many descriptors a process may exceed those that it had before a crowd: its
// idle connections to the store and to minions come and go.
const leftOpen = 20

// comeBack sends an attack on one connection after the other until the context ends. It keeps each
// open until the process closes it.
func comeBack(ctx context.Context, address netip.AddrPort, attack attack, index int) {
	for ctx.Err() == nil {
		connection := dial(ctx, address)
		if connection == nil {
			continue
		}
		stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
		send(connection, attack(index))
		_, _ = io.Copy(io.Discard, connection) // ends with the connection
		stop()
		_ = connection.Close() // the process may have closed it
	}
}

// TestCrowdThatLasts guards against memory and descriptors that grow with the time for which a
// crowd comes back, and against a process that keeps something when it has gone.
func TestCrowdThatLasts(t *testing.T) {
	c := quicktest.New(t)
	node := newNode(c, newStore(c), "n1")
	node.awaitCompletedJob(firstKey)
	before := node.openFiles()
	ctx, cancel := context.WithTimeout(context.Background(), crowdTime)
	defer cancel()
	var clients sync.WaitGroup
	attack := mixed()
	for index := range crowdSize {
		clients.Go(func() { comeBack(ctx, node.front, attack, index) })
	}
	for ctx.Err() == nil {
		node.awaitAnswer(firstKey)
		node.awaitAnswer(secondKey)
		node.checkLimits(node.sampler.awaitSample())
		wait(ctx, time.Second)
	}
	clients.Wait()
	node.awaitAnswer(firstKey)
	node.await("the descriptors of the crowd are closed", func(context.Context) bool { return node.openFiles() <= before+leftOpen })
	node.checkLimits(node.sampler.awaitSample())
}

// wait waits for a time or until the context ends.
func wait(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

// openFiles returns the number of descriptors that the process has.
func (node *node) openFiles() int {
	files, err := os.ReadDir(descriptorsOf(node.command.Process.Pid))
	node.c.Assert(err, quicktest.IsNil)
	return len(files)
}
