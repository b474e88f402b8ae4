package detector

import (
	"cmp"
	"time"

	"corianderroad/messenger"
)

// Parameters are the parameters of a Detector. A zero value selects the default
// in brackets.
type Parameters struct {
	// Seeds are the nodes that are probed in order to join. Their incarnation is
	// not used.
	Seeds []messenger.Identity
	// ProbePeriod is the time between two probes (1 s).
	ProbePeriod time.Duration
	// AnswerTimeout is the time to answer a probe before indirect probes are
	// requested from other members (500 ms).
	AnswerTimeout time.Duration
	// SuspicionTimeout is how long a suspect may refute before it is declared
	// dead (3 s).
	SuspicionTimeout time.Duration
	// UnlistedSuspicionTimeout replaces SuspicionTimeout for a suspect that the
	// VM list does not show as live (1 s).
	UnlistedSuspicionTimeout time.Duration
	// RediscoveryInterval is the time between probes of the same dead member or
	// candidate (10 s).
	RediscoveryInterval time.Duration
	// DeadRetention is how long a dead member is retained. It exceeds the hour
	// for which regions may be partitioned (3 h).
	DeadRetention time.Duration
}

const (
	// maxMembers bounds the table, the node itself included.
	maxMembers = 1024
	// maxChanges bounds the changes of a message.
	maxChanges = 8
	// joinWindow is how long a new member gets all members with each answer: with
	// 8 changes in a message it would take a minute to learn 300 others.
	// maxFullLists bounds these answers per period.
	joinWindow   = 5 * time.Second
	maxFullLists = 4
	// maxPushes bounds the messages per period that carry new changes without
	// waiting for a probe. Each change is pushed to pushTargets members. Probes
	// alone take several seconds to reach 300 members.
	maxPushes   = 6
	pushTargets = 3
	// retransmitFactor determines how often a change is sent: retransmitFactor times
	// the natural logarithm of the number of members.
	retransmitFactor = 3
	// randomChanges is the number of changes in a message that are reserved for
	// random members. They reach nodes that a pending change has missed.
	randomChanges = 1
	// indirectProbes is the number of members requested to probe a target on
	// behalf of this node.
	indirectProbes = 3
	// joinProbes is the number of seeds that a node probes at its start.
	joinProbes = 3
	// drainPushes is the number of members informed at once that the node leaves.
	drainPushes = 16
	// supersededAnswers is the number of consecutive answers to probes without the
	// newer process of this node's name after which the node is no longer superseded.
	// An answer of a member that knows the newer process always contains its record.
	supersededAnswers = 30
	// maxRelays bounds the probes on behalf of other nodes that await an answer.
	maxRelays = 64
	// maxDecisions bounds the recorded changes of state.
	maxDecisions = 256
	// pauseThreshold is the delay of a step beyond its due time from which the
	// node assumes that its own process was paused, so that missing answers are no
	// evidence against others.
	pauseThreshold = 500 * time.Millisecond
)

func (parameters Parameters) withDefaults() Parameters {
	parameters.ProbePeriod = cmp.Or(parameters.ProbePeriod, time.Second)
	parameters.AnswerTimeout = cmp.Or(parameters.AnswerTimeout, 500*time.Millisecond)
	parameters.SuspicionTimeout = cmp.Or(parameters.SuspicionTimeout, 3*time.Second)
	parameters.UnlistedSuspicionTimeout = cmp.Or(parameters.UnlistedSuspicionTimeout, time.Second)
	parameters.RediscoveryInterval = cmp.Or(parameters.RediscoveryInterval, 10*time.Second)
	parameters.DeadRetention = cmp.Or(parameters.DeadRetention, 3*time.Hour)
	return parameters
}
