// Package gatherer answers queries for the whole deployment. It queries this node
// and every other member within a bounded time, and lists the nodes that did not
// answer.
package gatherer

import (
	"context"
	"net/netip"
	"sort"
	"time"

	"corianderroad/identifier"
	"corianderroad/querier"
)

// gatherTimeout bounds a query. The slowest path is one round trip between regions,
// which takes 60 ms, so a node that exceeds the timeout is not responding.
const gatherTimeout = 2 * time.Second

// Local answers queries from the state machines of this node.
type Local interface {
	Inspect(ctx context.Context, query querier.Query) (querier.Answer, error)
}

// Remote sends queries to other nodes.
type Remote interface {
	Query(ctx context.Context, node identifier.Node, address netip.AddrPort, query querier.Query) (querier.Answer, error)
}

// Members returns the other nodes that are not dead, with their peer addresses.
type Members interface {
	OtherMembers() map[identifier.Node]netip.AddrPort
}

// NodeAnswer is the answer of one node.
type NodeAnswer struct {
	Node   identifier.Node
	Answer querier.Answer
}

// Report holds the answers of a deployment.
type Report struct {
	// Answers are the answers, ordered by node.
	Answers []NodeAnswer
	// Unresponsive are the nodes that did not answer in time, sorted.
	Unresponsive []identifier.Node
}

// Gatherer queries all nodes. It is safe for concurrent use.
type Gatherer struct {
	node    identifier.Node
	local   Local
	remote  Remote
	members Members
}

// New returns a Gatherer for the given node.
func New(node identifier.Node, local Local, remote Remote, members Members) *Gatherer {
	return &Gatherer{node: node, local: local, remote: remote, members: members}
}

// Gather returns the answers that arrive within 2 s.
func (gatherer *Gatherer) Gather(ctx context.Context, query querier.Query) Report {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	type reply struct {
		nodeAnswer NodeAnswer
		err        error
	}
	others := gatherer.members.OtherMembers()
	replies := make(chan reply, len(others)+1)
	go func() {
		answer, err := gatherer.local.Inspect(ctx, query)
		replies <- reply{NodeAnswer{gatherer.node, answer}, err}
	}()
	for node, address := range others {
		go func() {
			answer, err := gatherer.remote.Query(ctx, node, address, query)
			replies <- reply{NodeAnswer{node, answer}, err}
		}()
	}
	var report Report
	for range len(others) + 1 {
		reply := <-replies
		if reply.err != nil {
			report.Unresponsive = append(report.Unresponsive, reply.nodeAnswer.Node)
			continue
		}
		report.Answers = append(report.Answers, reply.nodeAnswer)
	}
	sort.Slice(report.Answers, func(i, j int) bool { return report.Answers[i].Node < report.Answers[j].Node })
	sort.Slice(report.Unresponsive, func(i, j int) bool { return report.Unresponsive[i] < report.Unresponsive[j] })
	return report
}
