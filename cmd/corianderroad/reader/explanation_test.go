package reader

import (
	"os"
	"time"

	"corianderroad/responder"
)

func Example_writeExplanation() {
	at := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	accepted := responder.Job{Job: "draw", State: "accepted", Reason: "submission 3", Since: at}
	writeExplanation(os.Stdout, responder.Report{Nodes: []responder.NodeReport{
		{Node: "a", Jobs: []responder.Job{accepted}, Decisions: []responder.Decision{
			{At: at.Add(time.Second), Subject: "draw", Reason: "placed", Detail: "w-1,w-2"},
		}},
		{Node: "b", Jobs: []responder.Job{accepted}},
	}})
	// Output:
	// AT	NODE	SUBJECT	REASON	DETAIL
	// 2026-12-04T08:00:00.000Z	2 nodes	draw	accepted	submission 3
	// 2026-12-04T08:00:01.000Z	a	draw	placed	w-1,w-2
}
