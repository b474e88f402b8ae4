package detector_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"corianderroad/detector"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/querier"
)

func drawMember(t *rapid.T, maxIndex int) messenger.Member {
	state := messenger.MemberState(rapid.Uint8Range(1, 4).Draw(t, "state"))
	member := memberOf(rapid.IntRange(0, maxIndex).Draw(t, "index"), state)
	member.Incarnation = identifier.Incarnation(rapid.Uint64Range(1, 4).Draw(t, "incarnation"))
	return member
}

func memberOf(index int, state messenger.MemberState) messenger.Member {
	return messenger.Member{
		Identity: messenger.Identity{
			Node: identifier.Node(fmt.Sprintf("entry-%03d", index)), Address: addressOf(index), Incarnation: 1,
		},
		State: state,
	}
}

// manyMembers returns members of which every third is suspect.
func manyMembers(size int) []messenger.Member {
	var members []messenger.Member
	for index := range size {
		members = append(members, memberOf(index+1, messenger.Alive+messenger.MemberState(index%3/2)))
	}
	return members
}

func drawEvent(t *rapid.T) messenger.Event {
	from := drawMember(t, 5)
	changes := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) messenger.Member { return drawMember(t, 2000) }), 0, 1024)
	sequence := rapid.Uint64Range(0, 3).Draw(t, "sequence")
	var message messenger.Peer
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		return messenger.Tick{}
	case 1:
		return messenger.VMsListed{VMs: []messenger.VM{{Name: string(from.Node), Role: messenger.EntryVM, Address: from.Address}}}
	case 2:
		message = messenger.ProbeAnswer{Sequence: sequence, From: from, Changes: changes.Draw(t, "changes")}
	case 3:
		message = messenger.ProbeRequest{Sequence: sequence, Target: from}
	case 4:
		message = messenger.ProbeReport{Sequence: sequence, Target: from}
	default:
		message = messenger.Probe{Sequence: sequence, From: from, Changes: changes.Draw(t, "changes")}
	}
	return messenger.PeerReceived{From: from.Node, Message: message}
}

// TestArbitraryMessagesKeepBounds guards against a table or message that grows
// beyond its bound, a step that is not deterministic, and a state machine that
// requests no further step.
func TestArbitraryMessagesKeepBounds(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		identity := messenger.Identity{Node: "entry-000", Address: addressOf(0), Incarnation: 2}
		start := func() *detector.Detector {
			return detector.New(identity, detector.Parameters{}, rand.New(rand.NewPCG(1, 2)))
		}
		first, second, now := start(), start(), epoch
		if rapid.Bool().Draw(t, "full") {
			membersMessage := messenger.PeerReceived{From: "entry-001", Message: messenger.ProbeAnswer{
				From: memberOf(1, messenger.Alive), Changes: manyMembers(1100),
			}}
			first.Step(now, membersMessage)
			second.Step(now, membersMessage)
		}
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait-ms")) * time.Millisecond)
			event := drawEvent(t)
			actions := first.Step(now, event)
			if !reflect.DeepEqual(actions, second.Step(now, event)) {
				t.Fatalf("%T returns different actions", event)
			}
			checkBounds(t, actions)
			if rows := first.View(now, querier.Query{Kind: querier.Status}).Members; len(rows) > 1024 {
				t.Fatalf("%d members in the table", len(rows))
			}
			if next := first.Next(); next.IsZero() || next.After(now.Add(time.Second)) {
				t.Fatalf("the next step is at %s, now is %s", next, now)
			}
		}
	})
}

// checkBounds checks the sizes of the messages and member lists of one step.
func checkBounds(t *rapid.T, actions []messenger.Action) {
	fullLists := 0
	for _, action := range actions {
		switch action := action.(type) {
		case messenger.SendPeer:
			count := changesOf(action.Message)
			if count > 1024 {
				t.Fatalf("a message has %d changes", count)
			}
			if count > 8 {
				fullLists++
			}
		case messenger.MembersChanged:
			if len(action.Members) > 1024 {
				t.Fatalf("%d members", len(action.Members))
			}
		}
	}
	if fullLists > 1 {
		t.Fatalf("one event sends the members to %d nodes", fullLists)
	}
}

func changesOf(message messenger.Peer) int {
	switch message := message.(type) {
	case messenger.Probe:
		return len(message.Changes)
	case messenger.ProbeAnswer:
		return len(message.Changes)
	default:
		return 0
	}
}

// TestDeadMemberIsRemovedAfterRetention guards against a table that fills with
// nodes that never return, and against the removal of a seed.
func TestDeadMemberIsRemovedAfterRetention(t *testing.T) {
	c := quicktest.New(t)
	cluster := newCluster(4, 2, 1)
	cluster.converge(time.Minute)
	seed, member, at := cluster.nodes[1], cluster.nodes[3], cluster.nodes[0]
	cluster.kill(seed, false)
	cluster.kill(member, false)
	cluster.run(2 * time.Hour)
	c.Check(stateAt(cluster, at, member), quicktest.Equals, "dead")
	cluster.run(2 * time.Hour)
	c.Check(stateAt(cluster, at, member), quicktest.Equals, "")
	c.Check(stateAt(cluster, at, seed), quicktest.Equals, "dead")
}

// stateAt returns the state of a node as another node answers it, or an empty
// string if the node is not in its table.
func stateAt(cluster *cluster, at, of *process) string {
	answer := at.stateMachine.View(cluster.now, querier.Query{Kind: querier.Explain, Subject: string(of.identity.Node)})
	for _, member := range answer.Members {
		return member.State
	}
	return ""
}

// sendVMList sends all nodes a VM list of all nodes except unlisted.
func (cluster *cluster) sendVMList(unlisted *process) {
	var vms []messenger.VM
	for _, node := range cluster.nodes {
		if node != unlisted {
			vms = append(vms, messenger.VM{Name: string(node.identity.Node), Role: messenger.EntryVM, Address: node.identity.Address})
		}
	}
	for _, node := range cluster.nodes {
		cluster.schedule(cluster.now, node, messenger.VMsListed{At: cluster.now, VMs: vms})
	}
}

// TestVMListIsOnlyAHint guards against an outdated list that removes a living node,
// and against a list that neither lets nodes without seeds join nor speeds up the
// removal of dead nodes.
func TestVMListIsOnlyAHint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cluster := newCluster(rapid.IntRange(3, 12).Draw(t, "nodes"), 3, rapid.Uint64().Draw(t, "seed"))
		cluster.seeds = nil
		for _, node := range cluster.nodes {
			cluster.start(node)
		}
		cluster.sendVMList(nil)
		if elapsed, ok := cluster.converge(15 * time.Second); !ok {
			t.Fatalf("nodes without seeds have not joined after %s", elapsed)
		}
		cluster.forbidDead(t)
		victim := cluster.pickNode()
		cluster.sendVMList(victim)
		cluster.run(20 * time.Second)
		late := rapid.Bool().Draw(t, "late")
		if late {
			cluster.sendVMList(nil)
			cluster.run(time.Second)
		}
		cluster.kill(victim, true)
		var suspected, dead time.Time
		cluster.onTransition = func(_ *process, transition messenger.Transition) {
			if transition.To == messenger.Suspect.String() && suspected.IsZero() {
				suspected = cluster.now
				if late {
					cluster.sendVMList(victim)
				}
			}
			if transition.To == messenger.Dead.String() && dead.IsZero() {
				dead = cluster.now
			}
		}
		if _, ok := cluster.converge(10 * time.Second); !ok {
			t.Fatalf("the dead node is still a member")
		}
		if elapsed := dead.Sub(suspected); elapsed > time.Second {
			t.Fatalf("an unlisted suspect is declared dead after %s", elapsed)
		}
	})
}

// TestDigestIsSentToPeers guards against offsets and load that are not sent with
// heartbeats, and against a heartbeat in the name of another node.
func TestDigestIsSentToPeers(t *testing.T) {
	c := quicktest.New(t)
	stateMachine := detector.New(messenger.Identity{Node: "a", Address: addressOf(1)}, detector.Parameters{}, rand.New(rand.NewPCG(1, 2)))
	stateMachine.Step(epoch, messenger.DigestChanged{Configuration: 5, Jobs: 6, Intents: 7})
	stateMachine.Step(epoch, messenger.LoadChanged{Queued: 8, FreeSlots: 9})
	other := messenger.Member{
		Identity: messenger.Identity{Node: "b", Address: addressOf(2), Incarnation: 1},
		State:    messenger.Alive, Digest: messenger.Digest{Configuration: 4},
	}
	c.Check(stateMachine.Step(epoch, messenger.PeerReceived{From: "c", Message: messenger.Probe{From: other}}), quicktest.HasLen, 0)
	var heartbeats []messenger.HeartbeatReceived
	var answers []messenger.ProbeAnswer
	for _, action := range stateMachine.Step(epoch, messenger.PeerReceived{From: "b", Message: messenger.Probe{Sequence: 3, From: other}}) {
		switch action := action.(type) {
		case messenger.HeartbeatReceived:
			heartbeats = append(heartbeats, action)
		case messenger.SendPeer:
			if answer := action.Message.(messenger.ProbeAnswer); answer.Sequence == 3 {
				answers = append(answers, answer)
			}
		}
	}
	c.Assert(heartbeats, quicktest.HasLen, 1)
	c.Check(heartbeats[0], quicktest.Equals, messenger.HeartbeatReceived{Node: "b", Address: addressOf(2), Digest: other.Digest})
	c.Assert(answers, quicktest.HasLen, 1)
	c.Check(answers[0].From.Digest, quicktest.Equals,
		messenger.Digest{Configuration: 5, Jobs: 6, Intents: 7, Queued: 8, FreeSlots: 9})
}

// TestRefutationIsPushed guards against a refutation that is sent only with the
// next probe, after other nodes have declared the suspect dead.
func TestRefutationIsPushed(t *testing.T) {
	stateMachine := detector.New(memberOf(1, messenger.Alive).Identity, detector.Parameters{}, rand.New(rand.NewPCG(1, 2)))
	now := epoch
	receiveChanges := func(changes ...messenger.Member) []messenger.Action {
		return stateMachine.Step(now, messenger.PeerReceived{
			From: "entry-002", Message: messenger.ProbeAnswer{From: memberOf(2, messenger.Alive), Changes: changes},
		})
	}
	receiveChanges(memberOf(3, messenger.Alive))
	// The next period allows pushes again.
	now = stateMachine.Next()
	stateMachine.Step(now, messenger.Tick{})
	informed, probed := make(map[identifier.Node]bool), false
	for _, action := range receiveChanges(memberOf(1, messenger.Suspect)) {
		if sent, ok := action.(messenger.SendPeer); ok {
			if push, ok := sent.Message.(messenger.ProbeAnswer); ok && push.From.Refutations == 1 {
				informed[sent.To] = true
			}
			if probe, ok := sent.Message.(messenger.Probe); ok && probe.From.Refutations == 1 && sent.To == "entry-002" {
				probed = true
			}
		}
	}
	quicktest.Check(t, informed, quicktest.DeepEquals, map[identifier.Node]bool{"entry-002": true, "entry-003": true})
	quicktest.Check(t, probed, quicktest.IsTrue, quicktest.Commentf("the node that reported the suspicion is not probed"))
}

// TestSuspectIsInformed guards against a suspect that can't refute in time because
// the node that suspects it does not inform it directly.
func TestSuspectIsInformed(t *testing.T) {
	c := quicktest.New(t)
	stateMachine := detector.New(memberOf(1, messenger.Alive).Identity, detector.Parameters{}, rand.New(rand.NewPCG(1, 2)))
	stateMachine.Step(epoch, messenger.PeerReceived{From: "entry-002", Message: messenger.Probe{From: memberOf(2, messenger.Alive)}})
	probes := func(now time.Time, event messenger.Event) (probes []messenger.Probe) {
		for _, action := range stateMachine.Step(now, event) {
			sent, _ := action.(messenger.SendPeer)
			if probe, ok := sent.Message.(messenger.Probe); ok {
				probes = append(probes, probe)
			}
		}
		return probes
	}
	now := stateMachine.Next()
	first := probes(now, messenger.Tick{})
	c.Assert(first, quicktest.HasLen, 1)
	// The failure to send ends the probe before the next period.
	stateMachine.Step(now, messenger.PeerSendFailed{To: "entry-002", Message: first[0]})
	second := probes(stateMachine.Next(), messenger.Tick{})
	c.Assert(second, quicktest.HasLen, 1)
	c.Assert(second[0].Changes, quicktest.HasLen, 1)
	c.Check(second[0].Changes[0].State, quicktest.Equals, messenger.Suspect)
}

// TestReportedDeathCanBeRefuted guards against a living member that is removed
// because a region that was partitioned still reports it dead.
func TestReportedDeathCanBeRefuted(t *testing.T) {
	c := quicktest.New(t)
	stateMachine := detector.New(memberOf(1, messenger.Alive).Identity, detector.Parameters{}, rand.New(rand.NewPCG(1, 2)))
	state := func(change messenger.Member) string {
		stateMachine.Step(epoch, messenger.PeerReceived{
			From: "entry-002", Message: messenger.ProbeAnswer{From: memberOf(2, messenger.Alive), Changes: []messenger.Member{change}},
		})
		return stateMachine.View(epoch, querier.Query{Kind: querier.Explain, Subject: "entry-003"}).Members[0].State
	}
	c.Check(state(memberOf(3, messenger.Alive)), quicktest.Equals, "alive")
	c.Check(state(memberOf(3, messenger.Dead)), quicktest.Equals, "suspect")
	refuted := memberOf(3, messenger.Alive)
	refuted.Refutations = 1
	c.Check(state(refuted), quicktest.Equals, "alive")
	c.Check(state(memberOf(3, messenger.Dead)), quicktest.Equals, "alive")
}
