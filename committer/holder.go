package committer

import (
	"context"
	"time"

	"corianderroad/buffer"
	"corianderroad/classifier"
	"corianderroad/encoder"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// Progress appends the records of the holder, fenced by the holder's token.
type Progress struct {
	actions  *buffer.Ring[messenger.Action]
	log      Log
	inlet    Inlet
	token    identifier.Term
	sequence uint64
}

// NewProgress returns the duty that performs the actions in the ring, which are
// FenceJournal and RecordProgress.
func NewProgress(actions *buffer.Ring[messenger.Action], log Log, inlet Inlet) *Progress {
	return &Progress{actions: actions, log: log, inlet: inlet}
}

// Run appends until the context ends.
func (progress *Progress) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case action := <-progress.actions.Entries():
			event := progress.perform(ctx, action)
			if err := progress.inlet.Deliver(ctx, event); err != nil {
				return err
			}
		}
	}
}

func (progress *Progress) perform(ctx context.Context, action messenger.Action) messenger.Event {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if fence, ok := action.(messenger.FenceJournal); ok {
		end, err := progress.log.AppendFenced(ctx, identifier.Journal, nil, fence.Token, 0)
		progress.token, progress.sequence = fence.Token, 0
		return messenger.JournalFenced{Token: fence.Token, End: end, Err: classifier.Wrap(err)}
	}
	record := action.(messenger.RecordProgress)
	return messenger.ProgressRecorded{Token: record.Token, Serial: record.Serial, Err: progress.record(ctx, record)}
}

func (progress *Progress) record(ctx context.Context, record messenger.RecordProgress) *classifier.Error {
	if record.Token != progress.token {
		return classifier.New(classifier.StaleTerm, "the journal was not fenced with token %d", record.Token)
	}
	entries := make([]messenger.JournalEntry, 0, len(record.Updates)+len(record.Ended))
	for _, update := range record.Updates {
		entries = append(entries, update)
	}
	for _, ended := range record.Ended {
		ended.Payload = ""
		entries = append(entries, messenger.Submitted{Job: ended})
	}
	var records []encoder.KeyedRecord
	for _, entry := range entries {
		encoded, err := encoder.JournalRecord(entry)
		if err != nil {
			return classifier.Wrap(err)
		}
		records = append(records, encoded)
	}
	for _, job := range record.Deletions {
		records = append(records, encoder.DropRecords(job)...)
	}
	_, err := progress.log.AppendFenced(ctx, identifier.Journal, records, record.Token, progress.sequence)
	if err == nil {
		progress.sequence++
	}
	return classifier.Wrap(err)
}

// Claims appends claims and their renewals.
type Claims struct {
	actions *buffer.Ring[messenger.AppendClaim]
	log     Log
	inlet   Inlet
	clock   func() time.Time
}

// NewClaims returns the duty that performs the actions in the ring.
func NewClaims(actions *buffer.Ring[messenger.AppendClaim], log Log, inlet Inlet, clock func() time.Time) *Claims {
	return &Claims{actions: actions, log: log, inlet: inlet, clock: clock}
}

// claimKey is the only key of the claims topic.
const claimKey = "holder"

// claimTimeout bounds the append of a claim, so that a connection that stops
// responding costs less than the time after which other VMs take over.
const claimTimeout = 600 * time.Millisecond

// Run appends until the context ends.
func (claims *Claims) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case action := <-claims.actions.Entries():
			if err := claims.inlet.Deliver(ctx, claims.perform(ctx, action)); err != nil {
				return err
			}
		}
	}
}

func (claims *Claims) perform(ctx context.Context, action messenger.AppendClaim) messenger.Event {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	sentAt := claims.clock()
	value, err := encoder.ClaimRecord(action.Claim)
	if err != nil {
		return messenger.ClaimAppended{Claim: action.Claim, SentAt: sentAt, Err: classifier.Wrap(err)}
	}
	records := []encoder.KeyedRecord{{Key: claimKey, Value: value}}
	offset, err := claims.log.AppendAt(ctx, identifier.Claims, records, action.At)
	return messenger.ClaimAppended{Claim: action.Claim, Offset: offset, SentAt: sentAt, Err: classifier.Wrap(err)}
}
