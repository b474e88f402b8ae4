package assembler

import (
	"context"

	"corianderroad/authorizer"
	"corianderroad/encoder"
	"corianderroad/messenger"
	"corianderroad/platform"
	"corianderroad/tailer"
)

// topicSink receives the records of a topic. A failed read has no effect beyond the log and
// the counters.
type topicSink struct {
	eventSink
	dependency
}

func newTopicSink(assembler *Assembler, topic string) topicSink {
	return topicSink{eventSink{assembler}, dependency{topic: topic}}
}

// Fail implements tailer.Sink.
func (sink *topicSink) Fail(_ context.Context, err error) error {
	sink.recordFailure(sink.assembler, err)
	return nil
}

// policySink receives the operator's records.
type policySink struct {
	topicSink
}

// Deliver implements tailer.Sink.
func (sink *policySink) Deliver(ctx context.Context, reading tailer.Reading) error {
	assembler := sink.assembler
	sink.recordSuccess(assembler)
	read, waves, failures := platform.DecodeOperatorRecords(reading)
	assembler.reportIgnoredRecords(failures)
	current := assembler.authorizer.Load()
	switch {
	case read.Policy != nil && (current == nil || read.Policy.Version > current.Policy().Version):
		current = authorizer.New(read.Policy, read.SentAt, assembler.settings.Bounds.Revocation-revocationMargin)
		assembler.decisionLog.logDecision(messenger.Decision{
			Subject: "configuration", Outcome: "configuration-applied", Reason: "a higher version was read", Version: read.Policy.Version,
			Age: assembler.clock().Sub(read.SentAt),
		})
	case current != nil:
		read.Policy = nil
		current = current.Renew(read.SentAt)
	}
	if current != nil {
		assembler.authorizer.Store(current)
	}
	if read.Policy != nil {
		if err := sink.eventSink.Deliver(ctx, read); err != nil {
			return err
		}
	}
	if len(waves.Waves) > 0 {
		if err := sink.eventSink.Deliver(ctx, waves); err != nil {
			return err
		}
	}
	return sink.deliverEvacuations(ctx, reading)
}

// deliverEvacuations delivers the evacuations of a reading, also of one without any, because
// it tells how recently they were read.
func (sink *policySink) deliverEvacuations(ctx context.Context, reading tailer.Reading) error {
	settings := sink.assembler.settings
	if settings.Bounds.EvacuationTime == 0 {
		return nil
	}
	read, failures := platform.DecodeEvacuations(reading, settings.Zones)
	sink.assembler.reportIgnoredRecords(failures)
	return sink.eventSink.Deliver(ctx, read)
}

// journalSink receives the entries of the journal.
type journalSink struct {
	topicSink
}

// Deliver implements tailer.Sink.
func (sink *journalSink) Deliver(ctx context.Context, reading tailer.Reading) error {
	sink.recordSuccess(sink.assembler)
	read, failures := decodeJournal(reading)
	sink.assembler.reportIgnoredRecords(failures)
	return sink.eventSink.Deliver(ctx, read)
}

// Fail implements tailer.Sink.
func (sink *journalSink) Fail(ctx context.Context, err error) error {
	sink.recordFailure(sink.assembler, err)
	return sink.eventSink.Deliver(ctx, messenger.JournalReadFailed{})
}

// decodeJournal decodes the records of the journal. It returns an error for each
// record that it ignores.
func decodeJournal(reading tailer.Reading) (messenger.JournalRead, []error) {
	read := messenger.JournalRead{End: reading.End, SentAt: reading.SentAt}
	var failures []error
	for _, record := range reading.Records {
		entry, err := encoder.UnmarshalJournalEntry(encoder.KeyedRecord{Key: record.Key, Value: record.Value})
		if err != nil {
			failures = append(failures, err)
		} else if entry != nil {
			read.Entries = append(read.Entries, entry)
		}
	}
	return read, failures
}

// progressSink receives the progress of tasks while this node takes over.
type progressSink struct {
	topicSink
}

// Deliver implements tailer.Sink.
func (sink *progressSink) Deliver(ctx context.Context, reading tailer.Reading) error {
	sink.recordSuccess(sink.assembler)
	read, failures := decodeJournal(reading)
	sink.assembler.reportIgnoredRecords(failures)
	progress := messenger.ProgressRead{End: read.End, Complete: reading.Complete}
	for _, entry := range read.Entries {
		if progressed, ok := entry.(messenger.Progressed); ok {
			progress.Entries = append(progress.Entries, progressed)
		}
	}
	return sink.eventSink.Deliver(ctx, progress)
}

// claimSink receives the claims.
type claimSink struct {
	topicSink
}

// Deliver implements tailer.Sink.
func (sink *claimSink) Deliver(ctx context.Context, reading tailer.Reading) error {
	sink.recordSuccess(sink.assembler)
	read, failures := decodeClaims(reading)
	sink.assembler.reportIgnoredRecords(failures)
	return sink.eventSink.Deliver(ctx, read)
}

// decodeClaims returns the newest claim of the records, and an error for each record
// that it ignores.
func decodeClaims(reading tailer.Reading) (messenger.ClaimRead, []error) {
	read := messenger.ClaimRead{End: reading.End, SentAt: reading.SentAt, RoundTrip: reading.RoundTrip}
	var failures []error
	for _, record := range reading.Records {
		if record.Value == nil {
			continue
		}
		claim, err := encoder.UnmarshalClaim(encoder.KeyedRecord{Key: record.Key, Value: record.Value}, record.Offset)
		if err != nil {
			failures = append(failures, err)
			continue
		}
		read.Claim, read.Offset = &claim, record.Offset
	}
	return read, failures
}

// Fail implements tailer.Sink.
func (sink *claimSink) Fail(ctx context.Context, err error) error {
	sink.recordFailure(sink.assembler, err)
	return sink.eventSink.Deliver(ctx, messenger.ClaimReadFailed{})
}

// minionSink receives the reports of minions.
type minionSink struct {
	topicSink
}

// Deliver implements tailer.Sink.
func (sink *minionSink) Deliver(ctx context.Context, reading tailer.Reading) error {
	sink.recordSuccess(sink.assembler)
	read, failures := platform.DecodeMinionReports(reading)
	sink.assembler.reportIgnoredRecords(failures)
	return sink.eventSink.Deliver(ctx, read)
}

// reportIgnoredRecords logs and counts records that are ignored because they are
// invalid.
func (assembler *Assembler) reportIgnoredRecords(failures []error) {
	for _, err := range failures {
		assembler.exporter.CountIO("record", "unreadable")
		assembler.decisionLog.logDecision(messenger.Decision{Subject: "store", Outcome: "record-ignored", Reason: err.Error()})
	}
}
