package framer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"net/netip"

	"github.com/tinylib/msgp/msgp"

	"corianderroad/classifier"
	"corianderroad/encoder"
	"corianderroad/identifier"
)

// Purpose is what a connection is used for. Commands and queries use separate
// connections.
type Purpose uint8

// Purposes of a connection.
const (
	Messages Purpose = iota + 1 // peer messages in both directions
	Queries                     // queries of the dialling side
)

const (
	nonceBytes = 32
	// maxHandshakeFrame bounds a frame of the handshake. Such a frame holds a name,
	// a nonce and a proof.
	maxHandshakeFrame = 1 << 10
	// minKeyBytes is the least length of the shared key: the length of the digest
	// (RFC 2104).
	minKeyBytes = 32
)

// Key is the deployment's shared key. It is safe for concurrent use.
type Key struct {
	secret []byte
}

// NewKey returns a key with the given secret. The error has code BadSharedKey
// if the secret is shorter than 32 bytes.
func NewKey(secret []byte) (Key, error) {
	if len(secret) < minKeyBytes {
		return Key{}, classifier.New(classifier.BadSharedKey, "the shared key has %d bytes, at least %d are needed", len(secret), minKeyBytes)
	}
	return Key{secret: append([]byte(nil), secret...)}, nil
}

// Endpoint is how a side identifies itself in the handshake.
type Endpoint struct {
	Node identifier.Node
	// Address is where the node listens. The accepting side doesn't send it.
	Address netip.AddrPort
	Region  identifier.Region
}

// Dial performs the dialling side of the handshake and returns the other side.
// The error has code BadSharedKey if the other side does not hold the key, and
// BadFrame if it violates the protocol of the handshake. The caller sets a deadline on
// the connection.
func Dial(connection io.ReadWriter, key Key, self Endpoint, purpose Purpose) (Endpoint, error) {
	// MarshalBinary of a netip.AddrPort never fails.
	address, _ := self.Address.MarshalBinary()
	hello := encoder.WireHello{
		Node: string(self.Node), Address: address, Region: string(self.Region), Nonce: newNonce(), Purpose: uint8(purpose),
	}
	if err := send(connection, Hello, &hello); err != nil {
		return Endpoint{}, err
	}
	var challenge encoder.WireChallenge
	if err := receive(connection, Challenge, &challenge); err != nil {
		return Endpoint{}, err
	}
	if err := checkNodeAndNonce(challenge.Node, challenge.Nonce); err != nil {
		return Endpoint{}, err
	}
	if !hmac.Equal(challenge.Proof, key.prove(accepting, hello, challenge)) {
		return Endpoint{}, classifier.New(classifier.BadSharedKey, "node %q does not hold the shared key", challenge.Node)
	}
	proof := encoder.WireProof{Proof: key.prove(dialling, hello, challenge)}
	other := Endpoint{Node: identifier.Node(challenge.Node), Region: identifier.Region(challenge.Region)}
	return other, send(connection, Proof, &proof)
}

// Accept performs the accepting side of the handshake and returns the other
// side and the purpose of the connection. Errors are those of Dial.
func Accept(connection io.ReadWriter, key Key, self Endpoint) (Endpoint, Purpose, error) {
	var hello encoder.WireHello
	if err := receive(connection, Hello, &hello); err != nil {
		return Endpoint{}, 0, err
	}
	other, err := checkHello(hello)
	if err != nil {
		return Endpoint{}, 0, err
	}
	challenge := encoder.WireChallenge{Node: string(self.Node), Region: string(self.Region), Nonce: newNonce()}
	challenge.Proof = key.prove(accepting, hello, challenge)
	if err := send(connection, Challenge, &challenge); err != nil {
		return Endpoint{}, 0, err
	}
	var proof encoder.WireProof
	if err := receive(connection, Proof, &proof); err != nil {
		return Endpoint{}, 0, err
	}
	if !hmac.Equal(proof.Proof, key.prove(dialling, hello, challenge)) {
		return Endpoint{}, 0, classifier.New(classifier.BadSharedKey, "node %q does not hold the shared key", hello.Node)
	}
	return other, Purpose(hello.Purpose), nil
}

func checkHello(hello encoder.WireHello) (Endpoint, error) {
	if err := checkNodeAndNonce(hello.Node, hello.Nonce); err != nil {
		return Endpoint{}, err
	}
	if purpose := Purpose(hello.Purpose); purpose != Messages && purpose != Queries {
		return Endpoint{}, classifier.New(classifier.BadFrame, "handshake: unknown purpose %d", hello.Purpose)
	}
	other := Endpoint{Node: identifier.Node(hello.Node), Region: identifier.Region(hello.Region)}
	if err := other.Address.UnmarshalBinary(hello.Address); err != nil {
		return Endpoint{}, classifier.New(classifier.BadFrame, "handshake: address: %v", err)
	}
	return other, nil
}

// side is a part of each proof, so that the proof of one side can't be sent back
// to it as the proof of the other.
type side byte

const (
	dialling side = iota + 1
	accepting
)

// prove returns the proof of one side over all fields that both sides sent.
func (key Key) prove(side side, hello encoder.WireHello, challenge encoder.WireChallenge) []byte {
	digest := hmac.New(sha256.New, key.secret)
	_, _ = digest.Write([]byte{byte(side), hello.Purpose})
	// The length before each field ensures that different handshakes never yield
	// the same bytes.
	for _, field := range [][]byte{
		[]byte(hello.Node), hello.Address, []byte(hello.Region), hello.Nonce,
		[]byte(challenge.Node), []byte(challenge.Region), challenge.Nonce,
	} {
		_, _ = digest.Write(binary.BigEndian.AppendUint32(nil, uint32(len(field))))
		_, _ = digest.Write(field)
	}
	return digest.Sum(nil)
}

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	// Read of crypto/rand never returns an error.
	_, _ = rand.Read(nonce)
	return nonce
}

func checkNodeAndNonce(node string, nonce []byte) error {
	if node == "" || len(nonce) != nonceBytes {
		return classifier.New(classifier.BadFrame, "handshake has node name %q and a nonce of %d bytes", node, len(nonce))
	}
	return nil
}

func send(connection io.Writer, kind Kind, wire msgp.Marshaler) error {
	body, err := wire.MarshalMsg(nil)
	if err != nil {
		return classifier.New(classifier.Internal, "encode handshake: %v", err)
	}
	return Write(connection, Frame{Kind: kind, Body: body})
}

func receive(connection io.Reader, kind Kind, wire msgp.Unmarshaler) error {
	frame, err := readLimited(connection, maxHandshakeFrame)
	if err != nil {
		return err
	}
	if frame.Kind != kind {
		return classifier.New(classifier.BadFrame, "handshake frame has kind %d, want %d", frame.Kind, kind)
	}
	if _, err := wire.UnmarshalMsg(frame.Body); err != nil {
		return classifier.New(classifier.BadFrame, "handshake: %v", err)
	}
	return nil
}
