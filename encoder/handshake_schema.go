package encoder

//go:generate msgp -file handshake_schema.go -o handshake_schema_gen.go -tests=false -io=true

// The limits reject a frame that declares a huge map.
//msgp:limit arrays:64 maps:64

// WireHello opens a connection and names the dialling node.
type WireHello struct {
	Node string `msg:"node"`
	// Address is the listen address of the dialling node, in the binary form of netip.AddrPort.
	Address []byte `msg:"address"`
	Region  string `msg:"region"`
	Nonce   []byte `msg:"nonce"`
	// Purpose is the purpose of the connection. The handshake fixes it, so that it
	// can't be changed later.
	Purpose uint8 `msg:"purpose"`
}

// WireChallenge answers a WireHello. It names the accepting node and proves that
// this node has the shared key.
type WireChallenge struct {
	Node   string `msg:"node"`
	Region string `msg:"region"`
	Nonce  []byte `msg:"nonce"`
	Proof  []byte `msg:"proof"`
}

// WireProof proves that the dialling node has the shared key.
type WireProof struct {
	Proof []byte `msg:"proof"`
}
