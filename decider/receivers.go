package decider

import (
	"corianderroad/commander"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// InternalReceivers returns the duties that receive an action of a state machine
// as an event. An action without such receivers is external: an I/O duty performs
// it.
func InternalReceivers(action messenger.Action) []Duty {
	switch action.(type) {
	case messenger.MembersChanged:
		return []Duty{Application, Routing, Scheduling}
	case messenger.HeartbeatReceived:
		return []Duty{Application, Routing}
	case messenger.ConfigurationChanged:
		return []Duty{Routing, Scheduling}
	case messenger.DigestChanged, messenger.LoadChanged:
		return []Duty{Detection}
	case messenger.IntentApplied:
		return []Duty{Routing}
	case messenger.JobAccepted, messenger.JobCancelled, messenger.JobEnded, messenger.ClaimApplied, messenger.JobsCaughtUp:
		return []Duty{Scheduling}
	default:
		return nil
	}
}

// EventReceivers returns the duties that receive an event from outside the state
// machines.
func EventReceivers(event messenger.Event) []Duty {
	switch event := event.(type) {
	case messenger.PeerReceived:
		return peerReceivers(event.Message)
	case messenger.PeerSendFailed:
		return peerReceivers(event.Message)
	case messenger.CommandArrived:
		return commandReceivers(event.Command)
	case messenger.VMsListed:
		return []Duty{Detection, Routing, Scheduling}
	case messenger.DrainArrived:
		return []Duty{Detection, Routing, Scheduling}
	case messenger.AppendRead, messenger.StreamEndReached, messenger.StreamUnavailable:
		return []Duty{Application}
	case messenger.AppendFailed:
		return streamReceivers(event.Stream)
	case messenger.CallArrived, messenger.CallerDisconnected, messenger.MinionAnswered, messenger.SlotsAnswered:
		return []Duty{Routing}
	case messenger.WorkerAnswered:
		return []Duty{Scheduling}
	default:
		return nil
	}
}

func peerReceivers(message messenger.Peer) []Duty {
	switch message.(type) {
	case messenger.Probe, messenger.ProbeAnswer, messenger.ProbeRequest, messenger.ProbeReport:
		return []Duty{Detection}
	case messenger.EntriesRequest, messenger.EntriesResponse:
		return []Duty{Application}
	case messenger.Forward, messenger.ForwardAnswer, messenger.ForwardCancel,
		messenger.OutcomeRequest, messenger.OutcomeResponse:
		return []Duty{Routing}
	default:
		return nil
	}
}

func commandReceivers(command commander.Command) []Duty {
	switch command.(type) {
	case commander.Drain:
		return []Duty{Detection}
	default:
		return []Duty{Application}
	}
}

func streamReceivers(stream identifier.Stream) []Duty {
	switch stream {
	case identifier.Intents:
		return []Duty{Routing}
	case identifier.Jobs:
		return []Duty{Application, Scheduling}
	default:
		return []Duty{Application}
	}
}
