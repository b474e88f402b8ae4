package main

import "time"

// playRemovedRoute removes a route while jobs that were accepted on it wait and run.
func playRemovedRoute(root string, record *Record, trouble bool) error {
	draws := &Route{Name: "season-draw", Prefix: "/draws/", Priority: 1, Attempts: 4}
	swaps := &Route{Name: "slot-swap", Prefix: "/swaps/", Attempts: 2}
	scene, err := NewScene(root, record, trouble, 6, draws, swaps)
	defer scene.Close()
	if err != nil {
		return err
	}
	for range 8 { // more than fits at once
		scene.Submit(draws, &Step{Count: 12, CPU: 4000, MemMB: 100, Work: 4 * time.Second},
			&Step{Count: 2, CPU: 4000, MemMB: 100, Work: time.Second, DependsOn: []int{0}})
	}
	time.Sleep(time.Second)
	if trouble {
		scene.Configure(swaps)
	} else {
		scene.Configure(draws, swaps)
	}
	for range 20 {
		scene.Submit(swaps, &Step{Count: 3, CPU: 4000, MemMB: 100, Work: 500 * time.Millisecond})
		time.Sleep(500 * time.Millisecond)
	}
	scene.CheckLost()
	return nil
}
