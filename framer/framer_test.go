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

// TestFramesRoundTrip guards against lost frame boundaries in the stream, and
// against a truncated frame that is read as a complete one.
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
				t.Fatalf("frame %d of a truncated stream: %v", index, err)
			}
		}
	})
}

// TestSizeIsBounded guards against frames beyond 1 MiB in either direction, and
// against frames of unknown kind.
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

// FuzzRead guards against input of an unauthenticated peer that ends the process,
// makes it allocate more than was sent, or passes the handshake.
func FuzzRead(f *testing.F) {
	f.Add([]byte{0, 0, 0, 3, byte(framer.Message), 1, 2})
	f.Add([]byte{0, 0x0f, 0xff, 0xff, byte(framer.Query)})
	key := newKey(f, 1)
	f.Fuzz(func(t *testing.T, wire []byte) {
		frame, err := framer.Read(bytes.NewReader(wire))
		if err == nil && len(frame.Body)+framer.Overhead > len(wire) {
			t.Fatalf("read a body of %d bytes from an input of %d bytes", len(frame.Body), len(wire))
		}
		accepted, _, err := framer.Accept(&fakeConn{reader: bytes.NewReader(wire)}, key, endpoint("b"))
		if err == nil {
			t.Fatalf("node %q passed the handshake without the key", accepted.Node)
		}
	})
}

// fakeConn is a connection that reads a fixed input and discards the answers.
type fakeConn struct {
	reader  *bytes.Reader
	written bytes.Buffer
}

func (fakeConn *fakeConn) Read(data []byte) (int, error)  { return fakeConn.reader.Read(data) }
func (fakeConn *fakeConn) Write(data []byte) (int, error) { return fakeConn.written.Write(data) }

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

// handshake performs a handshake between sides with the given keys. Each frame of
// the dialling side passes through tamper.
func handshake(dialling, accepting framer.Key, tamper func(frame int, wire []byte)) (dialled, accepted result) {
	near, far := net.Pipe()
	results := make(chan result, 1)
	go func() {
		other, purpose, err := framer.Accept(far, accepting, endpoint("b"))
		_ = far.Close()
		results <- result{other, purpose, err}
	}()
	other, err := framer.Dial(&tamperingConn{Conn: near, tamper: tamper}, dialling, endpoint("a"), framer.Queries)
	_ = near.Close()
	return result{endpoint: other, err: err}, <-results
}

type tamperingConn struct {
	net.Conn
	tamper func(frame int, wire []byte)
	frame  int
}

func (tamperingConn *tamperingConn) Write(data []byte) (int, error) {
	if tamperingConn.tamper != nil {
		tamperingConn.tamper(tamperingConn.frame, data)
	}
	tamperingConn.frame++
	return tamperingConn.Conn.Write(data)
}

// TestHandshakeIdentifiesBothSides guards against a side that mistakes the other
// for a different node.
func TestHandshakeIdentifiesBothSides(t *testing.T) {
	c := quicktest.New(t)
	dialled, accepted := handshake(newKey(t, 1), newKey(t, 1), nil)
	c.Assert(dialled.err, quicktest.IsNil)
	c.Assert(accepted.err, quicktest.IsNil)
	c.Check(dialled.endpoint, quicktest.Equals, framer.Endpoint{Node: "b", Region: "gulf"})
	c.Check(accepted.endpoint, quicktest.Equals, endpoint("a"))
	c.Check(accepted.purpose, quicktest.Equals, framer.Queries)
}

// TestHandshakeNeedsTheKey guards against a peer that is accepted without the
// shared key, and against a key that is too short.
func TestHandshakeNeedsTheKey(t *testing.T) {
	c := quicktest.New(t)
	dialled, accepted := handshake(newKey(t, 1), newKey(t, 2), nil)
	c.Check(classifier.CodeOf(dialled.err), quicktest.Equals, classifier.BadSharedKey)
	c.Check(accepted.err, quicktest.IsNotNil)
	_, err := framer.NewKey(make([]byte, 31))
	c.Check(classifier.CodeOf(err), quicktest.Equals, classifier.BadSharedKey)
}

// TestHandshakeCoversEveryByte guards against a name, purpose or proof that can
// be changed in transit, and against replay of a recorded handshake.
func TestHandshakeCoversEveryByte(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		frame, position := rapid.IntRange(0, 1).Draw(rt, "frame"), rapid.IntRange(0, 400).Draw(rt, "position")
		dialled, accepted := handshake(newKey(t, 1), newKey(t, 1), func(at int, wire []byte) {
			if at == frame {
				wire[framer.Overhead+position%(len(wire)-framer.Overhead)] ^= 1
			}
		})
		if dialled.err == nil && accepted.err == nil {
			rt.Fatalf("a change of byte %d of frame %d is not detected", position, frame)
		}
	})
	_, accepted := handshake(newKey(t, 1), newKey(t, 1), func(at int, wire []byte) {
		if at == 0 {
			// The purpose is the last byte.
			wire[len(wire)-1] = byte(framer.Messages)
		}
	})
	quicktest.Assert(t, accepted.err, quicktest.IsNotNil)
	var recording bytes.Buffer
	dialled, _ := handshake(newKey(t, 1), newKey(t, 1), func(_ int, wire []byte) { _, _ = recording.Write(wire) })
	quicktest.Assert(t, dialled.err, quicktest.IsNil)
	_, _, err := framer.Accept(&fakeConn{reader: bytes.NewReader(recording.Bytes())}, newKey(t, 1), endpoint("b"))
	quicktest.Assert(t, classifier.CodeOf(err), quicktest.Equals, classifier.BadSharedKey)
}

// TestReflectedProofIsRefused guards against a peer without the key that sends
// the proof of the accepting side back as its own.
func TestReflectedProofIsRefused(t *testing.T) {
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
