package assembler

import (
	"context"

	"corianderroad/buffer"
	"corianderroad/classifier"
	"corianderroad/messenger"
)

// carrier takes the actions of the machines to the duties that carry them out.
type carrier struct {
	assembler *Assembler
}

// Carry implements runner.Carrier. A full ring is answered with the event by
// which the machine learns that its action was not carried out.
func (carrier carrier) Carry(ctx context.Context, action messenger.Action) (messenger.Event, error) {
	assembler := carrier.assembler
	switch action := action.(type) {
	case messenger.AppendClaim:
		if err := offer(assembler.claimAppends, action); err != nil {
			return messenger.ClaimAppended{Claim: action.Claim, SentAt: assembler.clock(), Err: err}, nil
		}
	case messenger.AppendEntries:
		if err := offer(assembler.entryAppends, action); err != nil {
			return messenger.EntriesAppended{ID: action.ID, Err: err}, nil
		}
	case messenger.FenceJournal:
		if err := offer(assembler.progressAppends, messenger.Action(action)); err != nil {
			return messenger.JournalFenced{Token: action.Token, Err: err}, nil
		}
	case messenger.RecordProgress:
		if err := offer(assembler.progressAppends, messenger.Action(action)); err != nil {
			return messenger.ProgressRecorded{Token: action.Token, Serial: action.Serial, Err: err}, nil
		}
	case messenger.OrderMinion:
		if err := offer(assembler.orders, action); err != nil {
			return messenger.OrderAnswered{Sent: action, SentAt: assembler.clock(), Err: err}, nil
		}
	case messenger.FollowMinions:
		return nil, assembler.minionTail.Follow(ctx, action.Enabled)
	case messenger.HolderChanged:
		assembler.journalTail.SetPace(journalPace)
		if action.Token != 0 {
			assembler.journalTail.SetPace(0) // a job starts when the holder has read it
		}
		return nil, assembler.plans.Put(ctx, action)
	case messenger.HolderFenced:
		return nil, assembler.claims.Put(ctx, action)
	case messenger.CommandAnswered:
		return nil, assembler.answers.Resolve(ctx, action.Request, action)
	case messenger.Count:
		assembler.exporter.Count(action)
	case messenger.Decision:
		assembler.exporter.Count(messenger.Count{Counter: messenger.Transitions, Reason: action.Outcome})
		assembler.journal.decided(action)
	default:
		return carrier.callService(action), nil
	}
	return nil, nil
}

// callService hands on a call to the VM list or the advice service.
func (carrier carrier) callService(action messenger.Action) messenger.Event {
	err := offer(carrier.assembler.serviceCalls, action)
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

// inlet takes events from I/O duties to the machines.
type inlet struct {
	assembler *Assembler
}

// Deliver hands on an event and waits for room.
func (inlet inlet) Deliver(ctx context.Context, event messenger.Event) error {
	assembler := inlet.assembler
	switch event := event.(type) {
	case messenger.ClaimRead, messenger.ClaimReadFailed, messenger.ClaimAppended, messenger.DrainArrived:
		return assembler.claims.Put(ctx, event)
	case messenger.EntriesAppended, messenger.JournalReadFailed:
		return assembler.entries.Put(ctx, event)
	case messenger.JournalRead:
		if err := assembler.entries.Put(ctx, event); err != nil {
			return err
		}
	}
	return assembler.plans.Put(ctx, event)
}
