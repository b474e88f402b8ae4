package assembler

import (
	"context"

	"corianderroad/authorizer"
	"corianderroad/encoder"
	"corianderroad/messenger"
	"corianderroad/platform"
	"corianderroad/tailer"
)

// policySink takes what the operator wrote.
type policySink struct {
	inlet
	dependency
}

// Deliver implements tailer.Sink.
func (sink *policySink) Deliver(ctx context.Context, reading tailer.Reading) error {
	assembler := sink.assembler
	sink.heard(assembler)
	read, waves, failures := platform.OperatorEvents(reading)
	assembler.unreadable(failures)
	known := assembler.authorizer.Load()
	switch {
	case read.Policy != nil && (known == nil || read.Policy.Version > known.Policy().Version):
		known = authorizer.New(read.Policy, read.SentAt, assembler.settings.Bounds.Revocation-freshMargin)
		assembler.journal.decided(messenger.Decision{
			Subject: "configuration", Outcome: "configuration-applied", Reason: "a higher version was read", Version: read.Policy.Version,
			Age: assembler.clock().Sub(read.SentAt),
		})
	case known != nil:
		read.Policy = nil
		known = known.Renew(read.SentAt)
	}
	if known != nil {
		assembler.authorizer.Store(known)
	}
	if read.Policy != nil {
		if err := sink.inlet.Deliver(ctx, read); err != nil {
			return err
		}
	}
	if len(waves.Waves) > 0 {
		return sink.inlet.Deliver(ctx, waves)
	}
	return nil
}

// Fail implements tailer.Sink.
func (sink *policySink) Fail(_ context.Context, err error) error {
	sink.lost(sink.assembler, err)
	return nil
}

// journalSink takes the entries of the journal.
type journalSink struct {
	inlet
	dependency
}

// Deliver implements tailer.Sink.
func (sink *journalSink) Deliver(ctx context.Context, reading tailer.Reading) error {
	sink.heard(sink.assembler)
	sink.assembler.readiness.journalAt.Store(sink.assembler.clock().UnixNano())
	read := messenger.JournalRead{End: reading.End, SentAt: reading.SentAt}
	var failures []error
	for _, record := range reading.Records {
		entry, err := encoder.JournalEntry(encoder.KeyedRecord{Key: record.Key, Value: record.Value})
		if err != nil {
			failures = append(failures, err)
		} else if entry != nil {
			read.Entries = append(read.Entries, entry)
		}
	}
	sink.assembler.unreadable(failures)
	return sink.inlet.Deliver(ctx, read)
}

// Fail implements tailer.Sink.
func (sink *journalSink) Fail(ctx context.Context, err error) error {
	sink.lost(sink.assembler, err)
	return sink.inlet.Deliver(ctx, messenger.JournalReadFailed{})
}

// claimSink takes the claims.
type claimSink struct {
	inlet
	dependency
}

// Deliver implements tailer.Sink.
func (sink *claimSink) Deliver(ctx context.Context, reading tailer.Reading) error {
	sink.heard(sink.assembler)
	read := messenger.ClaimRead{End: reading.End, SentAt: reading.SentAt, RoundTrip: reading.RoundTrip}
	var failures []error
	for _, record := range reading.Records {
		if record.Value == nil {
			continue
		}
		claim, err := encoder.Claim(record.Value)
		if err != nil {
			failures = append(failures, err)
			continue
		}
		read.Claim, read.Offset = &claim, record.Offset
	}
	sink.assembler.unreadable(failures)
	return sink.inlet.Deliver(ctx, read)
}

// Fail implements tailer.Sink.
func (sink *claimSink) Fail(ctx context.Context, err error) error {
	sink.lost(sink.assembler, err)
	return sink.inlet.Deliver(ctx, messenger.ClaimReadFailed{})
}

// minionSink takes the reports of minions.
type minionSink struct {
	inlet
	dependency
}

// Deliver implements tailer.Sink.
func (sink *minionSink) Deliver(ctx context.Context, reading tailer.Reading) error {
	sink.heard(sink.assembler)
	read, failures := platform.MinionEvents(reading)
	sink.assembler.unreadable(failures)
	if !read.Complete && len(read.Reports) == 0 && len(read.Removed) == 0 {
		return nil
	}
	return sink.inlet.Deliver(ctx, read)
}

// Fail implements tailer.Sink.
func (sink *minionSink) Fail(_ context.Context, err error) error {
	sink.lost(sink.assembler, err)
	return nil
}

// unreadable logs and counts records that change nothing.
func (assembler *Assembler) unreadable(failures []error) {
	for _, err := range failures {
		assembler.exporter.CountIO("record", "unreadable")
		assembler.journal.decided(messenger.Decision{Subject: "store", Outcome: "record-ignored", Reason: err.Error()})
	}
}
