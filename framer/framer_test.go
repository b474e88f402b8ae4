package framer_test

import (
	"bytes"
	"net"
	"net/netip"
	"testing"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"corianderroad/classifier"
	"corianderroad/encoder"
	"corianderroad/framer"
	"corianderroad/identifier"
)

// TestFramesRoundTrip guards against frames whose borders are lost in the
// stream, and against a cut that passes for a whole frame.
func TestFramesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var wire bytes.Buffer
		var frames []framer.Frame
		for range rapid.IntRange(1, 5).Draw(t, "frames") {
			frame := framer.Frame{
				Kind: framer.Kind(rapid.IntRange(int(framer.Hello), int(framer.KeepAliveAnswer)).Draw(t, "kind")),
				Body: bytes.Repeat([]byte{7}, rapid.IntRange(0, 200_000).Draw(t, "size")),
			}
			frames = append(frames, frame)
			if err := framer.Write(&wire, frame); err != nil {
				t.Fatalf("write: %v", err)
			}
		}
		cut := wire.Len() - rapid.IntRange(1, 4).Draw(t, "cut")
		short := bytes.NewReader(bytes.Clone(wire.Bytes()[:cut]))
		for index, frame := range frames {
			got, err := framer.Read(&wire)
			if err != nil || got.Kind != frame.Kind || !bytes.Equal(got.Body, frame.Body) {
				t.Fatalf("frame %d: kind %d with %d bytes, error %v", index, got.Kind, len(got.Body), err)
			}
			if _, err := framer.Read(short); (err == nil) != (index < len(frames)-1) {
				t.Fatalf("frame %d of a cut stream: %v", index, err)
			}
		}
	})
}

// TestSizeIsBounded guards against frames beyond 1 MiB in either direction, and
// against frames of no known kind.
func TestSizeIsBounded(t *testing.T) {
	c := quicktest.New(t)
	var wire bytes.Buffer
	largest := framer.Frame{Kind: framer.Message, Body: make([]byte, framer.MaxFrame-1)}
	c.Assert(framer.Write(&wire, largest), quicktest.IsNil)
	_, err := framer.Read(&wire)
	c.Assert(err, quicktest.IsNil)
	largest.Body = append(largest.Body, 0)
	c.Assert(classifier.CodeOf(framer.Write(&wire, largest)), quicktest.Equals, classifier.BadFrame)
	for _, wire := range [][]byte{{0, 0x10, 0, 1, byte(framer.Message)}, {0, 0, 0, 0, 1}, {0, 0, 0, 1, 0}, {0, 0, 0, 1, 9}} {
		_, err = framer.Read(bytes.NewReader(wire))
		c.Assert(classifier.CodeOf(err), quicktest.Equals, classifier.BadFrame, quicktest.Commentf("%v", wire))
	}
}

// FuzzRead guards against bytes of a stranger that end the process or make it
// hold more than was sent.
func FuzzRead(f *testing.F) {
	f.Add([]byte{0, 0, 0, 3, byte(framer.Message), 1, 2})
	f.Add([]byte{0, 0x0f, 0xff, 0xff, byte(framer.Query)})
	key := newKey(f, 1)
	f.Fuzz(func(t *testing.T, wire []byte) {
		frame, err := framer.Read(bytes.NewReader(wire))
		if err == nil && len(frame.Body)+framer.Overhead > len(wire) {
			t.Fatalf("a body of %d bytes from %d bytes", len(frame.Body), len(wire))
		}
		accepted, _, err := framer.Accept(&exchange{reader: bytes.NewReader(wire)}, key, endpoint("b"))
		if err == nil {
			t.Fatalf("node %q passed the handshake without the key", accepted.Node)
		}
	})
}

// exchange reads from a record and swallows what is written.
type exchange struct {
	reader  *bytes.Reader
	written bytes.Buffer
}

func (exchange *exchange) Read(data []byte) (int, error)  { return exchange.reader.Read(data) }
func (exchange *exchange) Write(data []byte) (int, error) { return exchange.written.Write(data) }

func newKey(t testing.TB, secret byte) framer.Key {
	key, err := framer.NewKey(bytes.Repeat([]byte{secret}, 32))
	quicktest.Assert(t, err, quicktest.IsNil)
	return key
}

func endpoint(node string) framer.Endpoint {
	return framer.Endpoint{Node: identifier.Node(node), Address: netip.MustParseAddrPort("127.0.0.1:7000"), Region: "gulf"}
}

type result struct {
	endpoint framer.Endpoint
	purpose  framer.Purpose
	err      error
}

// shake performs a handshake between two keys. What the dialling side writes
// passes through tamper.
func shake(dialling, accepting framer.Key, tamper func(frame int, wire []byte)) (dialled, accepted result) {
	near, far := net.Pipe()
	results := make(chan result, 1)
	go func() {
		other, purpose, err := framer.Accept(far, accepting, endpoint("b"))
		_ = far.Close()
		results <- result{other, purpose, err}
	}()
	other, err := framer.Dial(&tampered{Conn: near, tamper: tamper}, dialling, endpoint("a"), framer.Queries)
	_ = near.Close()
	return result{endpoint: other, err: err}, <-results
}

type tampered struct {
	net.Conn
	tamper func(frame int, wire []byte)
	frame  int
}

func (tampered *tampered) Write(data []byte) (int, error) {
	if tampered.tamper != nil {
		tampered.tamper(tampered.frame, data)
	}
	tampered.frame++
	return tampered.Conn.Write(data)
}

// TestHandshakeNamesBothSides guards against a side that takes the other for
// another node.
func TestHandshakeNamesBothSides(t *testing.T) {
	c := quicktest.New(t)
	dialled, accepted := shake(newKey(t, 1), newKey(t, 1), nil)
	c.Assert(dialled.err, quicktest.IsNil)
	c.Assert(accepted.err, quicktest.IsNil)
	c.Check(dialled.endpoint, quicktest.Equals, framer.Endpoint{Node: "b", Region: "gulf"})
	c.Check(accepted.endpoint, quicktest.Equals, endpoint("a"))
	c.Check(accepted.purpose, quicktest.Equals, framer.Queries)
}

// TestHandshakeNeedsTheKey guards against a stranger that is accepted.
func TestHandshakeNeedsTheKey(t *testing.T) {
	c := quicktest.New(t)
	dialled, accepted := shake(newKey(t, 1), newKey(t, 2), nil)
	c.Check(classifier.CodeOf(dialled.err), quicktest.Equals, classifier.BadSharedKey)
	c.Check(accepted.err, quicktest.IsNotNil)
	_, err := framer.NewKey(make([]byte, 31))
	c.Check(classifier.CodeOf(err), quicktest.Equals, classifier.BadSharedKey)
}

// TestHandshakeCoversEveryByte guards against a name, purpose or proof that can
// be changed on the way, and against a record that is played back.
func TestHandshakeCoversEveryByte(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		frame, position := rapid.IntRange(0, 1).Draw(rt, "frame"), rapid.IntRange(0, 400).Draw(rt, "position")
		dialled, accepted := shake(newKey(t, 1), newKey(t, 1), func(at int, wire []byte) {
			if at == frame {
				wire[framer.Overhead+position%(len(wire)-framer.Overhead)] ^= 1
			}
		})
		if dialled.err == nil && accepted.err == nil {
			rt.Fatalf("byte %d of frame %d is not covered", position, frame)
		}
	})
	_, accepted := shake(newKey(t, 1), newKey(t, 1), func(at int, wire []byte) {
		if at == 0 {
			// The purpose is the last byte.
			wire[len(wire)-1] = byte(framer.Messages)
		}
	})
	quicktest.Assert(t, accepted.err, quicktest.IsNotNil)
	var record bytes.Buffer
	dialled, _ := shake(newKey(t, 1), newKey(t, 1), func(_ int, wire []byte) { _, _ = record.Write(wire) })
	quicktest.Assert(t, dialled.err, quicktest.IsNil)
	_, _, err := framer.Accept(&exchange{reader: bytes.NewReader(record.Bytes())}, newKey(t, 1), endpoint("b"))
	quicktest.Assert(t, classifier.CodeOf(err), quicktest.Equals, classifier.BadSharedKey)
}

// TestProofCanNotBeReturned guards against a stranger that sends the proof of
// the accepting side back as its own.
func TestProofCanNotBeReturned(t *testing.T) {
	c := quicktest.New(t)
	near, far := net.Pipe()
	failure := make(chan error, 1)
	go func() {
		_, _, err := framer.Accept(far, newKey(t, 1), endpoint("b"))
		failure <- err
	}()
	address, err := endpoint("a").Address.MarshalBinary()
	c.Assert(err, quicktest.IsNil)
	hello := encoder.WireHello{Node: "a", Address: address, Nonce: make([]byte, 32), Purpose: uint8(framer.Messages)}
	body, err := hello.MarshalMsg(nil)
	c.Assert(err, quicktest.IsNil)
	c.Assert(framer.Write(near, framer.Frame{Kind: framer.Hello, Body: body}), quicktest.IsNil)
	frame, err := framer.Read(near)
	c.Assert(err, quicktest.IsNil)
	var challenge encoder.WireChallenge
	_, err = challenge.UnmarshalMsg(frame.Body)
	c.Assert(err, quicktest.IsNil)
	proof := encoder.WireProof{Proof: challenge.Proof}
	body, err = proof.MarshalMsg(nil)
	c.Assert(err, quicktest.IsNil)
	c.Assert(framer.Write(near, framer.Frame{Kind: framer.Proof, Body: body}), quicktest.IsNil)
	c.Assert(classifier.CodeOf(<-failure), quicktest.Equals, classifier.BadSharedKey)
}
