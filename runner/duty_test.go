package runner_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/buffer"
	"corianderroad/messenger"
	"corianderroad/querier"
	"corianderroad/runner"
)

// machine asks for a tick each second and answers a drain by an action that its
// carrier refuses.
type machine struct {
	next    time.Time
	ticks   int
	refused int
}

func (machine *machine) Step(now time.Time, event messenger.Event) []messenger.Action {
	switch event.(type) {
	case messenger.Tick:
		machine.ticks++
		machine.next = now.Add(time.Second)
	case messenger.DrainArrived:
		return []messenger.Action{messenger.SendPeer{To: "b"}}
	case messenger.PeerSendFailed:
		machine.refused++
	}
	return nil
}

func (machine *machine) Next() time.Time { return machine.next }

func (machine *machine) View(time.Time, querier.Query) querier.Answer {
	return querier.Answer{Gauges: []querier.Gauge{{Value: float64(machine.ticks)}, {Value: float64(machine.refused)}}}
}

type fullCarrier struct{}

func (fullCarrier) Carry(_ context.Context, action messenger.Action) (messenger.Event, error) {
	return messenger.PeerSendFailed{To: action.(messenger.SendPeer).To}, nil
}

// TestDutySleepsUntilItsTime guards against a duty that spins, misses the time
// that its machine asked for, or loses the word that an action was refused.
func TestDutySleepsUntilItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		events := buffer.New[messenger.Event]("events", 4)
		questions := buffer.New[runner.Question]("questions", 4)
		machine := &machine{next: time.Now().Add(time.Second)}
		ended := make(chan error, 1)
		go func() { ended <- runner.New(machine, events, questions, fullCarrier{}, time.Now).Run(ctx) }()
		c.Assert(events.Offer(messenger.DrainArrived{}), quicktest.IsNil)
		time.Sleep(5*time.Second + time.Millisecond) // virtual time
		answer := make(chan querier.Answer, 1)
		c.Assert(questions.Offer(runner.Question{Answer: answer}), quicktest.IsNil)
		gauges := (<-answer).Gauges
		c.Assert(gauges[0].Value, quicktest.Equals, 5.0)
		c.Assert(gauges[1].Value, quicktest.Equals, 1.0)
		cancel()
		c.Assert(<-ended, quicktest.Equals, context.Canceled)
	})
}
