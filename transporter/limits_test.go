package transporter_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/frankban/quicktest"

	"corianderroad/encoder"
	"corianderroad/framer"
	"corianderroad/messenger"
)

// TestInvalidMessageIsRefusedAlone guards against one message of a later build, or a
// corrupt one, that ends the connection together with the messages behind it.
func TestInvalidMessageIsRefusedAlone(t *testing.T) {
	run(t, func(c *quicktest.C, network *network, first, second *node) {
		connection, err := network.Dial(context.Background(), second.identity.Address)
		c.Assert(err, quicktest.IsNil)
		self := framer.Endpoint{Node: first.identity.Node, Address: first.identity.Address, Region: first.identity.Region}
		_, err = framer.Dial(connection, newKey(1), self, framer.Messages)
		c.Assert(err, quicktest.IsNil)
		valid, err := encoder.MarshalPeer(messenger.Probe{
			Sequence: 7, From: messenger.Member{Identity: first.identity, State: messenger.Alive},
		})
		c.Assert(err, quicktest.IsNil)
		bodies := [][]byte{valid, []byte("\x81\xa5other\x80"), []byte("text"), nil, valid[:len(valid)-1], valid}
		for _, body := range bodies {
			c.Assert(framer.Write(connection, framer.Frame{Kind: framer.Message, Body: body}), quicktest.IsNil)
		}
		synctest.Wait()
		received, _ := second.drainEvents()
		c.Assert(received, quicktest.DeepEquals, []uint64{7, 7})
		c.Assert(second.refusedCount(), quicktest.Equals, 4)
		c.Assert(second.closedCount("bad-frame"), quicktest.Equals, 0)
	})
}
