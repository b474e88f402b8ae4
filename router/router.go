// Package router decides where service requests run. A Router is the state
// machine of one node in two roles: the entry of its callers' requests and the
// owner of the slots of some minions.
package router

import (
	"math/rand/v2"
	"time"

	"corianderroad/estimator"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/recorder"
	"corianderroad/retrier"
)

// Router is the state machine that decides where service requests run. It is not
// safe for concurrent use.
type Router struct {
	identity   messenger.Identity
	parameters Parameters
	random     *rand.Rand
	rules      rules
	timers     timers
	// actions collects the actions of one Step, local the messages to itself.
	actions []messenger.Action
	local   []messenger.Peer

	catalogue catalogue
	places    places
	draining  bool

	calls    map[identifier.Request]*call
	outcomes outcomes

	// endpoints holds the minions of the VM list, owned those that this node
	// owns or still has open attempts at.
	endpoints map[identifier.Minion]endpoint
	owned     map[identifier.Minion]*minion
	queues    map[identifier.Service]*queue
	works     map[attemptID]*work
	seen      seen
	learned   *estimator.Estimator
	budget    retrier.Budget
	link      link
	breaker   breaker
	recorder  *recorder.Recorder
	load      loadReport
	// sequence numbers the attempts in the order of their arrival, repeats
	// counts the answers that wait to be sent again.
	sequence uint64
	repeats  int
	// callBytes and workBytes are the sums of the bodies held in each role.
	callBytes, workBytes int
}

// attemptID names one attempt of a request.
type attemptID struct {
	request identifier.Request
	attempt identifier.Attempt
}

// New returns a Router with the given source of randomness.
func New(identity messenger.Identity, parameters Parameters, random *rand.Rand) *Router {
	return &Router{
		identity:   identity,
		parameters: parameters.withDefaults(),
		random:     random,
		places:     newPlaces(identity),
		calls:      map[identifier.Request]*call{},
		outcomes:   newOutcomes(),
		owned:      map[identifier.Minion]*minion{},
		queues:     map[identifier.Service]*queue{},
		works:      map[attemptID]*work{},
		seen:       newSeen(),
		learned:    estimator.New(),
		budget:     retrier.NewBudget(),
		link:       newLink(parameters.withDefaults().LinkBytes),
		recorder:   recorder.New(identity.Node, maxDecisions),
	}
}

// Step implements decider.Machine.
func (router *Router) Step(now time.Time, event messenger.Event) []messenger.Action {
	// Due timers fire first: what is past its deadline after a pause must be
	// dropped before any event can dispatch it.
	router.timers.fire(now)
	router.handle(now, event)
	for len(router.local) > 0 {
		message := router.local[0]
		router.local = router.local[1:]
		router.receive(now, router.identity.Node, message)
	}
	router.reportLoad(now)
	actions := router.actions
	router.actions, router.local = nil, nil
	return actions
}

func (router *Router) handle(now time.Time, event messenger.Event) {
	switch event := event.(type) {
	case messenger.CallArrived:
		router.arrive(now, event)
	case messenger.CallerDisconnected:
		router.abandon(now, event.Request)
	case messenger.PeerReceived:
		router.receive(now, event.From, event.Message)
	case messenger.PeerSendFailed:
		router.lose(now, event.To, event.Message)
	case messenger.MinionAnswered:
		router.conclude(now, event)
	case messenger.SlotsAnswered:
		router.updateSlots(now, event)
	case messenger.IntentApplied:
		router.foldIntent(now, event)
	case messenger.AppendFailed:
		router.failIntent(now, event)
	case messenger.MembersChanged:
		router.changeMembers(now, event.Members)
	case messenger.HeartbeatReceived:
		router.places.updateLoad(event.Node, event.Digest.Queued, event.Digest.FreeSlots)
	case messenger.ConfigurationChanged:
		router.catalogue = newCatalogue(event.Configuration)
		router.dispatchAll(now)
	case messenger.VMsListed:
		router.listVMs(now, event.VMs)
	case messenger.DrainArrived:
		router.drain(now)
	}
}

// Next implements decider.Machine.
func (router *Router) Next() time.Time { return router.timers.next() }

func (router *Router) emit(action messenger.Action) {
	router.actions = append(router.actions, action)
}

// send sends a message to a node, which may be this one.
func (router *Router) send(to identifier.Node, message messenger.Peer) {
	if to == router.identity.Node {
		router.local = append(router.local, message)
		return
	}
	router.emit(messenger.SendPeer{To: to, Address: router.places.address(to), Message: message})
}

func (router *Router) receive(now time.Time, from identifier.Node, message messenger.Peer) {
	switch message := message.(type) {
	case messenger.Forward:
		router.accept(now, from, message)
	case messenger.ForwardAnswer:
		router.settle(now, from, message)
	case messenger.ForwardCancel:
		router.withdraw(now, from, message)
	case messenger.OutcomeRequest:
		router.answerOutcome(now, from, message)
	case messenger.OutcomeResponse:
		router.takeOutcome(now, from, message)
	}
}

func (router *Router) lose(now time.Time, to identifier.Node, message messenger.Peer) {
	switch message := message.(type) {
	case messenger.Forward:
		router.loseForward(now, to, message)
	case messenger.ForwardAnswer:
		router.repeatAnswer(now, to, message)
	}
}
