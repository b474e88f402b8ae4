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

// ProgressAppender appends the records of the holder, fenced by the holder's
// token.
type ProgressAppender struct {
	actions   *buffer.Ring[messenger.Action]
	store     Store
	eventSink EventSink
	token     identifier.Term
	sequence  uint64
}

// NewProgressAppender returns the duty that performs the actions in the ring,
// which are FenceJournal and RecordProgress.
func NewProgressAppender(actions *buffer.Ring[messenger.Action], store Store, eventSink EventSink) *ProgressAppender {
	return &ProgressAppender{actions: actions, store: store, eventSink: eventSink}
}

// Run appends until the context ends.
func (progressAppender *ProgressAppender) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case action := <-progressAppender.actions.Entries():
			event := progressAppender.perform(ctx, action)
			if err := progressAppender.eventSink.Deliver(ctx, event); err != nil {
				return err
			}
		}
	}
}

func (progressAppender *ProgressAppender) perform(ctx context.Context, action messenger.Action) messenger.Event {
	if fence, ok := action.(messenger.FenceJournal); ok {
		ctx, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		end, err := progressAppender.store.AppendFenced(ctx, identifier.Journal, nil, fence.Token, 0)
		progressAppender.token, progressAppender.sequence = fence.Token, 0
		return messenger.JournalFenced{Token: fence.Token, End: end, Err: classifier.Wrap(err)}
	}
	record := action.(messenger.RecordProgress)
	return messenger.ProgressRecorded{Token: record.Token, Serial: record.Serial, Err: progressAppender.record(ctx, record)}
}

func (progressAppender *ProgressAppender) record(ctx context.Context, record messenger.RecordProgress) *classifier.Error {
	if record.Token != progressAppender.token {
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
		encoded, err := encoder.MarshalJournalEntry(entry)
		if err != nil {
			return classifier.Wrap(err)
		}
		records = append(records, encoded)
	}
	for _, job := range record.Deletions {
		records = append(records, encoder.DeletionRecords(job)...)
	}
	ctx, cancel := context.WithTimeout(ctx, timeoutOf(records))
	defer cancel()
	_, err := progressAppender.store.AppendFenced(ctx, identifier.Journal, records, record.Token, progressAppender.sequence)
	if err == nil {
		progressAppender.sequence++
	}
	return classifier.Wrap(err)
}

// ClaimAppender appends claims and their renewals.
type ClaimAppender struct {
	actions   *buffer.Ring[messenger.AppendClaim]
	store     Store
	eventSink EventSink
	clock     func() time.Time
}

// NewClaimAppender returns the duty that performs the actions in the ring.
func NewClaimAppender(actions *buffer.Ring[messenger.AppendClaim], store Store, eventSink EventSink, clock func() time.Time) *ClaimAppender {
	return &ClaimAppender{actions: actions, store: store, eventSink: eventSink, clock: clock}
}

// claimTimeout bounds the append of a claim, so that a connection that stops
// responding costs less than the time after which other VMs take over.
const claimTimeout = 600 * time.Millisecond

// Run appends until the context ends.
func (claimAppender *ClaimAppender) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case action := <-claimAppender.actions.Entries():
			if err := claimAppender.eventSink.Deliver(ctx, claimAppender.perform(ctx, action)); err != nil {
				return err
			}
		}
	}
}

func (claimAppender *ClaimAppender) perform(ctx context.Context, action messenger.AppendClaim) messenger.Event {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	sentAt := claimAppender.clock()
	record, err := encoder.MarshalClaim(action.Claim)
	if err != nil {
		return messenger.ClaimAppended{Claim: action.Claim, SentAt: sentAt, Err: classifier.Wrap(err)}
	}
	offset, err := claimAppender.store.AppendAt(ctx, identifier.Claims, []encoder.KeyedRecord{record}, action.At)
	return messenger.ClaimAppended{Claim: action.Claim, Offset: offset, SentAt: sentAt, Err: classifier.Wrap(err)}
}
