package claimer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"corianderroad/claimer"
	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

const (
	tick         = 5 * time.Millisecond
	readInterval = 300 * time.Millisecond
)

// store is a fake of the platform's store; it orders the claims of all nodes.
type store struct {
	// refusing means that the store refuses all claims; attempts counts them.
	refusing    bool
	attempts    int
	claims      []messenger.Claim
	unavailable bool
	// lostAnswerShare is the share of appends that succeed without an answer.
	lostAnswerShare float64
	random          *rand.Rand
}

// member is a node with its claimer.
type member struct {
	claimer     *claimer.Claimer
	name        string
	isolated    bool
	frozen      bool
	incarnation int
	read        int
	readAt      time.Time
	readFailed  bool
	// token, fence and confirmedAt are those of the last HolderChanged.
	token, fence identifier.Term
	confirmedAt  time.Time
	pending      []pendingEvent
	// waitsRead are the waits that the claimer has reported, the newest last.
	waitsRead []messenger.WaitsRead
}

// waits returns the waits that are in force, nil if there are none.
func (member *member) waits() *messenger.QueueWaits {
	if len(member.waitsRead) == 0 {
		return nil
	}
	return member.waitsRead[len(member.waitsRead)-1].Waits
}

type pendingEvent struct {
	at    time.Time
	event messenger.Event
}

func (store *store) append(now time.Time, action messenger.AppendClaim) messenger.ClaimAppended {
	appended := messenger.ClaimAppended{Claim: action.Claim, SentAt: now}
	store.attempts++
	if store.refusing {
		appended.Err = classifier.New(classifier.StoreBusy, "busy")
		return appended
	}
	if int(action.At) != len(store.claims) {
		appended.Err = classifier.New(classifier.Conflict, "ends at %d", len(store.claims))
		return appended
	}
	appended.Offset = identifier.Offset(len(store.claims))
	store.claims = append(store.claims, action.Claim)
	if store.random.Float64() < store.lostAnswerShare {
		appended.Err = classifier.New(classifier.OutcomeUnknown, "no answer")
	}
	return appended
}

func newMember(index, incarnation int) *member {
	name := fmt.Sprintf("n%d", index)
	random := rand.New(rand.NewPCG(uint64(index), uint64(incarnation)))
	return &member{claimer: claimer.New(identifier.Node(name), identifier.Incarnation(incarnation), 0, random), name: name, incarnation: incarnation}
}

// step passes an event to the node's claimer and the resulting appends to the store.
func (member *member) step(now time.Time, store *store, event messenger.Event) {
	for _, action := range member.claimer.Step(now, event) {
		switch action := action.(type) {
		case messenger.HolderChanged:
			member.token, member.fence, member.confirmedAt = action.Token, action.Fence, action.ConfirmedAt
		case messenger.WaitsRead:
			member.waitsRead = append(member.waitsRead, action)
		case messenger.AppendClaim:
			appended := messenger.ClaimAppended{Claim: action.Claim, SentAt: now, Err: classifier.New(classifier.OutcomeUnknown, "no answer")}
			wait := 600 * time.Millisecond
			if !store.unavailable && !member.isolated {
				appended, wait = store.append(now, action), 2*tick
			}
			member.pending = append(member.pending, pendingEvent{now.Add(wait), appended})
		}
	}
}

func (member *member) advance(now time.Time, store *store) {
	if member.frozen {
		return
	}
	waiting := member.pending
	member.pending = nil
	for _, pending := range waiting {
		if pending.at.After(now) {
			member.pending = append(member.pending, pending)
		} else {
			member.step(now, store, pending.event)
		}
	}
	// The tick precedes the read, so that a claim that became due during an
	// outage is the first call after it.
	if next := member.claimer.Next(); !next.IsZero() && !next.After(now) {
		member.step(now, store, messenger.Tick{})
	}
	if (store.unavailable || member.isolated) && now.Sub(member.readAt) >= readInterval {
		member.readAt, member.readFailed = now, true // the next read waits for readInterval after a failed one
	}
	if !store.unavailable && !member.isolated && ((member.read < len(store.claims) && !member.readFailed) || now.Sub(member.readAt) >= readInterval) {
		member.readFailed = false
		read := messenger.ClaimRead{End: identifier.Offset(len(store.claims)), SentAt: now}
		if member.readAt.IsZero() {
			read.RoundTrip = tick
		}
		if member.read < len(store.claims) {
			newest := store.claims[len(store.claims)-1]
			read.Claim, read.Offset = &newest, identifier.Offset(len(store.claims)-1)
		}
		member.read, member.readAt = len(store.claims), now
		member.step(now, store, read)
	}
}

func (member *member) hasValidClaim(now time.Time) bool {
	return member.token != 0 && !member.frozen && now.Sub(member.confirmedAt) <= claimer.ClaimValidity
}

// TestAtMostOneValidClaim guards against two nodes that start work at the same
// time, against a token or a fence that is used twice, and against a group that remains
// without a holder after the faults have ended. Nodes are isolated, frozen and
// restarted; the store is unavailable or its answers are lost.
func TestAtMostOneValidClaim(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &store{random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))}
		members := []*member{newMember(0, 1), newMember(1, 1), newMember(2, 1)}
		now := time.Unix(1_000_000, 0)
		owners := make(map[identifier.Term]string)
		check := func() {
			var valid []*member
			for _, member := range members {
				if member.hasValidClaim(now) {
					valid = append(valid, member)
				}
				if owner := fmt.Sprint(member.name, member.incarnation); member.token != 0 {
					if previous, ok := owners[member.token]; ok && previous != owner {
						t.Fatalf("token %d belongs to both %s and %s", member.token, previous, owner)
					}
					if previous, ok := owners[member.fence]; ok && previous != owner {
						t.Fatalf("fence %d belongs to both %s and %s", member.fence, previous, owner)
					}
					if member.fence < member.token {
						t.Fatalf("the fence %d of %s is below its token %d", member.fence, owner, member.token)
					}
					owners[member.token], owners[member.fence] = owner, owner
				}
			}
			if len(valid) > 1 {
				t.Fatalf("the claims of %s and %s are both valid at %s", valid[0].name, valid[1].name, now.Format("05.000"))
			}
		}
		run := func(span time.Duration) {
			for end := now.Add(span); now.Before(end); now = now.Add(tick) {
				for _, member := range members {
					member.advance(now, store)
				}
				check()
			}
		}
		for range rapid.IntRange(0, 8).Draw(t, "events") {
			run(time.Duration(rapid.IntRange(10, 2500).Draw(t, "span")) * time.Millisecond)
			index := rapid.IntRange(0, 2).Draw(t, "node")
			switch rapid.IntRange(0, 6).Draw(t, "kind") {
			case 0:
				members[index].isolated = !members[index].isolated
			case 1:
				members[index].frozen = !members[index].frozen
			case 2:
				members[index] = newMember(index, members[index].incarnation+1)
			case 3:
				store.unavailable = !store.unavailable
			case 4:
				store.lostAnswerShare = rapid.SampledFrom([]float64{0, 0.4}).Draw(t, "lose-answers")
			case 5:
				members[index].step(now, store, messenger.DrainArrived{})
			case 6:
				members[index].step(now, store, messenger.HolderFenced{Token: members[index].token})
			}
		}
		store.unavailable, store.lostAnswerShare = false, 0
		for index, member := range members {
			member.isolated, member.frozen = false, false
			members[index] = member
		}
		members[0] = newMember(0, members[0].incarnation+1) // at least one node is not draining
		run(6 * time.Second)
		for _, member := range members {
			if member.hasValidClaim(now) {
				return
			}
		}
		t.Fatalf("no node has a valid claim after the faults have ended")
	})
}

// TestStoreOutageCausesNoTakeover guards against a node that claims after an
// outage of the store, because it counts renewals that it could not read as
// missing.
func TestStoreOutageCausesNoTakeover(t *testing.T) {
	// The length of the outage determines which call is the first after it.
	for length := 4 * time.Second; length < 5*time.Second; length += 25 * time.Millisecond {
		t.Run(length.String(), func(t *testing.T) {
			c := quicktest.New(t)
			store := &store{random: rand.New(rand.NewPCG(1, 1))}
			members := []*member{newMember(0, 1), newMember(1, 1), newMember(2, 1)}
			now := time.Unix(1_000_000, 0)
			run := func(span time.Duration) {
				for end := now.Add(span); now.Before(end); now = now.Add(tick) {
					for _, member := range members {
						member.advance(now, store)
					}
				}
			}
			run(2 * time.Second)
			holder := members[0]
			for _, member := range members {
				if member.token != 0 {
					holder = member
				}
			}
			token := holder.token
			c.Assert(token, quicktest.Not(quicktest.Equals), identifier.Term(0))
			store.unavailable = true
			run(length)
			store.unavailable = false
			run(3 * time.Second)
			c.Assert(holder.token, quicktest.Equals, token)
			c.Assert(holder.hasValidClaim(now), quicktest.IsTrue)
		})
	}
}

// TestReleasedClaimIsTakenOverAtOnce guards against a takeover that waits for
// ClaimTimeout although the holder released its claim at a planned stop.
func TestReleasedClaimIsTakenOverAtOnce(t *testing.T) {
	c := quicktest.New(t)
	store := &store{random: rand.New(rand.NewPCG(1, 1))}
	members := []*member{newMember(0, 1), newMember(1, 1)}
	now := time.Unix(1_000_000, 0)
	run := func(span time.Duration) {
		for end := now.Add(span); now.Before(end); now = now.Add(tick) {
			for _, member := range members {
				member.advance(now, store)
			}
		}
	}
	run(2 * time.Second)
	holder, other := members[0], members[1]
	if other.token != 0 {
		holder, other = other, holder
	}
	holder.step(now, store, messenger.DrainArrived{})
	run(300 * time.Millisecond)
	c.Assert(other.token, quicktest.Not(quicktest.Equals), identifier.Term(0))
}

// TestRestartedHolderClaimsAtOnce guards against a holder that waits for
// ClaimTimeout after its own restart, although the earlier process has ended.
func TestRestartedHolderClaimsAtOnce(t *testing.T) {
	c := quicktest.New(t)
	store := &store{random: rand.New(rand.NewPCG(1, 1))}
	members := []*member{newMember(0, 1), newMember(1, 1)}
	now := time.Unix(1_000_000, 0)
	run := func(span time.Duration) {
		for end := now.Add(span); now.Before(end); now = now.Add(tick) {
			for _, member := range members {
				member.advance(now, store)
			}
		}
	}
	run(2 * time.Second)
	holder := 0
	if members[1].token != 0 {
		holder = 1
	}
	members[holder] = newMember(holder, 2)
	run(400 * time.Millisecond)
	c.Assert(members[holder].hasValidClaim(now), quicktest.IsTrue)
}

// TestRefusedClaimsBackOff guards against candidates that keep an overloaded store
// overloaded: all of them repeat their claims every 100 ms while it refuses appends.
func TestRefusedClaimsBackOff(t *testing.T) {
	const nodes = 34
	c := quicktest.New(t)
	store := &store{random: rand.New(rand.NewPCG(1, 1)), refusing: true}
	var members []*member
	for index := range nodes {
		members = append(members, newMember(index, 1))
	}
	now := time.Unix(1_000_000, 0)
	run := func(span time.Duration) {
		for end := now.Add(span); now.Before(end); now = now.Add(tick) {
			for _, member := range members {
				member.advance(now, store)
			}
		}
	}
	run(10 * time.Second)
	c.Check(store.attempts < 20*nodes, quicktest.IsTrue, quicktest.Commentf("%d attempts of %d nodes in 10 s", store.attempts, nodes))
	store.refusing = false
	run(1200 * time.Millisecond)
	c.Check(store.claims, quicktest.Not(quicktest.HasLen), 0)
}

// TestFenceRisesWithEachRenewal guards against a holder that can't give a restarted minion a
// higher token than its earlier life had, and against a next holder whose token is not higher.
func TestFenceRisesWithEachRenewal(t *testing.T) {
	c := quicktest.New(t)
	store := &store{random: rand.New(rand.NewPCG(1, 1))}
	members := []*member{newMember(0, 1), newMember(1, 1)}
	now := time.Unix(1_000_000, 0)
	run := func(span time.Duration) {
		for end := now.Add(span); now.Before(end); now = now.Add(tick) {
			for _, member := range members {
				member.advance(now, store)
			}
		}
	}
	run(2 * time.Second)
	if members[1].token != 0 {
		members[0], members[1] = members[1], members[0]
	}
	fence := members[0].fence
	run(2 * claimer.RenewInterval)
	c.Assert(members[0].fence > fence, quicktest.IsTrue)
	members[0].frozen = true
	run(3 * time.Second)
	c.Assert(members[1].token > members[0].fence, quicktest.IsTrue)
}
