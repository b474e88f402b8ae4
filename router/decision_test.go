package router

import (
	"fmt"
	"testing"
	"time"

	"corianderroad/commander"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// newNodeWithMembers returns one node with many other members.
func newNodeWithMembers(nodes, minions int) *simNode {
	simulation := newSimulation(1, faults{}, 1, minions, twoRegions, nil)
	node := simulation.nodes[0]
	simulation.runUntil(epoch.Add(time.Second))
	members := []messenger.Member{{Identity: node.identity, State: messenger.Alive}}
	for index := 1; index < nodes; index++ {
		other := node.identity
		other.Node = identifier.Node(fmt.Sprintf("n%04d", index))
		other.Region = twoRegions[index%2]
		other.FailureDomain = identifier.FailureDomain(fmt.Sprintf("%s-%d", other.Region, index/2%2))
		members = append(members, messenger.Member{Identity: other, State: messenger.Alive})
	}
	simulation.step(node, messenger.MembersChanged{Members: members})
	return node
}

// BenchmarkDecision measures one decision at the entry, from the arrival of a
// request to the Forward, and the handling of its answer.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []struct{ nodes, minions int }{{10, 100}, {100, 1000}, {1000, 10_000}} {
		b.Run(fmt.Sprintf("nodes=%d/endpoints=%d", size.nodes, size.minions), func(b *testing.B) {
			node := newNodeWithMembers(size.nodes, size.minions)
			now := epoch.Add(time.Second)
			call := commander.Call{Workspace: "a", Service: "rota", Method: "swap", Body: []byte("body")}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				for _, action := range node.router.Step(now, messenger.CallArrived{Request: "q", Call: call}) {
					if sent, ok := action.(messenger.SendPeer); ok {
						if forward, ok := sent.Message.(messenger.Forward); ok {
							node.router.Step(now, messenger.PeerReceived{From: sent.To, Message: messenger.ForwardAnswer{
								Request: forward.Request, Attempt: forward.Attempt, FreeSlots: 8,
							}})
						}
					}
				}
				if len(node.router.calls) > 0 {
					// This node is the owner, so no Forward was sent: the caller disconnects.
					node.router.Step(now, messenger.CallerDisconnected{Request: "q"})
				}
			}
		})
	}
}

// BenchmarkAssign measures the assignment of all minions after a change of members.
func BenchmarkAssign(b *testing.B) {
	for _, size := range []struct{ nodes, minions int }{{10, 100}, {100, 1000}, {1000, 10_000}} {
		b.Run(fmt.Sprintf("nodes=%d/endpoints=%d", size.nodes, size.minions), func(b *testing.B) {
			node := newNodeWithMembers(size.nodes, size.minions)
			for b.Loop() {
				node.router.assignMinions(epoch)
			}
		})
	}
}
