package hostileclients_test

import (
	"context"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/frankban/quicktest"
)

// endure starts a node, lets a crowd call it, and checks that the process keeps its
// limits and answers an ordinary caller while the crowd is there and afterwards.
func endure(t *testing.T, size int, attack attack) {
	c := quicktest.New(t)
	node := newNode(c, newStore(c), "n1")
	crowd := gather(c, node.front, size, attack)
	node.sampler.awaitSample()
	node.awaitAnswer(firstKey)
	crowd.dismiss()
	node.awaitAnswer(firstKey)
	node.checkLimits(node.sampler.awaitSample())
}

// TestUnfinishedBodiesWithLength guards against memory that grows with the bodies of
// clients that send all but one byte.
func TestUnfinishedBodiesWithLength(t *testing.T) { endure(t, crowdSize, unfinished(firstKey)) }

// TestWholeBodiesAtOnce guards against memory that grows with bodies that arrive together.
func TestWholeBodiesAtOnce(t *testing.T) {
	endure(t, crowdSize, sized(firstKey, blank(bodyBytes), bodyBytes))
}

// TestLargeChunks guards against memory that grows with bodies without a length.
func TestLargeChunks(t *testing.T) { endure(t, crowdSize, chunked(firstKey, bodyBytes/5)) }

// TestChunksOfOneByte guards against memory that grows with bodies in the smallest chunks.
func TestChunksOfOneByte(t *testing.T) { endure(t, crowdSize, chunked(firstKey, 1)) }

// TestBodiesThatDecodeIntoMore guards against memory that grows with the decoded form of
// small steps.
func TestBodiesThatDecodeIntoMore(t *testing.T) {
	// Few clients are enough for the fault, and do not use up the memory of the test's machine.
	size, body := crowdSize/20, emptySteps()
	endure(t, size, sized(firstKey, body, len(body)))
}

// emptySteps returns the largest body of steps that say nothing.
func emptySteps() string {
	const prefix, step, suffix = `{"steps":[`, `{},`, `{}]}`
	return prefix + strings.Repeat(step, (bodyBytes-len(prefix)-len(suffix))/len(step)) + suffix
}

// TestIndexesThatDecodeIntoMore guards against memory that grows with the decoded form of
// lists of dependencies.
func TestIndexesThatDecodeIntoMore(t *testing.T) {
	const prefix, index, suffix = `{"steps":[{"count":1,"dependsOn":[`, `0,`, `0]}]}`
	body := prefix + strings.Repeat(index, (bodyBytes-len(prefix)-len(suffix))/len(index)) + suffix
	endure(t, crowdSize, sized(firstKey, body, len(body)))
}

// TestHeadersThatNeverEnd guards against memory that grows with unfinished headers.
func TestHeadersThatNeverEnd(t *testing.T) {
	const line = "X-Padding: 0123456789012345678901234567890123456789\r\n"
	head := strings.TrimRight(post(firstKey), "\r\n") + "\r\n" + strings.Repeat(line, 15<<10/len(line))
	endure(t, crowdSize, func(int) []string { return []string{head} })
}

// TestIdleConnections guards against idle connections that use up the descriptors.
func TestIdleConnections(t *testing.T) {
	endure(t, descriptors+descriptors/4, func(int) []string { return nil })
}

// TestUnreadAnswers guards against memory of the kernel that grows with answers that
// nobody reads and with requests that wait behind them.
func TestUnreadAnswers(t *testing.T) {
	request := "GET /q/ HTTP/1.1\r\nHost: " + host + "\r\nAuthorization: Token " + firstKey + "\r\n\r\n"
	pipelined := strings.Repeat(request, (bodyBytes*4)/len(request))
	endure(t, crowdSize, func(int) []string { return []string{pipelined} })
}

// TestUnknownKeys guards against bodies that are kept although their key is unknown.
func TestUnknownKeys(t *testing.T) { endure(t, crowdSize, unfinished("unknown")) }

// TestConnectionsThatOpenAndClose guards against connections that leave something behind.
func TestConnectionsThatOpenAndClose(t *testing.T) {
	const rounds = 5
	c := quicktest.New(t)
	node := newNode(c, newStore(c), "n1")
	for range rounds {
		gather(c, node.front, crowdSize, func(int) []string { return []string{post(firstKey, "Content-Length: 9")} }).dismiss()
	}
	node.awaitAnswer(firstKey)
	node.checkLimits(node.sampler.awaitSample())
}

// TestCrowdOnReadinessAndMetrics guards against health checks that fail, and descriptors
// that are used up, because of connections to the other ports.
func TestCrowdOnReadinessAndMetrics(t *testing.T) {
	c := quicktest.New(t)
	node := newNode(c, newStore(c), "n1")
	request := "GET /metrics HTTP/1.1\r\nHost: node\r\n\r\n"
	for _, address := range []struct {
		name string
		is   func() *crowd
	}{
		{"readiness", func() *crowd {
			return gather(c, node.readiness, crowdSize, func(int) []string { return []string{request[:len(request)-2]} })
		}},
		{"metrics", func() *crowd {
			return gather(c, node.metrics, crowdSize, func(int) []string { return []string{strings.Repeat(request, 20)} })
		}},
	} {
		address.is()
		node.await(address.name+" is answered", func(ctx context.Context) bool {
			status, _ := call(ctx, node.readiness, http.MethodGet, "/", "", "")
			return status == http.StatusOK
		})
	}
	node.awaitAnswer(firstKey)
	node.checkLimits(node.sampler.awaitSample())
}

// TestCrowdWhileTheNodeStops guards against a stopping node that a crowd makes exceed its
// limits or hang.
func TestCrowdWhileTheNodeStops(t *testing.T) {
	c := quicktest.New(t)
	node := newNode(c, newStore(c), "n1")
	gather(c, node.front, crowdSize/2, unfinished(firstKey))
	c.Assert(node.command.Process.Signal(syscall.SIGTERM), quicktest.IsNil)
	gather(c, node.front, crowdSize/2, unfinished(firstKey))
	c.Assert(<-node.ended, quicktest.IsNil)
	node.checkLimits(node.endSampling())
	node.start()
	node.awaitAnswer(firstKey)
}

// TestCrowdWhileTheNodeTakesOver guards against a crowd that prevents a takeover, and
// against one that makes the new holder exceed its limits.
func TestCrowdWhileTheNodeTakesOver(t *testing.T) {
	c := quicktest.New(t)
	store := newStore(c)
	holder := newNode(c, store, "n1")
	holder.await("the node is the holder", holder.isHolder)
	node := newNode(c, store, "n2")
	gather(c, node.front, crowdSize, unfinished(firstKey))
	holder.kill()
	node.await("the node is the holder", node.isHolder)
	node.awaitAnswer(firstKey)
	node.checkLimits(node.sampler.awaitSample())
}

func (node *node) isHolder(ctx context.Context) bool {
	_, metrics := call(ctx, node.metrics, http.MethodGet, "/metrics", "", "")
	return strings.Contains(metrics, `corianderroad_holder{label=""} 1`)
}

// TestCrowdWhileTheStoreIsAway guards against memory that grows while no job can be stored.
func TestCrowdWhileTheStoreIsAway(t *testing.T) {
	c := quicktest.New(t)
	store := newStore(c)
	node := newNode(c, store, "n1")
	store.SetFaults(http.StatusServiceUnavailable, false)
	gather(c, node.front, crowdSize, unfinished(firstKey))
	store.SetFaults(0, false)
	node.awaitAnswer(firstKey)
	node.checkLimits(node.sampler.awaitSample())
}

// TestCrowdOfOneKey guards against a crowd that shuts out the callers with another key.
func TestCrowdOfOneKey(t *testing.T) {
	c := quicktest.New(t)
	node := newNode(c, newStore(c), "n1")
	gather(c, node.front, crowdSize, unfinished(firstKey))
	node.awaitAnswer(secondKey)
	node.checkLimits(node.sampler.awaitSample())
}
