package hostileclients_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/frankban/quicktest"
)

// deploymentNodes is the number of nodes that crowds call at the same time.
const deploymentNodes = 4

// gatherAtAll connects crowds to some nodes at the same time.
func gatherAtAll(c *quicktest.C, nodes []*node, size int, attack attack) {
	var gathering sync.WaitGroup
	for _, node := range nodes {
		gathering.Go(func() { gather(c, node.front, size, attack) })
	}
	gathering.Wait()
}

// TestCrowdsOnAllNodes guards against a deployment that has no node left for ordinary callers, or
// loses one, when crowds call all nodes while the store is away and the holder has ended.
func TestCrowdsOnAllNodes(t *testing.T) {
	c := quicktest.New(t)
	store := newStore(c)
	var nodes []*node
	for number := range deploymentNodes {
		nodes = append(nodes, newNode(c, store, fmt.Sprintf("n%d", number)))
		if number == 0 {
			nodes[0].await("the first node is the holder", nodes[0].isHolder)
		}
	}
	holder, others := nodes[0], nodes[1:]
	gatherAtAll(c, nodes, crowdSize/2, mixed())
	store.SetFaults(http.StatusServiceUnavailable, false)
	gatherAtAll(c, nodes, crowdSize/4, chunked(secondKey, bodyBytes/5))
	holder.checkLimits(holder.sampler.awaitSample())
	holder.kill()
	gatherAtAll(c, others, crowdSize/4, unfinished(firstKey))
	store.SetFaults(0, false)
	holder.start()
	gatherAtAll(c, nodes[:1], crowdSize, mixed())
	for _, node := range nodes {
		node.awaitCompletedJob(firstKey) // by whichever node is the holder now
		node.awaitAnswer(secondKey)
		node.checkLimits(node.sampler.awaitSample())
	}
}
