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
	tick      = 5 * time.Millisecond
	readEvery = 300 * time.Millisecond
)

// store orders the claims of all nodes.
type store struct {
	claims []messenger.Claim
	down   bool
	// loseAnswers is the share of appends that are done without an answer.
	loseAnswers float64
	source      *rand.Rand
}

// member is a node with its claimer.
type member struct {
	claimer *claimer.Claimer
	name    string
	cut     bool
	frozen  bool
	life    int
	read    int
	readAt  time.Time
	failed  bool
	token   identifier.Term
	// confirmedAt is what the node believes.
	confirmedAt time.Time
	pending     []pendingEvent
}

type pendingEvent struct {
	at    time.Time
	event messenger.Event
}

func (store *store) append(now time.Time, action messenger.AppendClaim) messenger.ClaimAppended {
	appended := messenger.ClaimAppended{Claim: action.Claim, SentAt: now}
	if int(action.At) != len(store.claims) {
		appended.Err = classifier.New(classifier.Conflict, "ends at %d", len(store.claims))
		return appended
	}
	appended.Offset = identifier.Offset(len(store.claims))
	store.claims = append(store.claims, action.Claim)
	if store.source.Float64() < store.loseAnswers {
		appended.Err = classifier.New(classifier.OutcomeUnknown, "no answer")
	}
	return appended
}

func newMember(index, life int) *member {
	name := fmt.Sprintf("n%d", index)
	source := rand.New(rand.NewPCG(uint64(index), uint64(life)))
	return &member{claimer: claimer.New(identifier.Node(name), identifier.Incarnation(life), 0, source), name: name, life: life}
}

// step gives an event to the node and its appends to the store.
func (member *member) step(now time.Time, store *store, event messenger.Event) {
	for _, action := range member.claimer.Step(now, event) {
		switch action := action.(type) {
		case messenger.HolderChanged:
			member.token, member.confirmedAt = action.Token, action.ConfirmedAt
		case messenger.AppendClaim:
			appended := messenger.ClaimAppended{Claim: action.Claim, SentAt: now, Err: classifier.New(classifier.OutcomeUnknown, "no answer")}
			wait := 600 * time.Millisecond
			if !store.down && !member.cut {
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
	// A tick comes before a read, so that a claim that was due during an outage
	// is the first call after it.
	if next := member.claimer.Next(); !next.IsZero() && !next.After(now) {
		member.step(now, store, messenger.Tick{})
	}
	if (store.down || member.cut) && now.Sub(member.readAt) >= readEvery {
		member.readAt, member.failed = now, true // a reader that failed pauses
	}
	if !store.down && !member.cut && ((member.read < len(store.claims) && !member.failed) || now.Sub(member.readAt) >= readEvery) {
		member.failed = false
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

func (member *member) sure(now time.Time) bool {
	return member.token != 0 && !member.frozen && now.Sub(member.confirmedAt) <= claimer.SureFor
}

// TestAtMostOneSureHolder guards against two nodes that start work at the same
// time, against a token that is used twice, and against a group that stays
// without a holder, while nodes are cut off, frozen and restarted, the store is
// away and its answers are lost.
func TestAtMostOneSureHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &store{source: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))}
		members := []*member{newMember(0, 1), newMember(1, 1), newMember(2, 1)}
		now := time.Unix(1_000_000, 0)
		owners := make(map[identifier.Term]string)
		check := func() {
			var sure []*member
			for _, member := range members {
				if member.sure(now) {
					sure = append(sure, member)
				}
				if owner := fmt.Sprint(member.name, member.life); member.token != 0 {
					if known, ok := owners[member.token]; ok && known != owner {
						t.Fatalf("token %d of %s and %s", member.token, known, owner)
					}
					owners[member.token] = owner
				}
			}
			if len(sure) > 1 {
				t.Fatalf("%s and %s are sure at %s", sure[0].name, sure[1].name, now.Format("05.000"))
			}
		}
		spend := func(span time.Duration) {
			for end := now.Add(span); now.Before(end); now = now.Add(tick) {
				for _, member := range members {
					member.advance(now, store)
				}
				check()
			}
		}
		for range rapid.IntRange(0, 8).Draw(t, "events") {
			spend(time.Duration(rapid.IntRange(10, 2500).Draw(t, "span")) * time.Millisecond)
			index := rapid.IntRange(0, 2).Draw(t, "node")
			switch rapid.IntRange(0, 6).Draw(t, "kind") {
			case 0:
				members[index].cut = !members[index].cut
			case 1:
				members[index].frozen = !members[index].frozen
			case 2:
				members[index] = newMember(index, members[index].life+1)
			case 3:
				store.down = !store.down
			case 4:
				store.loseAnswers = rapid.SampledFrom([]float64{0, 0.4}).Draw(t, "lose-answers")
			case 5:
				members[index].step(now, store, messenger.DrainArrived{})
			case 6:
				members[index].step(now, store, messenger.HolderFenced{Token: members[index].token})
			}
		}
		store.down, store.loseAnswers = false, 0
		for index, member := range members {
			member.cut, member.frozen = false, false
			members[index] = member
		}
		members[0] = newMember(0, members[0].life+1) // at least one does not leave
		spend(6 * time.Second)
		for _, member := range members {
			if member.sure(now) {
				return
			}
		}
		t.Fatalf("no holder after the faults have ended")
	})
}

// TestOutageOfTheStoreIsNoTakeover guards against nodes that take the silence of
// the store for that of the holder.
func TestOutageOfTheStoreIsNoTakeover(t *testing.T) {
	// The length decides which call is the first after the outage.
	for length := 4 * time.Second; length < 5*time.Second; length += 25 * time.Millisecond {
		t.Run(length.String(), func(t *testing.T) {
			c := quicktest.New(t)
			store := &store{source: rand.New(rand.NewPCG(1, 1))}
			members := []*member{newMember(0, 1), newMember(1, 1), newMember(2, 1)}
			now := time.Unix(1_000_000, 0)
			spend := func(span time.Duration) {
				for end := now.Add(span); now.Before(end); now = now.Add(tick) {
					for _, member := range members {
						member.advance(now, store)
					}
				}
			}
			spend(2 * time.Second)
			holder := members[0]
			for _, member := range members {
				if member.token != 0 {
					holder = member
				}
			}
			token := holder.token
			c.Assert(token, quicktest.Not(quicktest.Equals), identifier.Term(0))
			store.down = true
			spend(length)
			store.down = false
			spend(3 * time.Second)
			c.Assert(holder.token, quicktest.Equals, token)
			c.Assert(holder.sure(now), quicktest.IsTrue)
		})
	}
}

// TestReleasedClaimIsTakenAtOnce guards against a planned stop that costs a
// takeover's wait.
func TestReleasedClaimIsTakenAtOnce(t *testing.T) {
	c := quicktest.New(t)
	store := &store{source: rand.New(rand.NewPCG(1, 1))}
	members := []*member{newMember(0, 1), newMember(1, 1)}
	now := time.Unix(1_000_000, 0)
	spend := func(span time.Duration) {
		for end := now.Add(span); now.Before(end); now = now.Add(tick) {
			for _, member := range members {
				member.advance(now, store)
			}
		}
	}
	spend(2 * time.Second)
	holder, other := members[0], members[1]
	if other.token != 0 {
		holder, other = other, holder
	}
	holder.step(now, store, messenger.DrainArrived{})
	spend(300 * time.Millisecond)
	c.Assert(other.token, quicktest.Not(quicktest.Equals), identifier.Term(0))
}

// TestRestartedHolderClaimsAtOnce guards against a holder that waits, after its
// own restart, for the silence of its earlier process.
func TestRestartedHolderClaimsAtOnce(t *testing.T) {
	c := quicktest.New(t)
	store := &store{source: rand.New(rand.NewPCG(1, 1))}
	members := []*member{newMember(0, 1), newMember(1, 1)}
	now := time.Unix(1_000_000, 0)
	spend := func(span time.Duration) {
		for end := now.Add(span); now.Before(end); now = now.Add(tick) {
			for _, member := range members {
				member.advance(now, store)
			}
		}
	}
	spend(2 * time.Second)
	holder := 0
	if members[1].token != 0 {
		holder = 1
	}
	members[holder] = newMember(holder, 2)
	spend(400 * time.Millisecond)
	c.Assert(members[holder].sure(now), quicktest.IsTrue)
}
