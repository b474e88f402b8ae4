// Package messenger declares the messages between duties: events, the inputs
// of decision state machines; actions, their outputs; peer messages, which are
// sent between nodes; and records, which the log stores. All are plain values,
// independent of any encoding. A message is immutable once it has been sent.
package messenger

// Event is an input of a decision state machine.
type Event interface{ event() }

// Action is an output of a decision state machine.
type Action interface{ action() }

// Peer is a message from a state machine of one node to the same state machine
// of another node.
type Peer interface{ peer() }

// Record is an entry of the platform's log.
type Record interface{ record() }

// Tick is sent to a state machine at the time that its Next returned.
type Tick struct{}

func (Tick) event() {}
