// Package shedder decides which clients are turned away when their connections, bodies
// and decoded jobs would use more than the node has for them. It is a state machine
// without network and clock: package gatekeeper carries out its actions.
package shedder

import (
	"time"

	"corianderroad/identifier"
)

const (
	// slowAfter is the age from which on a transfer's speed is compared with others. The
	// speed of a younger one is not known.
	slowAfter = 500 * time.Millisecond
	// reliefDelay is how long a transfer waits for memory before the largest holder is closed
	// although it is not known to be slow. Most bodies are complete and released by then.
	reliefDelay = 250 * time.Millisecond
	// maxWait is how long a transfer waits for memory before it is refused.
	maxWait = time.Second
	// calmAfter is the time without a closed or refused client after which pressure may end.
	calmAfter = 5 * time.Second
	// calmNumerator and calmDivisor are the part of a limit below which pressure may end.
	calmNumerator, calmDivisor = 3, 4
	// lingeringDivisor is the part of the connection limit up to which closed connections
	// may still have their goroutines while others take their places.
	lingeringDivisor = 8
	// batchDivisor is the part of the connection limit up to which idle connections are
	// closed together, because each search passes through all connections.
	batchDivisor = 32
	// idleAfter is the time without progress after which a connection may be closed
	// together with others.
	idleAfter = time.Second
)

// Connection identifies a connection of a client.
type Connection uint64

// Limits are what all clients of a listener may use together.
type Limits struct {
	// Memory is in bytes. It covers bodies and decoded jobs beyond the first few KiB of
	// each connection, which count as a part of the connection.
	Memory      int64
	Connections int
}

// Sample is what a connection does at present.
type Sample struct {
	// ProgressAt is when bytes were last received or sent.
	ProgressAt time.Time
	// IsBusy means that the node works on a request of the connection: the client waits.
	IsBusy bool
}

// Sampler knows what connections do. It is asked only while clients have to be chosen,
// so that ordinary reads and writes cost no message.
type Sampler interface {
	Sample(connection Connection) Sample
}

// Shedder is the state machine. Only one goroutine may use it.
type Shedder struct {
	limits      Limits
	sampler     Sampler
	connections map[Connection]*client
	groups      map[identifier.Workspace]*group
	held        int64
	// closing counts the closed connections whose goroutines have not ended, releasing
	// is the memory that they still hold.
	closing   int
	releasing int64
	// waiting are the connections that wait for memory, in the order of their requests.
	waiting   []*client
	pressures [resourceCount]pressure
	steppedAt time.Time // of the newest event
	actions   []Action
}

// client is one connection.
type client struct {
	id        Connection
	workspace identifier.Workspace
	held      int64
	// startedAt is when the first memory of the present request was requested.
	startedAt time.Time
	// wanted is the memory that the connection waits for since wantedAt, 0 for none.
	wanted    int64
	wantedAt  time.Time
	isClosing bool
}

// group is what the clients of one workspace use. Clients without a key are a group too.
type group struct {
	members     int
	connections int // members that are not closed
	held        int64
}

// New returns a Shedder without connections.
func New(limits Limits, sampler Sampler) *Shedder {
	return &Shedder{
		limits: limits, sampler: sampler,
		connections: make(map[Connection]*client), groups: make(map[identifier.Workspace]*group),
	}
}

// Step applies an event and returns the actions that follow from it.
func (shedder *Shedder) Step(now time.Time, event Event) []Action {
	shedder.steppedAt, shedder.actions = now, nil
	switch event := event.(type) {
	case Opened:
		shedder.open(now, event.Connection)
	case Identified:
		shedder.identify(event)
	case MemoryRequested:
		shedder.request(now, event)
	case MemoryReleased:
		if client, ok := shedder.connections[event.Connection]; ok {
			shedder.release(client, min(event.Bytes, client.held))
		}
	case Closed:
		shedder.remove(event.Connection)
	}
	shedder.serveWaiting(now)
	shedder.updatePressures(now)
	return shedder.actions
}

// Next returns when the next Tick is required, or the zero time for never.
func (shedder *Shedder) Next() time.Time {
	var next time.Time
	for _, client := range shedder.waiting {
		wait := reliefDelay
		if shedder.steppedAt.Sub(client.wantedAt) >= reliefDelay {
			wait = maxWait
		}
		next = earlier(next, client.wantedAt.Add(wait))
	}
	for index := range shedder.pressures {
		if pressure := &shedder.pressures[index]; pressure.isHigh {
			next = earlier(next, pressure.nextCheck)
		}
	}
	return next
}

func earlier(first, second time.Time) time.Time {
	if first.IsZero() || second.Before(first) {
		return second
	}
	return first
}

// identify records the workspace of a connection, which its first authorized request shows.
func (shedder *Shedder) identify(event Identified) {
	client, ok := shedder.connections[event.Connection]
	if !ok || client.workspace == event.Workspace {
		return
	}
	shedder.leaveGroup(client)
	client.workspace = event.Workspace
	shedder.joinGroup(client)
}

func (shedder *Shedder) joinGroup(client *client) {
	joined, ok := shedder.groups[client.workspace]
	if !ok {
		joined = &group{}
		shedder.groups[client.workspace] = joined
	}
	joined.members++
	if !client.isClosing {
		joined.connections++
	}
	joined.held += client.held
}

func (shedder *Shedder) leaveGroup(client *client) {
	left := shedder.groups[client.workspace]
	left.members--
	if !client.isClosing {
		left.connections--
	}
	left.held -= client.held
	if left.members == 0 {
		delete(shedder.groups, client.workspace)
	}
}

// close closes a connection. It counts until its goroutine has ended.
func (shedder *Shedder) close(now time.Time, client *client, reason Reason) {
	shedder.abandon(client)
	shedder.markClosing(client)
	shedder.actions = append(shedder.actions, Close{client.id, reason})
	shedder.pressures[reason.resource()].begin(now)
}

func (shedder *Shedder) markClosing(client *client) {
	shedder.leaveGroup(client)
	client.isClosing = true
	shedder.joinGroup(client)
	shedder.closing++
	shedder.releasing += client.held
}

// remove forgets a connection whose goroutine has ended.
func (shedder *Shedder) remove(id Connection) {
	client, ok := shedder.connections[id]
	if !ok {
		return
	}
	shedder.abandon(client)
	shedder.release(client, client.held)
	shedder.leaveGroup(client)
	if client.isClosing {
		shedder.closing--
	}
	delete(shedder.connections, id)
}
