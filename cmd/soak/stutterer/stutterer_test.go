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
