package detector

import (
	"cmp"
	"time"

	"corianderroad/messenger"
)

// Parameters are the parameters of a Detector. Zero values stand for the
// defaults in brackets.
type Parameters struct {
	// Seeds are nodes to join through. Their incarnation is not used.
	Seeds []messenger.Identity
	// Period is the time between two probes (1 s).
	Period time.Duration
	// AnswerWithin is when an unanswered probe is repeated through other
	// members (500 ms).
	AnswerWithin time.Duration
	// SuspectFor is how long a suspect may refute before it is dead (3 s).
	SuspectFor time.Duration
	// UnlistedFor replaces SuspectFor for a suspect that the VM list does not
	// show as live (1 s).
	UnlistedFor time.Duration
	// RediscoverEvery is the time between probes of the same dead member or
	// candidate (10 s).
	RediscoverEvery time.Duration
	// ForgetAfter is how long a dead member is kept. It exceeds the hour for
	// which regions may be partitioned (3 h).
	ForgetAfter time.Duration
}

const (
	// maxMembers bounds the table, the node itself included.
	maxMembers = 1024
	// maxChanges bounds the changes of a message.
	maxChanges = 8
	// joinTime is how long a new member gets all members with each answer: with
	// 8 changes in a message it would learn 300 others in a minute only. lists
	// bounds these answers per period.
	joinTime = 5 * time.Second
	lists    = 4
	// pushes bounds the messages per period that carry fresh changes ahead of
	// the probes; each change goes to pushTargets members at once. Probes alone
	// take several seconds to reach 300 members.
	pushes      = 6
	pushTargets = 3
	// spreadFactor times the natural logarithm of the number of members is how
	// often a change is sent.
	spreadFactor = 3
	// refreshes is how many changes of a message are members at random, also
	// while many changes wait. They reach members that a change has missed.
	refreshes = 1
	// helpers is the number of members that probe on another's behalf.
	helpers = 3
	// joinProbes is the number of seeds that a node probes at its start.
	joinProbes = 3
	// drainPushes is the number of members that learn at once that the node leaves.
	drainPushes = 16
	// maxRelays bounds the probes on behalf of others that await an answer.
	maxRelays = 64
	// maxDecisions bounds the record of changes of state.
	maxDecisions = 256
	// stall is the lateness of a step from which on the node assumes that it
	// was paused itself, so that missing answers are no evidence against others.
	stall = 500 * time.Millisecond
)

func (parameters Parameters) withDefaults() Parameters {
	parameters.Period = cmp.Or(parameters.Period, time.Second)
	parameters.AnswerWithin = cmp.Or(parameters.AnswerWithin, 500*time.Millisecond)
	parameters.SuspectFor = cmp.Or(parameters.SuspectFor, 3*time.Second)
	parameters.UnlistedFor = cmp.Or(parameters.UnlistedFor, time.Second)
	parameters.RediscoverEvery = cmp.Or(parameters.RediscoverEvery, 10*time.Second)
	parameters.ForgetAfter = cmp.Or(parameters.ForgetAfter, 3*time.Hour)
	return parameters
}
