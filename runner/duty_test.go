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

// stubStateMachine requests a tick each second and responds to DrainArrived with
// an action that its dispatcher refuses. It counts ticks and refusals.
type stubStateMachine struct {
	next    time.Time
	ticks   int
	refused int
}

func (stubStateMachine *stubStateMachine) Step(now time.Time, event messenger.Event) []messenger.Action {
	switch event.(type) {
	case messenger.Tick:
		stubStateMachine.ticks++
		stubStateMachine.next = now.Add(time.Second)
	case messenger.DrainArrived:
		return []messenger.Action{messenger.SendPeer{To: "b"}}
	case messenger.PeerSendFailed:
		stubStateMachine.refused++
	}
	return nil
}

func (stubStateMachine *stubStateMachine) Next() time.Time { return stubStateMachine.next }

func (stubStateMachine *stubStateMachine) View(time.Time, querier.Query) querier.Answer {
	return querier.Answer{Gauges: []querier.Gauge{{Value: float64(stubStateMachine.ticks)}, {Value: float64(stubStateMachine.refused)}}}
}

type refusingDispatcher struct{}

func (refusingDispatcher) Dispatch(_ context.Context, action messenger.Action) (messenger.Event, error) {
	return messenger.PeerSendFailed{To: action.(messenger.SendPeer).To}, nil
}

// TestDutySleepsUntilNextTime guards against a duty that spins, misses the time
// that its state machine requested, or loses the event that reports a refused action.
func TestDutySleepsUntilNextTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		events := buffer.New[messenger.Event]("events", 4)
		queryRequests := buffer.New[runner.QueryRequest]("questions", 4)
		stubStateMachine := &stubStateMachine{next: time.Now().Add(time.Second)}
		ended := make(chan error, 1)
		go func() {
			ended <- runner.New(stubStateMachine, events, queryRequests, refusingDispatcher{}, time.Now).Run(ctx)
		}()
		c.Assert(events.Offer(messenger.DrainArrived{}), quicktest.IsNil)
		time.Sleep(5*time.Second + time.Millisecond) // virtual time
		answer := make(chan querier.Answer, 1)
		c.Assert(queryRequests.Offer(runner.QueryRequest{Answer: answer}), quicktest.IsNil)
		gauges := (<-answer).Gauges
		c.Assert(gauges[0].Value, quicktest.Equals, 5.0)
		c.Assert(gauges[1].Value, quicktest.Equals, 1.0)
		cancel()
		c.Assert(<-ended, quicktest.Equals, context.Canceled)
	})
}
