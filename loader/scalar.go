package loader

import (
	"encoding/hex"
	"net/netip"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/pkg/errors"
)

// Address is an IP address with a port, for example 10.0.0.1:7000. It is a separate
// type because the YAML library drops the line number of errors that a text
// unmarshaler returns.
type Address struct{ netip.AddrPort }

// UnmarshalYAML implements yaml.NodeUnmarshaler.
func (address *Address) UnmarshalYAML(node ast.Node) error {
	parsed, err := netip.ParseAddrPort(scalarText(node))
	if err == nil && parsed.Port() == 0 {
		err = errors.New("port 0 is not reachable for other nodes")
	}
	address.AddrPort = parsed
	return errorAt(node, err)
}

// Duration is a duration with a unit, for example 30s.
type Duration struct{ time.Duration }

// UnmarshalYAML implements yaml.NodeUnmarshaler.
func (duration *Duration) UnmarshalYAML(node ast.Node) error {
	parsed, err := time.ParseDuration(scalarText(node))
	duration.Duration = parsed
	return errorAt(node, err)
}

// Secret is a key, written in hexadecimal digits.
type Secret []byte

// UnmarshalYAML implements yaml.NodeUnmarshaler.
func (secret *Secret) UnmarshalYAML(node ast.Node) error {
	decoded, err := hex.DecodeString(scalarText(node))
	*secret = decoded
	if err != nil {
		err = errors.New("not a sequence of hexadecimal digits") // the secret must not appear in logs
	}
	return errorAt(node, err)
}

// Digest is a SHA-256 digest, written in hexadecimal digits.
type Digest [32]byte

// UnmarshalYAML implements yaml.NodeUnmarshaler.
func (digest *Digest) UnmarshalYAML(node ast.Node) error {
	decoded, err := hex.DecodeString(scalarText(node))
	if err == nil && len(decoded) != len(digest) {
		err = errors.Errorf("has %d bytes, a SHA-256 digest has %d", len(decoded), len(digest))
	}
	copy(digest[:], decoded)
	return errorAt(node, err)
}

func scalarText(node ast.Node) string {
	if text, ok := node.(*ast.StringNode); ok {
		return text.Value
	}
	return node.String()
}

func errorAt(node ast.Node, err error) error {
	if err == nil {
		return nil
	}
	return &yaml.SyntaxError{Message: err.Error(), Token: node.GetToken()}
}
