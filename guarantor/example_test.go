package guarantor_test

import (
	"fmt"

	"corianderroad/commander"
	"corianderroad/guarantor"
	"corianderroad/identifier"
)

// A use is added only if all guarantees can still be reclaimed.
func Example() {
	workers := []guarantor.Worker{{Worker: "w1", Rack: "a", Accelerators: 8}, {Worker: "w2", Rack: "a", Accelerators: 8}}
	shape := commander.Shape{Members: 1, Accelerators: 8}
	ledger := guarantor.New(workers, []guarantor.Claim{{Workspace: "clubs", Shape: shape}, {Workspace: "crews", Shape: shape}}, nil)
	fmt.Println(ledger.Add(guarantor.Use{Workspace: "clubs", Workers: []identifier.Worker{"w1"}, Accelerators: 8}))
	fmt.Println(ledger.Add(guarantor.Use{Workspace: "clubs", Workers: []identifier.Worker{"w2"}, Accelerators: 8}))
	// Output:
	// true
	// false
}
