// Package hasher assigns keys to nodes by rendezvous hashing: all nodes with the
// same list of members compute the same owner, and a change of members moves
// only the keys of the nodes that joined or left.
package hasher

import (
	"github.com/cespare/xxhash/v2"

	"corianderroad/identifier"
)

// Owner returns the node with the highest weight for the key, or the empty
// node if there are no nodes. The order of nodes does not matter.
func Owner(key string, nodes []identifier.Node) identifier.Node {
	var owner identifier.Node
	var highest uint64
	for _, node := range nodes {
		weight := weigh(key, node)
		if owner == "" || weight > highest || (weight == highest && node < owner) {
			owner, highest = node, weight
		}
	}
	return owner
}

func weigh(key string, node identifier.Node) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(string(node))
	return mix(digest.Sum64())
}

// mix is the finaliser of SplitMix64 (Steele, Lea and Flood, OOPSLA 2014). It
// separates the weights of nodes whose names differ in the last byte only.
func mix(hash uint64) uint64 {
	hash ^= hash >> 30
	hash *= 0xbf58476d1ce4e5b9
	hash ^= hash >> 27
	hash *= 0x94d049bb133111eb
	return hash ^ hash>>31
}
