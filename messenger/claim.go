package messenger

import (
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
)

// Claim says which entry VM is the holder.
type Claim struct {
	Node        identifier.Node
	Incarnation identifier.Incarnation
	// Token is zero in a holder's first record: the token is then that record's
	// offset plus one.
	Token identifier.Term
	// Serial numbers the records of one claim.
	Serial uint64
	// Released means that the holder has given up the claim.
	Released bool
}

// ClaimRead is a completed read of the claims.
type ClaimRead struct {
	// Claim is the newest record, nil if the read brought none.
	Claim *Claim
	// Offset is that record's.
	Offset identifier.Offset
	// End is the offset after the last record.
	End    identifier.Offset
	SentAt time.Time
	// RoundTrip is how long the read took beyond the wait for records.
	RoundTrip time.Duration
}

// ClaimReadFailed says that a read of the claims brought no answer.
type ClaimReadFailed struct{}

// AppendClaim appends a claim if the claims end at the given offset.
type AppendClaim struct {
	Claim Claim
	At    identifier.Offset
}

// ClaimAppended is the one answer to AppendClaim.
type ClaimAppended struct {
	Claim  Claim
	Offset identifier.Offset
	SentAt time.Time
	// Err has code Conflict if the claims ended elsewhere.
	Err *classifier.Error
}

// HolderChanged tells the planner whether this node is the holder, and when
// the newest confirmation of that was sent.
type HolderChanged struct {
	// Token is zero if this node is not the holder.
	Token       identifier.Term
	ConfirmedAt time.Time
	// Leaving means that the node is about to release the claim.
	Leaving bool
}

// HolderFenced tells the claimer that a newer token was met.
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
