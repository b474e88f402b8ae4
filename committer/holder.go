package committer

import (
	"context"
	"time"

	"github.com/pkg/errors"

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

	progress, journal fencedTopic
}

// NewProgressAppender returns the duty that performs the actions in the ring,
// which are FenceJournal and RecordProgress.
func NewProgressAppender(actions *buffer.Ring[messenger.Action], store Store, limits Limits, eventSink EventSink) *ProgressAppender {
	return &ProgressAppender{
		actions: actions, store: store, eventSink: eventSink,
		progress: fencedTopic{topic: identifier.Progress, limits: limits}, journal: fencedTopic{topic: identifier.Journal, limits: limits},
	}
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
		return progressAppender.fence(ctx, fence.Token)
	}
	record := action.(messenger.RecordProgress)
	unrecordable, err := progressAppender.record(ctx, record)
	return messenger.ProgressRecorded{Token: record.Token, Serial: record.Serial, Err: err, Unrecordable: unrecordable}
}

// fence sets the token of the topics that the holder writes.
func (progressAppender *ProgressAppender) fence(ctx context.Context, token identifier.Term) messenger.JournalFenced {
	progressAppender.token = token
	fenced := messenger.JournalFenced{Token: token}
	var err error
	if fenced.ProgressEnd, err = progressAppender.progress.fence(ctx, progressAppender.store, token); err == nil {
		fenced.End, err = progressAppender.journal.fence(ctx, progressAppender.store, token)
	}
	fenced.Err = classifier.Wrap(err)
	return fenced
}

// record makes the progress durable first. A state in the journal is final for other
// nodes, and the progress must not lack what it rests on. It returns the job whose
// progress the store will never take, if that is why it failed.
func (progressAppender *ProgressAppender) record(ctx context.Context, record messenger.RecordProgress) (identifier.Job, *classifier.Error) {
	if record.Token != progressAppender.token {
		return "", classifier.New(classifier.StaleTerm, "the journal was not fenced with token %d", record.Token)
	}
	records, err := progressRecords(record)
	if err == nil {
		err = progressAppender.progress.append(ctx, progressAppender.store, record.Serial, records, record.Token)
	}
	if refused := (*refusedRecord)(nil); errors.As(err, &refused) {
		if refused.index < len(record.Updates) {
			return record.Updates[refused.index].Job, refused.err
		}
		return "", refused.err
	}
	if err != nil {
		return "", classifier.Wrap(err)
	}
	records, err = journalRecords(record)
	if err == nil {
		err = progressAppender.journal.append(ctx, progressAppender.store, record.Serial, records, record.Token)
	}
	return "", classifier.Wrap(err)
}

// progressRecords returns the part of a record that only holders read.
func progressRecords(record messenger.RecordProgress) ([]encoder.KeyedRecord, error) {
	records, err := marshalProgress(record.Updates)
	for _, part := range record.Expired {
		records = append(records, encoder.ProgressDeletionRecord(part))
	}
	return records, err
}

// journalRecords returns the part of a record that all nodes read.
func journalRecords(record messenger.RecordProgress) ([]encoder.KeyedRecord, error) {
	records, err := marshalProgress(record.States)
	if err != nil {
		return nil, err
	}
	for _, ended := range record.Ended {
		ended.Payload = ""
		encoded, err := encoder.MarshalJournalEntry(messenger.Submitted{Job: ended})
		if err != nil {
			return nil, err
		}
		records = append(records, encoded)
	}
	for _, job := range record.Deletions {
		records = append(records, encoder.DeletionRecords(job)...)
	}
	for _, tombstone := range record.Tombstones {
		records = append(records, encoder.TombstoneDeletionRecord(tombstone))
	}
	return records, nil
}

func marshalProgress(entries []messenger.Progressed) ([]encoder.KeyedRecord, error) {
	records := make([]encoder.KeyedRecord, 0, len(entries))
	for _, entry := range entries {
		encoded, err := encoder.MarshalJournalEntry(entry)
		if err != nil {
			return nil, err
		}
		records = append(records, encoded)
	}
	return records, nil
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
