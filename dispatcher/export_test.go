package dispatcher

import (
	"bytes"
	"context"
	"net"
)

// SetDialer replaces how the dispatcher connects to minions. It must be called before Run.
func (dispatcher *Dispatcher) SetDialer(dial func(ctx context.Context) (net.Conn, error)) {
	dispatcher.transport.DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) { return dial(ctx) }
}

// DecodeSlots returns the counts in a minion's answer, for the fuzz target.
func DecodeSlots(content []byte) (slots, busy int, err error) {
	body, err := decodeSlots(bytes.NewReader(content))
	return body.Slots, body.Busy, err
}
