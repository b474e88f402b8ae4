package leaser_test

import (
	"fmt"
	"time"

	"corianderroad/identifier"
	"corianderroad/leaser"
	"corianderroad/messenger"
)

// No worker receives the start of a gang before all of its workers have reserved.
func Example() {
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	order := leaser.Order{
		Gang: messenger.Gang{Job: "draw", Placement: 1}, Workers: []identifier.Worker{"w1", "w2"}, Accelerators: 8,
	}
	gang := leaser.New(now, order, leaser.Timing{
		Lease: 15 * time.Second, AnswerTimeout: 5 * time.Second, Grace: 10 * time.Second, RetryDelay: 500 * time.Millisecond,
	})
	for gang.Phase() != leaser.Running {
		for _, call := range gang.Advance(now) {
			now = now.Add(time.Millisecond)
			answer := messenger.WorkerAnswered{Worker: call.Worker, Kind: call.Kind, Gang: call.Gang}
			gang.HandleAnswer(now, answer, leaser.Observation{SentAt: now, ReceivedAt: now})
			fmt.Println(gang.Phase(), call.Worker)
		}
	}
	fmt.Println(gang.Phase())
	// Output:
	// reserving w1
	// reserving w2
	// starting w1
	// starting w2
	// running
}
