package hasher_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"corianderroad/hasher"
	"corianderroad/identifier"
)

// TestOnlyKeysOfALostNodeMove guards against nodes that disagree about owners
// because they list members in a different order, and against the loss of a node
// that moves keys of other nodes.
func TestOnlyKeysOfALostNodeMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 30).Draw(t, "nodes")
		var nodes []identifier.Node
		for index := range count {
			nodes = append(nodes, identifier.Node(fmt.Sprintf("node-%d", index)))
		}
		lost := nodes[rapid.IntRange(0, count-1).Draw(t, "lost")]
		rest := slices.DeleteFunc(slices.Clone(nodes), func(node identifier.Node) bool { return node == lost })
		slices.Reverse(rest)
		for index := range 50 {
			key := fmt.Sprintf("minion-%d", index)
			before, after := hasher.Owner(key, nodes), hasher.Owner(key, rest)
			if before != lost && after != before || after == lost || after == "" {
				t.Fatalf("%s moved from %q to %q when %q was lost", key, before, after, lost)
			}
		}
	})
}

// TestKeysAreSpreadEvenly guards against a hash that gives a few nodes most of the keys.
func TestKeysAreSpreadEvenly(t *testing.T) {
	owned := make(map[identifier.Node]int)
	nodes := []identifier.Node{"gulf-a-1", "gulf-a-2", "gulf-a-3", "gulf-b-1"}
	for index := range 4000 {
		owned[hasher.Owner(fmt.Sprintf("rota-gulf-a-%d", index), nodes)]++
	}
	for _, node := range nodes {
		if owned[node] < 800 || owned[node] > 1200 {
			t.Errorf("%s owns %d of 4000 keys", node, owned[node])
		}
	}
}

func ExampleOwner() {
	nodes := []identifier.Node{"gulf-a-1", "gulf-a-2", "gulf-b-1"}
	fmt.Println(hasher.Owner("minion-7", nodes) == hasher.Owner("minion-7", []identifier.Node{"gulf-b-1", "gulf-a-2", "gulf-a-1"}))
	// Output: true
}
