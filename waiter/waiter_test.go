package waiter_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/frankban/quicktest"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/waiter"
)

// TestEachAnswerReachesItsOwnCaller guards against answers that reach another
// caller, arrive twice, or reach a caller that has left.
func TestEachAnswerReachesItsOwnCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		waiting := waiter.New[int]("test", 16)
		go func() { _ = waiting.Run(ctx) }()
		replies := make(map[identifier.Request]<-chan int)
		for _, request := range []identifier.Request{"a", "b", "left"} {
			reply, err := waiting.Register(request)
			c.Assert(err, quicktest.IsNil)
			replies[request] = reply
		}
		c.Assert(waiting.Forget(ctx, "left"), quicktest.IsNil)
		for answer, request := range []identifier.Request{"left", "b", "a", "a", "unknown"} {
			c.Assert(waiting.Resolve(ctx, request, answer), quicktest.IsNil)
		}
		synctest.Wait()
		c.Assert(<-replies["a"], quicktest.Equals, 2)
		c.Assert(<-replies["b"], quicktest.Equals, 1)
		for request, reply := range replies {
			c.Assert(len(reply), quicktest.Equals, 0, quicktest.Commentf("%s", request))
		}
	})
}

// TestRegisterRefusesWhenFull guards against callers that wait for room while
// the node is overloaded.
func TestRegisterRefusesWhenFull(t *testing.T) {
	c := quicktest.New(t)
	waiting := waiter.New[int]("test", 1)
	_, err := waiting.Register("a")
	c.Assert(err, quicktest.IsNil)
	_, err = waiting.Register("b")
	c.Assert(classifier.CodeOf(err), quicktest.Equals, classifier.RingFull)
}

func Example() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	answers := waiter.New[string]("answers", 8)
	go func() { _ = answers.Run(ctx) }()
	reply, _ := answers.Register("request-1")
	_ = answers.Resolve(ctx, "request-1", "done")
	fmt.Println(<-reply)
	// Output: done
}
