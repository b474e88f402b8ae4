package placer_test

import (
	"fmt"

	"corianderroad/commander"
	"corianderroad/placer"
)

// The gang is placed in the rack that it fills, so that the empty rack stays free
// for larger gangs.
func Example() {
	fleet := placer.NewFleet([]placer.Worker{
		{Worker: "a1", Rack: "a", Accelerators: 8},
		{Worker: "a2", Rack: "a", Accelerators: 8},
		{Worker: "b1", Rack: "b", Accelerators: 8},
		{Worker: "b2", Rack: "b", Accelerators: 8},
	})
	fleet.Occupy("b1", 4)
	fleet.Occupy("b2", 4)
	shape := commander.Shape{Members: 2, Accelerators: 4, Adjacency: commander.SameRack}
	fmt.Println(fleet.Place(placer.Request{Shape: shape}))
	// Output: [b1 b2]
}
