package assembler

import (
	"context"

	"corianderroad/buffer"
	"corianderroad/classifier"
	"corianderroad/messenger"
)

// actionDispatcher passes the actions of the state machines to the duties that
// execute them.
type actionDispatcher struct {
	assembler *Assembler
}

// Dispatch implements runner.ActionDispatcher. If a ring is full, it returns the
// event that reports to the state machine that its action was not executed.
func (actionDispatcher actionDispatcher) Dispatch(ctx context.Context, action messenger.Action) (messenger.Event, error) {
	assembler := actionDispatcher.assembler
	switch action := action.(type) {
	case messenger.AppendClaim:
		if err := offer(assembler.claimAppends, action); err != nil {
			return messenger.ClaimAppended{Claim: action.Claim, SentAt: assembler.clock(), Err: err}, nil
		}
	case messenger.AppendEntries:
		if err := offer(assembler.entryAppends, action); err != nil {
			return messenger.EntriesAppended{ID: action.ID, Err: err}, nil
		}
	case messenger.RefreshJournal:
		assembler.journalTailer.Refresh()
	case messenger.FenceJournal:
		if err := offer(assembler.progressAppends, messenger.Action(action)); err != nil {
			return messenger.JournalFenced{Token: action.Token, Err: err}, nil
		}
	case messenger.RecordProgress:
		if err := offer(assembler.progressAppends, messenger.Action(action)); err != nil {
			return messenger.ProgressRecorded{Token: action.Token, Serial: action.Serial, Err: err}, nil
		}
	case messenger.OrderMinion:
		ring := assembler.orders
		if _, isPoll := action.Order.(messenger.PollRuns); isPoll {
			ring = assembler.polls
		}
		if err := offer(ring, action); err != nil {
			return messenger.OrderAnswered{Sent: action, SentAt: assembler.clock(), Err: err}, nil
		}
	case messenger.FollowProgress:
		return nil, assembler.progressTailer.Follow(ctx, action.Enabled)
	case messenger.FollowMinions:
		return nil, assembler.minionTailer.Follow(ctx, action.Enabled)
	case messenger.HolderChanged:
		assembler.journalTailer.SetPace(journalPace)
		if action.Token != 0 {
			assembler.journalTailer.SetPace(0) // a pause would delay the start of new jobs
			assembler.journalTailer.Refresh()  // and the takeover
		}
		return nil, assembler.plans.Put(ctx, action)
	case messenger.HolderFenced:
		return nil, assembler.claims.Put(ctx, action)
	case messenger.WaitsComputed:
		_ = assembler.claims.Offer(action) // lost waits are replaced by later ones, or become too old
	case messenger.WaitsRead:
		if assembler.options.Features.EarlyRefusals {
			_ = assembler.entries.Offer(action)
		}
	case messenger.CommandAnswered:
		return nil, assembler.answers.Resolve(ctx, action.Request, action)
	case messenger.Count:
		assembler.exporter.Count(action)
	case messenger.WorkLost:
		assembler.exporter.CountLoss(action)
	case messenger.Decision:
		assembler.exporter.Count(messenger.Count{Counter: messenger.Transitions, Reason: action.Outcome})
		assembler.decisionLog.logDecision(action)
	default:
		return actionDispatcher.callService(action), nil
	}
	return nil, nil
}

// callService queues a call to the VM list or the advice service.
func (actionDispatcher actionDispatcher) callService(action messenger.Action) messenger.Event {
	err := offer(actionDispatcher.assembler.serviceCalls, action)
	if err == nil {
		return nil
	}
	switch action := action.(type) {
	case messenger.MaintainVM:
		return messenger.VMMaintained{Sent: action, Err: err}
	case messenger.ReportWave:
		return messenger.WaveReported{Sent: action, Err: err}
	case messenger.RequestAdvice:
		return messenger.AdviceReceived{Sent: action, Err: err}
	default:
		return messenger.PoolVMsListed{Err: err}
	}
}

func offer[T any](ring *buffer.Ring[T], entry T) *classifier.Error {
	return classifier.Wrap(ring.Offer(entry))
}

// eventSink passes events from I/O duties to the state machines.
type eventSink struct {
	assembler *Assembler
}

// Deliver passes on an event. It waits while a ring is full.
func (eventSink eventSink) Deliver(ctx context.Context, event messenger.Event) error {
	assembler := eventSink.assembler
	switch event := event.(type) {
	case messenger.ClaimRead, messenger.ClaimReadFailed, messenger.ClaimAppended, messenger.DrainArrived:
		return assembler.claims.Put(ctx, event)
	case messenger.EntriesAppended, messenger.JournalReadFailed:
		return assembler.entries.Put(ctx, event)
	case messenger.PolicyRead:
		if assembler.options.Features.EarlyRefusals {
			if err := assembler.entries.Put(ctx, event); err != nil {
				return err
			}
		}
	case messenger.JournalRead:
		if err := assembler.entries.Put(ctx, event); err != nil {
			return err
		}
		// Commands reach the registrar by the same ring, after this reading.
		assembler.readiness.journalReadAt.Store(assembler.clock().UnixNano())
	}
	return assembler.plans.Put(ctx, event)
}
