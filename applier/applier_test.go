package applier

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/classifier"
	"corianderroad/commander"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/querier"
)

var start = time.Unix(1_800_000_000, 0).UTC()

// bench is one applier with a log that the test writes itself.
type bench struct {
	*Applier
	now     time.Time
	offsets map[identifier.Stream]identifier.Offset
}

func newBench(parameters Parameters) *bench {
	identity := messenger.Identity{Node: "node-b", Incarnation: 7, Region: "gulf"}
	return &bench{New(identity, parameters), start, map[identifier.Stream]identifier.Offset{}}
}

func (bench *bench) caughtUp() *bench {
	for _, stream := range worldStreams {
		bench.Step(bench.now, messenger.StreamEndReached{Stream: stream, Next: bench.stream(stream).applied + 1, At: bench.now})
	}
	return bench
}

// read folds one record under a new ID.
func (bench *bench) read(stream identifier.Stream, record messenger.Record) []messenger.Action {
	return bench.readAs(stream, fmt.Sprintf("%s/%d", stream, bench.offsets[stream]), record)
}

func (bench *bench) readAs(stream identifier.Stream, id string, record messenger.Record) []messenger.Action {
	bench.offsets[stream]++
	return bench.Step(bench.now, messenger.AppendRead{
		Stream: stream, Offset: bench.offsets[stream], AppendedAt: bench.now, Entries: []messenger.Entry{{ID: id, Record: record}},
	})
}

// find returns the first action of a type.
func find[T messenger.Action](actions []messenger.Action) (found T, ok bool) {
	for _, action := range actions {
		if found, ok = action.(T); ok {
			return found, true
		}
	}
	return found, false
}

func (bench *bench) command(command commander.Command) (messenger.CommandAnswered, bool) {
	return find[messenger.CommandAnswered](bench.Step(bench.now, messenger.CommandArrived{Request: "r", Command: command}))
}

func job(name identifier.Job) commander.JobSpec {
	return commander.JobSpec{Job: name, Workspace: "clubs", Region: "gulf", Shape: commander.Shape{Members: 1}}
}

// TestDoubledClaimKeepsItsTerm guards against a claim that was appended twice
// and would depose its own holder.
func TestDoubledClaimKeepsItsTerm(t *testing.T) {
	c := quicktest.New(t)
	bench := newBench(testParameters).caughtUp()
	claim := messenger.RegionClaim{Region: "gulf", Node: "node-a"}
	folded, _ := find[messenger.ClaimApplied](bench.readAs(identifier.Jobs, "claim", claim))
	c.Assert(folded.Term, quicktest.Equals, identifier.Term(1))
	_, again := find[messenger.ClaimApplied](bench.readAs(identifier.Jobs, "claim", claim))
	c.Assert(again, quicktest.IsFalse)
}

// TestConflictNamesTheDifference guards against a refused operator who is not
// told what the other publication changed.
func TestConflictNamesTheDifference(t *testing.T) {
	c := quicktest.New(t)
	bench := newBench(testParameters).caughtUp()
	bench.read(identifier.Configuration, messenger.Publication{Organisation: "ash", Text: []byte("ash rota\nplanner\n")})
	answered, _ := bench.command(commander.Publish{Organisation: "ash", Text: []byte("ash rota\nseals\n")})
	c.Assert(answered.Err.Code, quicktest.Equals, classifier.Conflict)
	c.Assert(answered.Err.Message, quicktest.Equals, "based on version 0, the current version is 1:\n- planner\n+ seals")
}

// TestNamesBelongToOneMember guards against an organisation that takes over
// another's service by publishing its name.
func TestNamesBelongToOneMember(t *testing.T) {
	c := quicktest.New(t)
	bench := newBench(testParameters).caughtUp()
	bench.read(identifier.Configuration, messenger.Publication{Organisation: "ash", Text: []byte("ash rota")})
	bench.read(identifier.Configuration, messenger.Publication{Organisation: "birch", Text: []byte("birch rota")})
	c.Assert(bench.configuration.texts, quicktest.HasLen, 1)
	answer := bench.View(bench.now, querier.Query{Kind: querier.Explain, Subject: "birch"})
	c.Assert(answer.Decisions[0].Reason, quicktest.Equals, "invalid-text")
}

// TestPendingIsVisible guards against a newcomer whose operators can't see whose
// approval is missing.
func TestPendingIsVisible(t *testing.T) {
	c := quicktest.New(t)
	bench := newBench(testParameters).caughtUp()
	bench.read(identifier.Configuration, messenger.Publication{Organisation: "cedar", Text: []byte("cedar seals")})
	bench.read(identifier.Configuration, messenger.Approval{Organisation: "ash", Publication: 1})
	rows := bench.View(bench.now, querier.Query{Kind: querier.Status}).Configuration
	c.Assert(rows[2], quicktest.DeepEquals, querier.Organisation{
		Organisation: "cedar", Pending: 1, Missing: []identifier.Organisation{"birch"},
	})
	actions := bench.read(identifier.Configuration, messenger.Approval{Organisation: "birch", Publication: 1})
	changed, _ := find[messenger.ConfigurationChanged](actions)
	c.Assert(changed.Configuration.Organisations[0].Version, quicktest.Equals, identifier.Offset(1))
	c.Assert(changed.Configuration.Version, quicktest.Equals, identifier.Offset(3))
}

// TestCommandsThatNeedTheLog guards against a command that is accepted, or left
// without an honest answer, when the log is silent, fails or loses the record.
func TestCommandsThatNeedTheLog(t *testing.T) {
	c := quicktest.New(t)
	bench := newBench(testParameters)
	answered, _ := bench.command(commander.Submit{Workspace: "clubs", Job: job("a")})
	c.Assert(answered.Err.Code, quicktest.Equals, classifier.NotReady)
	bench.caughtUp()
	_, answeredNow := bench.command(commander.Submit{Workspace: "clubs", Job: job("a")})
	c.Assert(answeredNow, quicktest.IsFalse)
	bench.now = bench.now.Add(21 * time.Second)
	answered, _ = find[messenger.CommandAnswered](bench.Step(bench.now, messenger.Tick{}))
	c.Assert(answered.Err.Code, quicktest.Equals, classifier.OutcomeUnknown)
	bench.caughtUp().Step(bench.now, messenger.StreamUnavailable{Stream: identifier.Jobs})
	answered, _ = bench.command(commander.Submit{Workspace: "clubs", Job: job("a")})
	c.Assert(answered.Err.Code, quicktest.Equals, classifier.LogUnavailable)
	c.Assert(answered.Err.RetryAfter > 0, quicktest.IsTrue)
	bench.now = bench.now.Add(8 * time.Second)
	c.Assert(bench.ready(bench.now), quicktest.IsFalse)
	bench.Step(bench.now, messenger.HeartbeatReceived{Node: "node-a"})
	c.Assert(bench.ready(bench.now), quicktest.IsTrue)
}

// TestAppendFailureAnswersWithItsFate guards against an answer "not run" for a
// record that may be in the log.
func TestAppendFailureAnswersWithItsFate(t *testing.T) {
	c := quicktest.New(t)
	for _, fate := range []classifier.Execution{classifier.NotRun, classifier.Unknown} {
		bench := newBench(testParameters).caughtUp()
		actions := bench.Step(bench.now, messenger.CommandArrived{Request: "r", Command: commander.Submit{Workspace: "clubs", Job: job("a")}})
		record, _ := find[messenger.AppendRecord](actions)
		failed := messenger.AppendFailed{Stream: identifier.Jobs, ID: record.Entry.ID, Code: classifier.LogUnavailable, Execution: fate}
		answered, _ := find[messenger.CommandAnswered](bench.Step(bench.now, failed))
		c.Assert(answered.Err.Code.Execution(), quicktest.Equals, fate)
	}
}

// TestSubmissionIsIdempotentByName guards against a repetition that runs twice
// and against another job that is taken for a repetition.
func TestSubmissionIsIdempotentByName(t *testing.T) {
	c := quicktest.New(t)
	bench := newBench(testParameters).caughtUp()
	bench.read(identifier.Jobs, messenger.Submission{Spec: job("a")})
	anywhere := job("a")
	anywhere.Region = ""
	answered, _ := bench.command(commander.Submit{Workspace: "clubs", Job: anywhere})
	c.Assert(answered.Err == nil, quicktest.IsTrue)
	c.Assert(answered.Offset, quicktest.Equals, identifier.Offset(1))
	other := job("a")
	other.Shape.Members = 2
	answered, _ = bench.command(commander.Submit{Workspace: "clubs", Job: other})
	c.Assert(answered.Err.Code, quicktest.Equals, classifier.JobExists)
	answered, _ = bench.command(commander.Cancel{Workspace: "county", Job: "a"})
	c.Assert(answered.Err.Code, quicktest.Equals, classifier.Forbidden)
	bench.read(identifier.Jobs, messenger.Outcome{Job: "a", Code: classifier.Infeasible, Reason: "too large"})
	answered, _ = bench.command(commander.Cancel{Workspace: "clubs", Job: "a"})
	c.Assert(answered.Err.Code, quicktest.Equals, classifier.JobEnded)
	row := bench.View(bench.now, querier.Query{Kind: querier.Status, Workspace: "clubs"}).Jobs[0]
	c.Assert([]string{row.State, row.Reason}, quicktest.DeepEquals, []string{"infeasible", "too large"})
	c.Assert(bench.View(bench.now, querier.Query{Kind: querier.Status, Workspace: "county"}).Jobs, quicktest.HasLen, 0)
	bench.now = bench.now.Add(25 * time.Hour)
	bench.read(identifier.Jobs, messenger.Submission{Spec: job("b")})
	c.Assert(bench.jobs.jobs, quicktest.HasLen, 1)
}

// TestIntentsOutsideTheCoverage guards against a second run with a key whose
// first intent this node may have missed or forgotten.
func TestIntentsOutsideTheCoverage(t *testing.T) {
	c := quicktest.New(t)
	parameters := testParameters
	parameters.MaxIntents = 2
	intent := func(serial int, issued time.Time) messenger.Intent {
		return messenger.Intent{
			Key: key(issued, serial), Request: identifier.Request(fmt.Sprint(serial)), Node: "node-b", Incarnation: 7,
		}
	}
	first := func(actions []messenger.Action) bool {
		folded, ok := find[messenger.IntentApplied](actions)
		c.Assert(ok, quicktest.IsTrue)
		return folded.First
	}
	bench := newBench(parameters)
	bench.offsets[identifier.Intents] = 41
	bench.Step(bench.now, messenger.AppendRead{Stream: identifier.Intents, Offset: 41, AppendedAt: bench.now, Reset: true})
	bench.now = bench.now.Add(time.Minute)
	c.Assert(first(bench.read(identifier.Intents, intent(1, start.Add(time.Minute)))), quicktest.IsFalse)
	c.Assert(first(bench.read(identifier.Intents, intent(2, start.Add(61*time.Second)))), quicktest.IsTrue)
	c.Assert(first(bench.read(identifier.Intents, intent(3, start.Add(62*time.Second)))), quicktest.IsTrue)
	// The ring holds two keys: the first key was dropped and with it the coverage.
	c.Assert(first(bench.read(identifier.Intents, intent(1, start.Add(time.Minute)))), quicktest.IsFalse)
	c.Assert(first(bench.read(identifier.Intents, intent(4, start.Add(63*time.Second)))), quicktest.IsFalse)
	c.Assert(len(bench.intents.first) <= 2, quicktest.IsTrue)
}

// TestSecondIntentNamesTheHolder guards against a repeated request that can't
// find the outcome of the first, or asks a process that has lost it.
func TestSecondIntentNamesTheHolder(t *testing.T) {
	c := quicktest.New(t)
	for node, want := range map[identifier.Node]identifier.Node{"node-a": "node-a", "node-b": ""} {
		bench := newBench(testParameters)
		intent := messenger.Intent{Key: key(start, 1), Request: "1", Node: node, Incarnation: 6}
		bench.read(identifier.Intents, intent)
		// The same key in another spelling.
		intent.Key = identifier.Key(strings.ToUpper(string(intent.Key)))
		intent.Node, intent.Incarnation, intent.Request = "node-b", 7, "2"
		folded, _ := find[messenger.IntentApplied](bench.read(identifier.Intents, intent))
		c.Assert(folded, quicktest.Equals, messenger.IntentApplied{Key: intent.Key, Request: "2", Holder: want})
	}
}

// TestSnapshotInPartsRestores guards against a state that no longer fits into
// one append, and against a corrupt part that is put into force.
func TestSnapshotInPartsRestores(t *testing.T) {
	c := quicktest.New(t)
	source := newBench(testParameters).caughtUp()
	for i, organisation := range []string{"ash", "birch", "cedar"} {
		text := fmt.Appendf(nil, "%s service-%d ", organisation, i)
		text = append(text, bytes.Repeat([]byte(organisation), maxPart/8)...)
		source.read(identifier.Configuration, messenger.Publication{Organisation: identifier.Organisation(organisation), Text: text})
	}
	parts := source.stream(identifier.Configuration).parts()
	c.Assert(len(parts) > 1, quicktest.IsTrue)
	target := newBench(testParameters)
	target.Step(start, messenger.AppendRead{Stream: identifier.Configuration, Offset: 4, AppendedAt: start, Reset: true})
	for i := range 2 {
		var actions []messenger.Action
		for _, part := range parts {
			state := part.State.(messenger.ConfigurationState)
			if i == 0 {
				state.Applied = nil
			}
			part.State = state
			target.offsets[identifier.Configuration] = 4
			actions = target.read(identifier.Configuration, part)
		}
		advanced, installed := find[messenger.StreamAdvanced](actions)
		c.Assert(installed, quicktest.Equals, i == 1)
		if installed {
			c.Assert(advanced.Applied, quicktest.Equals, identifier.Offset(3))
		}
	}
	c.Assert(target.configuration.digest(), quicktest.Equals, source.configuration.digest())
}

// TestOtherDigestIsReported guards against nodes that fold to different states
// without notice.
func TestOtherDigestIsReported(t *testing.T) {
	c := quicktest.New(t)
	bench := newBench(testParameters).caughtUp()
	bench.read(identifier.Jobs, messenger.Submission{Spec: job("a")})
	snapshot := messenger.Snapshot{Covered: 1, Digest: bench.jobs.digest(), Parts: 1, State: messenger.JobsState{}}
	_, reported := find[messenger.Transition](bench.read(identifier.Jobs, snapshot))
	c.Assert(reported, quicktest.IsFalse)
	snapshot.Digest++
	_, reported = find[messenger.Transition](bench.read(identifier.Jobs, snapshot))
	c.Assert(reported, quicktest.IsTrue)
}

// TestSnapshotIsWrittenBeforeHalfOfTheRetention guards against appends that
// expire before a snapshot covers them, whichever node is missing.
func TestSnapshotIsWrittenBeforeHalfOfTheRetention(t *testing.T) {
	c := quicktest.New(t)
	bench := newBench(testParameters).caughtUp()
	var members []messenger.Member
	for i := range 20 {
		members = append(members, messenger.Member{Identity: messenger.Identity{Node: identifier.Node(fmt.Sprintf("node-a%02d", i))}})
	}
	bench.Step(bench.now, messenger.MembersChanged{Members: members})
	bench.read(identifier.Jobs, messenger.Submission{Spec: job("a")})
	bench.now = bench.now.Add(testRetention / 8)
	// The first part of this snapshot never reached the log.
	bench.read(identifier.Jobs, messenger.Snapshot{Covered: 1, Digest: bench.jobs.digest(), Part: 1, Parts: 2, State: messenger.JobsState{}})
	for bench.now.Before(start.Add(testRetention/2 - time.Second)) {
		bench.now = bench.now.Add(time.Second)
		if _, written := find[messenger.AppendRecord](bench.Step(bench.now, messenger.Tick{})); written {
			c.Assert(bench.now.Sub(start) > testRetention/4, quicktest.IsTrue)
			return
		}
	}
	c.Fatal("no snapshot was written")
}

// TestPeerCopyDuringLogOutage guards against a new node that can't serve while
// the log is unavailable, and against a follower that reads what a peer told.
func TestPeerCopyDuringLogOutage(t *testing.T) {
	c := quicktest.New(t)
	source, target := newBench(testParameters).caughtUp(), newBench(testParameters)
	source.read(identifier.Configuration, messenger.Publication{Organisation: "ash", Text: []byte("ash rota")})
	source.read(identifier.Jobs, messenger.Submission{Spec: job("a")})
	for _, stream := range source.streams {
		stream.window = window{}
	}
	heard := messenger.HeartbeatReceived{Node: "node-a", Digest: messenger.Digest{Configuration: 1, Jobs: 1}}
	target.Step(start, heard)
	source.Step(start, messenger.HeartbeatReceived{Node: "node-b2"})
	asked := target.Step(start.Add(2*time.Second), heard)
	var told []messenger.Action
	for _, action := range asked {
		ask, _ := action.(messenger.SendPeer)
		for _, answer := range source.Step(start, messenger.PeerReceived{From: "node-b2", Message: ask.Message}) {
			told = append(told, target.Step(start.Add(2*time.Second), messenger.PeerReceived{
				From: "node-a", Message: answer.(messenger.SendPeer).Message,
			})...)
		}
	}
	c.Assert(target.ready(start.Add(2*time.Second)), quicktest.IsTrue)
	_, changed := find[messenger.ConfigurationChanged](told)
	_, accepted := find[messenger.JobAccepted](told)
	advanced, _ := find[messenger.StreamAdvanced](told)
	c.Assert([]bool{changed, accepted, advanced.Applied == 1}, quicktest.DeepEquals, []bool{true, true, true})
}

// TestGapIsReadAgain guards against an append that is folded without those
// before it, and against a rewind for every append that follows a gap.
func TestGapIsReadAgain(t *testing.T) {
	c := quicktest.New(t)
	bench := newBench(testParameters).caughtUp()
	bench.read(identifier.Jobs, messenger.Submission{Spec: job("a")})
	bench.offsets[identifier.Jobs] = 2
	advanced, _ := find[messenger.StreamAdvanced](bench.read(identifier.Jobs, messenger.Submission{Spec: job("c")}))
	c.Assert(advanced, quicktest.Equals, messenger.StreamAdvanced{Stream: identifier.Jobs, Applied: 1})
	_, again := find[messenger.StreamAdvanced](bench.read(identifier.Jobs, messenger.Submission{Spec: job("d")}))
	c.Assert(again, quicktest.IsFalse)
	c.Assert(bench.jobs.jobs, quicktest.HasLen, 1)
}

// TestPeerTellsWhatIsMissing guards against a peer that sends what the other
// has, and against a follower that reads again what a peer told.
func TestPeerTellsWhatIsMissing(t *testing.T) {
	c := quicktest.New(t)
	source, target := newBench(testParameters).caughtUp(), newBench(testParameters).caughtUp()
	for _, name := range []identifier.Job{"a", "b", "c"} {
		source.read(identifier.Jobs, messenger.Submission{Spec: job(name)})
	}
	target.read(identifier.Jobs, messenger.Submission{Spec: job("a")})
	source.Step(start, messenger.HeartbeatReceived{Node: "node-t"})
	target.Step(start, messenger.HeartbeatReceived{Node: "node-s", Digest: messenger.Digest{Jobs: 3}})
	ask, asked := find[messenger.SendPeer](target.Step(start.Add(time.Second), messenger.Tick{}))
	c.Assert(asked, quicktest.IsTrue)
	tell, _ := find[messenger.SendPeer](source.Step(start, messenger.PeerReceived{From: "node-t", Message: ask.Message}))
	c.Assert(tell.Message.(messenger.EntriesResponse).Appends, quicktest.HasLen, 2)
	advanced, _ := find[messenger.StreamAdvanced](target.Step(start, messenger.PeerReceived{From: "node-s", Message: tell.Message}))
	c.Assert(advanced.Applied, quicktest.Equals, identifier.Offset(3))
}

// TestJobsThatEndedUnseenAreConcluded guards against a scheduler that goes on
// with a job whose outcome expired while the node was cut off.
func TestJobsThatEndedUnseenAreConcluded(t *testing.T) {
	c := quicktest.New(t)
	before := newBench(testParameters).caughtUp()
	before.read(identifier.Jobs, messenger.Submission{Spec: job("a")})
	actions := newJobs().announce(before.jobs)
	c.Assert(actions, quicktest.HasLen, 1)
	c.Assert(actions[0].(messenger.JobEnded).Outcome.Job, quicktest.Equals, identifier.Job("a"))
}
