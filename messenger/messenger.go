// Package messenger declares the messages between duties: events, the inputs
// of decision machines; actions, their outputs; peer messages, which cross
// between nodes; and records, which the log keeps. All are plain values that
// know no encoding. A message is never changed after it was sent.
package messenger

// Event is an input of a decision machine.
type Event interface{ event() }

// Action is an output of a decision machine.
type Action interface{ action() }

// Peer is a message from a machine of one node to the same machine of another.
type Peer interface{ peer() }

// Record is an entry of the platform's log.
type Record interface{ record() }

// Tick tells a machine that the time it asked for by Next has come.
type Tick struct{}

func (Tick) event() {}
