package encoder_test

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"corianderroad/classifier"
	"corianderroad/commander"
	"corianderroad/encoder"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// drawRecord returns a record of any kind with all fields set.
func drawRecord(t *rapid.T) messenger.Record {
	text := func(label string) string { return rapid.StringN(0, 8, -1).Draw(t, label) }
	number := func(label string) uint64 { return rapid.Uint64().Draw(t, label) }
	at := func(label string) time.Time {
		return time.Unix(0, rapid.Int64Range(1, 1<<62).Draw(t, label)).UTC()
	}
	spec := commander.JobSpec{
		Job: identifier.Job("j" + text("job")), Workspace: identifier.Workspace("w" + text("workspace")), Region: identifier.Region(text("region")),
		Shape:   commander.Shape{Members: rapid.IntRange(1, commander.MaxGangMembers).Draw(t, "members"), Accelerators: 3, Adjacency: commander.SameRack},
		RunTime: time.Duration(number("run time") % uint64(commander.MaxRunTime)), Urgent: rapid.Bool().Draw(t, "urgent"),
	}
	outcome := messenger.Outcome{Job: spec.Job, Code: classifier.Code(number("code")), Reason: text("reason"), Cancelled: true}
	claim := messenger.RegionClaim{Region: spec.Region, Node: identifier.Node(text("node")), Incarnation: identifier.Incarnation(number("incarnation"))}
	applied := []messenger.AppliedEntry{{ID: text("id"), At: at("at")}}
	snapshot := messenger.Snapshot{Covered: identifier.Offset(number("covered")), Digest: number("digest"), Part: 1, Parts: 2}
	body := rapid.SliceOfN(rapid.Byte(), 1, 9).Draw(t, "text")
	switch rapid.IntRange(0, 8).Draw(t, "kind") {
	case 0:
		return messenger.Publication{Organisation: identifier.Organisation(text("organisation")), Base: identifier.Offset(number("base")), Text: body}
	case 1:
		return messenger.Approval{Organisation: identifier.Organisation(text("organisation")), Publication: identifier.Offset(number("publication"))}
	case 2:
		return messenger.Submission{Spec: spec}
	case 3:
		return messenger.Cancellation{Job: spec.Job, Workspace: spec.Workspace}
	case 4:
		return outcome
	case 5:
		return claim
	case 6:
		return messenger.Intent{Key: identifier.Key(text("key")), Request: identifier.Request(text("request")), Node: claim.Node, Incarnation: claim.Incarnation}
	case 7:
		snapshot.State = messenger.ConfigurationState{
			Version:       identifier.Offset(number("version")),
			Organisations: []messenger.PublishedText{{Organisation: "a", Version: 3, Text: body}},
			Pending:       []messenger.PendingText{{Publication: 4, Organisation: "b", Text: body, Approvals: []identifier.Organisation{"a", "c"}}},
			Applied:       applied,
		}
	default:
		ended := messenger.JobState{Spec: spec, Offset: 5, AcceptedAt: at("accepted"), CancelledAt: 6, EndedAt: at("ended"), Outcome: outcome}
		open := messenger.JobState{Spec: spec, Offset: 7, AcceptedAt: at("accepted")}
		snapshot.State = messenger.JobsState{
			Jobs: []messenger.JobState{ended, open}, Claims: []messenger.ClaimState{{Claim: claim, Term: 8}}, Applied: applied,
		}
	}
	return snapshot
}

// TestBatchRoundTrip guards against a field that the encoding loses: all nodes would
// then apply a record other than the written one.
func TestBatchRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) messenger.Entry {
			return messenger.Entry{ID: rapid.String().Draw(t, "id"), Record: drawRecord(t)}
		}), 1, 4).Draw(t, "entries")
		payload, err := encoder.MarshalBatch(entries)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := encoder.UnmarshalBatch(payload)
		if err != nil || len(decoded.Refused) > 0 || !reflect.DeepEqual(decoded.Entries, entries) {
			t.Fatalf("got %+v, error %v, want %+v", decoded, err, entries)
		}
		if _, err := encoder.UnmarshalBatch(payload[:len(payload)-1]); classifier.CodeOf(err) != classifier.BadFrame {
			t.Fatalf("truncated payload: got error %v, want BadFrame", err)
		}
	})
}

// FuzzUnmarshalBatch guards against a payload that makes the decoder panic, and
// against a decoded batch that can't be encoded again.
func FuzzUnmarshalBatch(f *testing.F) {
	seed, _ := encoder.MarshalBatch([]messenger.Entry{{ID: "1", Record: messenger.Cancellation{Job: "j"}}})
	f.Add(seed)
	f.Add([]byte("\x81\xa7entries\xdd\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, payload []byte) {
		batch, err := encoder.UnmarshalBatch(payload)
		if err != nil {
			if classifier.CodeOf(err) != classifier.BadFrame {
				t.Fatalf("got error %v, want code BadFrame", err)
			}
			return
		}
		if _, err := encoder.MarshalBatch(batch.Entries); err != nil {
			t.Fatal(err)
		}
	})
}
