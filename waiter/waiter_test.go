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

// TestEachAnswerReachesItsOwnCaller guards against answers that reach the wrong
// caller, arrive twice, or reach a caller that has given up.
func TestEachAnswerReachesItsOwnCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		answers := waiter.New[int]("test", 16)
		go func() { _ = answers.Run(ctx) }()
		replies := make(map[identifier.Request]<-chan int)
		for _, request := range []identifier.Request{"a", "b", "left"} {
			reply, err := answers.Register(request)
			c.Assert(err, quicktest.IsNil)
			replies[request] = reply
		}
		c.Assert(answers.Forget(ctx, "left"), quicktest.IsNil)
		for answer, request := range []identifier.Request{"left", "b", "a", "a", "unknown"} {
			c.Assert(answers.Resolve(ctx, request, answer), quicktest.IsNil)
		}
		synctest.Wait()
		c.Assert(<-replies["a"], quicktest.Equals, 2)
		c.Assert(<-replies["b"], quicktest.Equals, 1)
		for request, reply := range replies {
			c.Assert(len(reply), quicktest.Equals, 0, quicktest.Commentf("%s", request))
		}
	})
}

// TestRegisterRefusesWhenFull guards against callers that block on a full ring
// while the node is overloaded.
func TestRegisterRefusesWhenFull(t *testing.T) {
	c := quicktest.New(t)
	answers := waiter.New[int]("test", 1)
	_, err := answers.Register("a")
	c.Assert(err, quicktest.IsNil)
	_, err = answers.Register("b")
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
