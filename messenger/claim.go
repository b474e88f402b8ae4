package messenger

import (
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
)

// Claim records which entry VM is the holder.
type Claim struct {
	Node        identifier.Node
	Incarnation identifier.Incarnation
	// Token is the fencing token. It is zero in the first record of a claim, whose
	// token is the offset of that record plus one.
	Token identifier.Term
	// Serial numbers the records of one claim.
	Serial uint64
	// Released means that the holder has given up the claim.
	Released bool
	// Waits are published with renewals, nil if there are none.
	Waits *QueueWaits
}

// ClaimRead is the result of a successful read of the claims.
type ClaimRead struct {
	// Claim is the newest record, nil if the read returned none.
	Claim *Claim
	// Offset is the offset of that record.
	Offset identifier.Offset
	// End is the offset after the last record.
	End    identifier.Offset
	SentAt time.Time
	// RoundTrip is the duration of the read without the wait for records.
	RoundTrip time.Duration
}

// ClaimReadFailed reports that a read of the claims got no answer.
type ClaimReadFailed struct{}

// AppendClaim appends a claim on condition that the claims end at offset At.
type AppendClaim struct {
	Claim Claim
	At    identifier.Offset
}

// ClaimAppended is the one answer to AppendClaim.
type ClaimAppended struct {
	Claim  Claim
	Offset identifier.Offset
	SentAt time.Time
	// Err has code Conflict if the claims ended at another offset.
	Err *classifier.Error
}

// HolderChanged reports to the planner whether this node is the holder, and
// when the request that last confirmed this was sent.
type HolderChanged struct {
	// Token is zero if this node is not the holder.
	Token       identifier.Term
	ConfirmedAt time.Time
	// Fence rises with each renewal of the claim. It is at least Token and lower than the
	// token of every later claim.
	Fence identifier.Term
	// Leaving means that the node is about to release the claim.
	Leaving bool
}

// HolderFenced reports to the claimer that a request was refused because a
// newer token exists.
type HolderFenced struct {
	Token identifier.Term
}

func (ClaimRead) event()       {}
func (ClaimReadFailed) event() {}
func (ClaimAppended) event()   {}
func (HolderChanged) event()   {}
func (HolderFenced) event()    {}

func (AppendClaim) action()   {}
func (HolderChanged) action() {}
func (HolderFenced) action()  {}
