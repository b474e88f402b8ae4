package stutterer_test

import (
	"testing"
	"time"

	"github.com/Shopify/toxiproxy/v2/stream"
	"github.com/Shopify/toxiproxy/v2/toxics"
	"github.com/frankban/quicktest"

	"corianderroad/cmd/soak/stutterer"
)

// TestRepetitionFallsOnTheNextAnswer guards against a fault that hits no order because the next
// answer on the connection comes before the repetition.
func TestRepetitionFallsOnTheNextAnswer(t *testing.T) {
	c := quicktest.New(t)
	input, output := make(chan *stream.StreamChunk), make(chan *stream.StreamChunk, 8)
	stub := toxics.NewToxicStub(input, output)
	fault := &stutterer.Stutterer{Share: 1, DelayMS: time.Hour.Milliseconds(), BeforeNext: true}
	go fault.Pipe(stub)
	for _, answer := range []string{"first", "second", "third"} {
		input <- &stream.StreamChunk{Data: []byte(answer)}
	}
	close(input)
	var sent []string
	for range 5 {
		sent = append(sent, string((<-output).Data))
	}
	c.Assert(sent, quicktest.DeepEquals, []string{"first", "first", "second", "second", "third"})
}

// TestInterruptWhileConnectionIsReset guards against a soak that never ends because a fault waits for
// one behind it that has reset the connection.
func TestInterruptWhileConnectionIsReset(t *testing.T) {
	c := quicktest.New(t)
	input, output := make(chan *stream.StreamChunk), make(chan *stream.StreamChunk)
	stub := toxics.NewToxicStub(input, output)
	fault := &stutterer.Stutterer{Share: 1, DelayMS: time.Hour.Milliseconds()}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		fault.Pipe(stub)
	}()
	input <- &stream.StreamChunk{Data: []byte("answer")} // nothing receives the output
	select {
	case stub.Interrupt <- struct{}{}:
	case <-time.After(5 * time.Second):
		c.Fatal("the fault does not end")
	}
	<-ended
}

// TestRepetitionIsMadeAnew guards against a fault that no check could miss because the second answer has
// the clock of the first one, and against a list of runs with a clock at which it was not true.
func TestRepetitionIsMadeAnew(t *testing.T) {
	c := quicktest.New(t)
	input, output := make(chan *stream.StreamChunk), make(chan *stream.StreamChunk, 8)
	fault := &stutterer.Stutterer{Share: 1, DelayMS: time.Hour.Milliseconds(), BeforeNext: true, MadeAnew: true}
	go fault.Pipe(toxics.NewToxicStub(input, output))
	for _, answer := range []string{`{"clockMs":1000,"reason":"room"}`, `{"clockMs":2000,"running":[]}`, "last"} {
		input <- &stream.StreamChunk{Data: []byte(answer)}
		time.Sleep(20 * time.Millisecond)
	}
	close(input)
	var sent []string
	for range 4 {
		sent = append(sent, string((<-output).Data))
	}
	c.Assert([]string{sent[0], sent[2], sent[3]}, quicktest.DeepEquals, []string{`{"clockMs":1000,"reason":"room"}`, `{"clockMs":2000,"running":[]}`, "last"})
	c.Assert(sent[1], quicktest.Matches, `{"clockMs":1\d\d\d,"reason":"room"}`)
	c.Assert(sent[1] > sent[0], quicktest.IsTrue)
}
