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

var epoch = time.Unix(1_800_000_000, 0).UTC()

// fixture is an applier and the newest offsets of a log that the test writes.
type fixture struct {
	*Applier
	now     time.Time
	offsets map[identifier.Stream]identifier.Offset
}

func newFixture(parameters Parameters) *fixture {
	identity := messenger.Identity{Node: "node-b", Incarnation: 7, Region: "gulf"}
	return &fixture{New(identity, parameters), epoch, map[identifier.Stream]identifier.Offset{}}
}

func (fixture *fixture) catchUpAll() *fixture {
	for _, stream := range streamNames {
		fixture.Step(fixture.now, messenger.StreamEndReached{Stream: stream, Next: fixture.stream(stream).applied + 1, At: fixture.now})
	}
	return fixture
}

// read delivers an append with one record under a new ID.
func (fixture *fixture) read(stream identifier.Stream, record messenger.Record) []messenger.Action {
	return fixture.readWithID(stream, fmt.Sprintf("%s/%d", stream, fixture.offsets[stream]), record)
}

func (fixture *fixture) readWithID(stream identifier.Stream, id string, record messenger.Record) []messenger.Action {
	fixture.offsets[stream]++
	return fixture.Step(fixture.now, messenger.AppendRead{
		Stream: stream, Offset: fixture.offsets[stream], AppendedAt: fixture.now, Entries: []messenger.Entry{{ID: id, Record: record}},
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

func (fixture *fixture) command(command commander.Command) (messenger.CommandAnswered, bool) {
	return find[messenger.CommandAnswered](fixture.Step(fixture.now, messenger.CommandArrived{Request: "r", Command: command}))
}

func job(name identifier.Job) commander.JobSpec {
	return commander.JobSpec{Job: name, Workspace: "clubs", Region: "gulf", Shape: commander.Shape{Members: 1}}
}

// TestDuplicateClaimKeepsItsTerm guards against a claim that was appended twice
// and gets a new term, which would depose its own holder.
func TestDuplicateClaimKeepsItsTerm(t *testing.T) {
	c := quicktest.New(t)
	fixture := newFixture(testParameters).catchUpAll()
	claim := messenger.RegionClaim{Region: "gulf", Node: "node-a"}
	applied, _ := find[messenger.ClaimApplied](fixture.readWithID(identifier.Jobs, "claim", claim))
	c.Assert(applied.Term, quicktest.Equals, identifier.Term(1))
	_, appliedAgain := find[messenger.ClaimApplied](fixture.readWithID(identifier.Jobs, "claim", claim))
	c.Assert(appliedAgain, quicktest.IsFalse)
}

// TestConflictContainsDifference guards against a refusal that does not show the
// operator what the other publication changed.
func TestConflictContainsDifference(t *testing.T) {
	c := quicktest.New(t)
	fixture := newFixture(testParameters).catchUpAll()
	fixture.read(identifier.Configuration, messenger.Publication{Organisation: "ash", Text: []byte("ash rota\nplanner\n")})
	answered, _ := fixture.command(commander.Publish{Organisation: "ash", Text: []byte("ash rota\nseals\n")})
	c.Assert(answered.Err.Code, quicktest.Equals, classifier.Conflict)
	c.Assert(answered.Err.Message, quicktest.Equals, "based on version 0, the current version is 1:\n- planner\n+ seals")
}

// TestServiceNamesBelongToOneMember guards against an organisation that takes over
// another's service by publishing its name.
func TestServiceNamesBelongToOneMember(t *testing.T) {
	c := quicktest.New(t)
	fixture := newFixture(testParameters).catchUpAll()
	fixture.read(identifier.Configuration, messenger.Publication{Organisation: "ash", Text: []byte("ash rota")})
	fixture.read(identifier.Configuration, messenger.Publication{Organisation: "birch", Text: []byte("birch rota")})
	c.Assert(fixture.configuration.texts, quicktest.HasLen, 1)
	answer := fixture.View(fixture.now, querier.Query{Kind: querier.Explain, Subject: "birch"})
	c.Assert(answer.Decisions[0].Reason, quicktest.Equals, "invalid-text")
}

// TestMissingApprovalsAreListed guards against a status that does not list the
// members whose approval of a publication is missing.
func TestMissingApprovalsAreListed(t *testing.T) {
	c := quicktest.New(t)
	fixture := newFixture(testParameters).catchUpAll()
	fixture.read(identifier.Configuration, messenger.Publication{Organisation: "cedar", Text: []byte("cedar seals")})
	fixture.read(identifier.Configuration, messenger.Approval{Organisation: "ash", Publication: 1})
	rows := fixture.View(fixture.now, querier.Query{Kind: querier.Status}).Configuration
	c.Assert(rows[2], quicktest.DeepEquals, querier.Organisation{
		Organisation: "cedar", Pending: 1, Missing: []identifier.Organisation{"birch"},
	})
	actions := fixture.read(identifier.Configuration, messenger.Approval{Organisation: "birch", Publication: 1})
	changed, _ := find[messenger.ConfigurationChanged](actions)
	c.Assert(changed.Configuration.Organisations[0].Version, quicktest.Equals, identifier.Offset(1))
	c.Assert(changed.Configuration.Version, quicktest.Equals, identifier.Offset(3))
}

// TestCommandsWithoutLogAreRefused guards against a command that is accepted, or
// gets a wrong answer, while the log is unavailable, fails or loses the record.
func TestCommandsWithoutLogAreRefused(t *testing.T) {
	c := quicktest.New(t)
	fixture := newFixture(testParameters)
	answered, _ := fixture.command(commander.Submit{Workspace: "clubs", Job: job("a")})
	c.Assert(answered.Err.Code, quicktest.Equals, classifier.NotReady)
	fixture.catchUpAll()
	_, answeredNow := fixture.command(commander.Submit{Workspace: "clubs", Job: job("a")})
	c.Assert(answeredNow, quicktest.IsFalse)
	fixture.now = fixture.now.Add(21 * time.Second)
	answered, _ = find[messenger.CommandAnswered](fixture.Step(fixture.now, messenger.Tick{}))
	c.Assert(answered.Err.Code, quicktest.Equals, classifier.OutcomeUnknown)
	fixture.catchUpAll().Step(fixture.now, messenger.StreamUnavailable{Stream: identifier.Jobs})
	answered, _ = fixture.command(commander.Submit{Workspace: "clubs", Job: job("a")})
	c.Assert(answered.Err.Code, quicktest.Equals, classifier.LogUnavailable)
	c.Assert(answered.Err.RetryAfter > 0, quicktest.IsTrue)
	fixture.now = fixture.now.Add(8 * time.Second)
	c.Assert(fixture.isReady(fixture.now), quicktest.IsFalse)
	fixture.Step(fixture.now, messenger.HeartbeatReceived{Node: "node-a"})
	c.Assert(fixture.isReady(fixture.now), quicktest.IsTrue)
}

// TestAppendFailureAnswerMatchesExecution guards against an answer "not run" for a
// record that may be in the log.
func TestAppendFailureAnswerMatchesExecution(t *testing.T) {
	c := quicktest.New(t)
	for _, execution := range []classifier.Execution{classifier.NotRun, classifier.Unknown} {
		fixture := newFixture(testParameters).catchUpAll()
		actions := fixture.Step(fixture.now, messenger.CommandArrived{Request: "r", Command: commander.Submit{Workspace: "clubs", Job: job("a")}})
		record, _ := find[messenger.AppendRecord](actions)
		failed := messenger.AppendFailed{Stream: identifier.Jobs, ID: record.Entry.ID, Code: classifier.LogUnavailable, Execution: execution}
		answered, _ := find[messenger.CommandAnswered](fixture.Step(fixture.now, failed))
		c.Assert(answered.Err.Code.Execution(), quicktest.Equals, execution)
	}
}

// TestSubmissionIsIdempotentByName guards against a repeated submission that runs
// twice and against a different job that is mistaken for a repetition.
func TestSubmissionIsIdempotentByName(t *testing.T) {
	c := quicktest.New(t)
	fixture := newFixture(testParameters).catchUpAll()
	fixture.read(identifier.Jobs, messenger.Submission{Spec: job("a")})
	anywhere := job("a")
	anywhere.Region = ""
	answered, _ := fixture.command(commander.Submit{Workspace: "clubs", Job: anywhere})
	c.Assert(answered.Err == nil, quicktest.IsTrue)
	c.Assert(answered.Offset, quicktest.Equals, identifier.Offset(1))
	other := job("a")
	other.Shape.Members = 2
	answered, _ = fixture.command(commander.Submit{Workspace: "clubs", Job: other})
	c.Assert(answered.Err.Code, quicktest.Equals, classifier.JobExists)
	answered, _ = fixture.command(commander.Cancel{Workspace: "county", Job: "a"})
	c.Assert(answered.Err.Code, quicktest.Equals, classifier.Forbidden)
	fixture.read(identifier.Jobs, messenger.Outcome{Job: "a", Code: classifier.Infeasible, Reason: "too large"})
	answered, _ = fixture.command(commander.Cancel{Workspace: "clubs", Job: "a"})
	c.Assert(answered.Err.Code, quicktest.Equals, classifier.JobEnded)
	row := fixture.View(fixture.now, querier.Query{Kind: querier.Status, Workspace: "clubs"}).Jobs[0]
	c.Assert([]string{row.State, row.Reason}, quicktest.DeepEquals, []string{"infeasible", "too large"})
	c.Assert(fixture.View(fixture.now, querier.Query{Kind: querier.Status, Workspace: "county"}).Jobs, quicktest.HasLen, 0)
	fixture.now = fixture.now.Add(25 * time.Hour)
	fixture.read(identifier.Jobs, messenger.Submission{Spec: job("b")})
	c.Assert(fixture.jobs.jobs, quicktest.HasLen, 1)
}

// TestIntentsOutsideCoverageAreNotFirst guards against a second run with a key
// whose first intent this node may have missed or deleted.
func TestIntentsOutsideCoverageAreNotFirst(t *testing.T) {
	c := quicktest.New(t)
	parameters := testParameters
	parameters.MaxIntents = 2
	intent := func(serial int, issued time.Time) messenger.Intent {
		return messenger.Intent{
			Key: key(issued, serial), Request: identifier.Request(fmt.Sprint(serial)), Node: "node-b", Incarnation: 7,
		}
	}
	isFirst := func(actions []messenger.Action) bool {
		applied, ok := find[messenger.IntentApplied](actions)
		c.Assert(ok, quicktest.IsTrue)
		return applied.First
	}
	fixture := newFixture(parameters)
	fixture.offsets[identifier.Intents] = 41
	fixture.Step(fixture.now, messenger.AppendRead{Stream: identifier.Intents, Offset: 41, AppendedAt: fixture.now, Reset: true})
	fixture.now = fixture.now.Add(time.Minute)
	c.Assert(isFirst(fixture.read(identifier.Intents, intent(1, epoch.Add(time.Minute)))), quicktest.IsFalse)
	c.Assert(isFirst(fixture.read(identifier.Intents, intent(2, epoch.Add(61*time.Second)))), quicktest.IsTrue)
	c.Assert(isFirst(fixture.read(identifier.Intents, intent(3, epoch.Add(62*time.Second)))), quicktest.IsTrue)
	// The ring holds two keys. The first key was deleted and is no longer covered.
	c.Assert(isFirst(fixture.read(identifier.Intents, intent(1, epoch.Add(time.Minute)))), quicktest.IsFalse)
	c.Assert(isFirst(fixture.read(identifier.Intents, intent(4, epoch.Add(63*time.Second)))), quicktest.IsFalse)
	c.Assert(len(fixture.intents.indexByKey) <= 2, quicktest.IsTrue)
}

// TestSecondIntentReturnsFirstHolder guards against a repeated request that can't
// find the outcome of the first, or requests it from a process that has lost it.
func TestSecondIntentReturnsFirstHolder(t *testing.T) {
	c := quicktest.New(t)
	for node, want := range map[identifier.Node]identifier.Node{"node-a": "node-a", "node-b": ""} {
		fixture := newFixture(testParameters)
		intent := messenger.Intent{Key: key(epoch, 1), Request: "1", Node: node, Incarnation: 6}
		fixture.read(identifier.Intents, intent)
		// The same key in another spelling.
		intent.Key = identifier.Key(strings.ToUpper(string(intent.Key)))
		intent.Node, intent.Incarnation, intent.Request = "node-b", 7, "2"
		applied, _ := find[messenger.IntentApplied](fixture.read(identifier.Intents, intent))
		c.Assert(applied, quicktest.Equals, messenger.IntentApplied{Key: intent.Key, Request: "2", Holder: want})
	}
}

// TestSnapshotInPartsIsRestored guards against a state that can't be restored
// because it is too large for one append, and against a corrupt part that is
// put into force.
func TestSnapshotInPartsIsRestored(t *testing.T) {
	c := quicktest.New(t)
	source := newFixture(testParameters).catchUpAll()
	for i, organisation := range []string{"ash", "birch", "cedar"} {
		text := fmt.Appendf(nil, "%s service-%d ", organisation, i)
		text = append(text, bytes.Repeat([]byte(organisation), maxPartSize/8)...)
		source.read(identifier.Configuration, messenger.Publication{Organisation: identifier.Organisation(organisation), Text: text})
	}
	parts := source.stream(identifier.Configuration).snapshotParts()
	c.Assert(len(parts) > 1, quicktest.IsTrue)
	target := newFixture(testParameters)
	target.Step(epoch, messenger.AppendRead{Stream: identifier.Configuration, Offset: 4, AppendedAt: epoch, Reset: true})
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

// TestDigestMismatchIsReported guards against nodes whose states differ without a
// report.
func TestDigestMismatchIsReported(t *testing.T) {
	c := quicktest.New(t)
	fixture := newFixture(testParameters).catchUpAll()
	fixture.read(identifier.Jobs, messenger.Submission{Spec: job("a")})
	snapshot := messenger.Snapshot{Covered: 1, Digest: fixture.jobs.digest(), Parts: 1, State: messenger.JobsState{}}
	_, reported := find[messenger.Transition](fixture.read(identifier.Jobs, snapshot))
	c.Assert(reported, quicktest.IsFalse)
	snapshot.Digest++
	_, reported = find[messenger.Transition](fixture.read(identifier.Jobs, snapshot))
	c.Assert(reported, quicktest.IsTrue)
}

// TestSnapshotIsWrittenBeforeHalfOfRetention guards against appends that expire
// before a snapshot covers them, whichever node has failed.
func TestSnapshotIsWrittenBeforeHalfOfRetention(t *testing.T) {
	c := quicktest.New(t)
	fixture := newFixture(testParameters).catchUpAll()
	var members []messenger.Member
	for i := range 20 {
		members = append(members, messenger.Member{Identity: messenger.Identity{Node: identifier.Node(fmt.Sprintf("node-a%02d", i))}})
	}
	fixture.Step(fixture.now, messenger.MembersChanged{Members: members})
	fixture.read(identifier.Jobs, messenger.Submission{Spec: job("a")})
	fixture.now = fixture.now.Add(testRetention / 8)
	// The first part of this snapshot never reached the log.
	fixture.read(identifier.Jobs, messenger.Snapshot{Covered: 1, Digest: fixture.jobs.digest(), Part: 1, Parts: 2, State: messenger.JobsState{}})
	for fixture.now.Before(epoch.Add(testRetention/2 - time.Second)) {
		fixture.now = fixture.now.Add(time.Second)
		if _, written := find[messenger.AppendRecord](fixture.Step(fixture.now, messenger.Tick{})); written {
			c.Assert(fixture.now.Sub(epoch) > testRetention/4, quicktest.IsTrue)
			return
		}
	}
	c.Fatal("no snapshot was written")
}

// TestPeerCopyDuringLogOutage guards against a new node that can't serve while
// the log is unavailable, and against a follower that reads again the appends that
// a peer's copy covers.
func TestPeerCopyDuringLogOutage(t *testing.T) {
	c := quicktest.New(t)
	source, target := newFixture(testParameters).catchUpAll(), newFixture(testParameters)
	source.read(identifier.Configuration, messenger.Publication{Organisation: "ash", Text: []byte("ash rota")})
	source.read(identifier.Jobs, messenger.Submission{Spec: job("a")})
	for _, stream := range source.streams {
		stream.window = window{}
	}
	heartbeat := messenger.HeartbeatReceived{Node: "node-a", Digest: messenger.Digest{Configuration: 1, Jobs: 1}}
	target.Step(epoch, heartbeat)
	source.Step(epoch, messenger.HeartbeatReceived{Node: "node-b2"})
	requests := target.Step(epoch.Add(2*time.Second), heartbeat)
	var applied []messenger.Action
	for _, action := range requests {
		request, _ := action.(messenger.SendPeer)
		for _, response := range source.Step(epoch, messenger.PeerReceived{From: "node-b2", Message: request.Message}) {
			applied = append(applied, target.Step(epoch.Add(2*time.Second), messenger.PeerReceived{
				From: "node-a", Message: response.(messenger.SendPeer).Message,
			})...)
		}
	}
	c.Assert(target.isReady(epoch.Add(2*time.Second)), quicktest.IsTrue)
	_, changed := find[messenger.ConfigurationChanged](applied)
	_, accepted := find[messenger.JobAccepted](applied)
	advanced, _ := find[messenger.StreamAdvanced](applied)
	c.Assert([]bool{changed, accepted, advanced.Applied == 1}, quicktest.DeepEquals, []bool{true, true, true})
}

// TestGapIsReadAgain guards against an append that is applied without those
// before it, and against a rewind for every append that follows a gap.
func TestGapIsReadAgain(t *testing.T) {
	c := quicktest.New(t)
	fixture := newFixture(testParameters).catchUpAll()
	fixture.read(identifier.Jobs, messenger.Submission{Spec: job("a")})
	fixture.offsets[identifier.Jobs] = 2
	advanced, _ := find[messenger.StreamAdvanced](fixture.read(identifier.Jobs, messenger.Submission{Spec: job("c")}))
	c.Assert(advanced, quicktest.Equals, messenger.StreamAdvanced{Stream: identifier.Jobs, Applied: 1})
	_, rewoundAgain := find[messenger.StreamAdvanced](fixture.read(identifier.Jobs, messenger.Submission{Spec: job("d")}))
	c.Assert(rewoundAgain, quicktest.IsFalse)
	c.Assert(fixture.jobs.jobs, quicktest.HasLen, 1)
}

// TestPeerSendsMissingAppends guards against a peer that sends appends that the
// requesting node has applied, and against a follower that reads the received appends
// again.
func TestPeerSendsMissingAppends(t *testing.T) {
	c := quicktest.New(t)
	source, target := newFixture(testParameters).catchUpAll(), newFixture(testParameters).catchUpAll()
	for _, name := range []identifier.Job{"a", "b", "c"} {
		source.read(identifier.Jobs, messenger.Submission{Spec: job(name)})
	}
	target.read(identifier.Jobs, messenger.Submission{Spec: job("a")})
	source.Step(epoch, messenger.HeartbeatReceived{Node: "node-t"})
	target.Step(epoch, messenger.HeartbeatReceived{Node: "node-s", Digest: messenger.Digest{Jobs: 3}})
	request, requested := find[messenger.SendPeer](target.Step(epoch.Add(time.Second), messenger.Tick{}))
	c.Assert(requested, quicktest.IsTrue)
	response, _ := find[messenger.SendPeer](source.Step(epoch, messenger.PeerReceived{From: "node-t", Message: request.Message}))
	c.Assert(response.Message.(messenger.EntriesResponse).Appends, quicktest.HasLen, 2)
	advanced, _ := find[messenger.StreamAdvanced](target.Step(epoch, messenger.PeerReceived{From: "node-s", Message: response.Message}))
	c.Assert(advanced.Applied, quicktest.Equals, identifier.Offset(3))
}

// TestExpiredJobsAreAnnouncedAsEnded guards against a scheduler that continues a
// job whose outcome expired while the node was partitioned.
func TestExpiredJobsAreAnnouncedAsEnded(t *testing.T) {
	c := quicktest.New(t)
	before := newFixture(testParameters).catchUpAll()
	before.read(identifier.Jobs, messenger.Submission{Spec: job("a")})
	actions := newJobs().changesSince(before.jobs)
	c.Assert(actions, quicktest.HasLen, 1)
	c.Assert(actions[0].(messenger.JobEnded).Outcome.Job, quicktest.Equals, identifier.Job("a"))
}
