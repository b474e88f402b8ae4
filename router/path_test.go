package router

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/google/uuid"

	"corianderroad/commander"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// TestRequestPath guards against a fault in the path of a request from its entry to
// the minion and back, with and without a key.
func TestRequestPath(t *testing.T) {
	for _, key := range []identifier.Key{"", identifier.Key(uuid.Must(uuid.NewV7()).String())} {
		c := quicktest.New(t)
		now := time.Now()
		identity := messenger.Identity{Node: "n", Region: "r", Incarnation: 1}
		router := New(identity, Parameters{}, rand.New(rand.NewPCG(1, 1)))
		router.Step(now, messenger.ConfigurationChanged{Configuration: &messenger.Configuration{
			Organisations: []messenger.OrganisationText{{Services: []messenger.ServiceSpec{{
				Service: "rota", Methods: []messenger.MethodSpec{{Method: "swap", Timeout: time.Second}},
			}}}},
		}})
		router.Step(now, messenger.MembersChanged{Members: []messenger.Member{{Identity: identity, State: messenger.Alive}}})
		router.Step(now, messenger.VMsListed{VMs: []messenger.VM{{Name: "m", Role: messenger.MinionVM, Region: "r", Service: "rota"}}})
		router.Step(now, messenger.SlotsAnswered{Minion: "m", Slots: 8})
		actions := router.Step(now, messenger.CallArrived{Request: "q", Call: commander.Call{Workspace: "w", Service: "rota", Method: "swap", Key: key}})
		if key != "" {
			c.Assert(actions, quicktest.HasLen, 1)
			actions = router.Step(now, messenger.IntentApplied{Key: key, Request: "q", First: true, Holder: "n"})
		}
		c.Assert(actions, quicktest.HasLen, 1)
		called := actions[0].(messenger.CallMinion)
		c.Assert(called.Timeout, quicktest.Equals, time.Second)
		actions = router.Step(now, messenger.MinionAnswered{Minion: "m", Request: called.Request, Attempt: called.Attempt, Body: []byte("done")})
		c.Assert(actions, quicktest.DeepEquals, []messenger.Action{messenger.CallAnswered{Request: "q", Body: []byte("done")}})
	}
}
