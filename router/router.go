// Package router decides where service requests run. A Router is the state
// machine of one node in two roles: it is the entry of its callers' requests, and
// it is the owner of the slots of some minions.
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
	// actions collects the actions of one Step.
	actions []messenger.Action
	// localMessages holds the messages that the node sends to itself.
	localMessages []messenger.Peer

	catalogue catalogue
	topology  topology
	draining  bool

	calls    map[identifier.Request]*call
	outcomes outcomes

	// endpoints holds the minions of the VM list. owned holds the minions that
	// this node owns or still has open attempts at.
	endpoints map[identifier.Minion]endpoint
	owned     map[identifier.Minion]*minion
	queues    map[identifier.Service]*queue
	attempts  map[attemptID]*attempt
	history   history
	// runTimes estimates the run times of requests from the observed ones.
	runTimes    *estimator.Estimator
	retryBudget retrier.Budget
	link        link
	breaker     breaker
	decisions   *recorder.Recorder
	load        loadReport
	// sequence numbers the attempts in the order of their arrival.
	sequence uint64
	// pendingResends counts the answers that wait to be sent again.
	pendingResends int
	// callBytes and attemptBytes are the sums of the bodies held in each role.
	callBytes, attemptBytes int
}

// attemptID identifies one attempt of a request.
type attemptID struct {
	request identifier.Request
	attempt identifier.Attempt
}

// New returns a Router with the given source of randomness.
func New(identity messenger.Identity, parameters Parameters, random *rand.Rand) *Router {
	return &Router{
		identity:    identity,
		parameters:  parameters.withDefaults(),
		random:      random,
		topology:    newTopology(identity),
		calls:       map[identifier.Request]*call{},
		outcomes:    newOutcomes(),
		owned:       map[identifier.Minion]*minion{},
		queues:      map[identifier.Service]*queue{},
		attempts:    map[attemptID]*attempt{},
		history:     newHistory(),
		runTimes:    estimator.New(),
		retryBudget: retrier.NewBudget(),
		link:        newLink(parameters.withDefaults().LinkBytes),
		decisions:   recorder.New(identity.Node, maxDecisions),
	}
}

// Step implements decider.StateMachine.
func (router *Router) Step(now time.Time, event messenger.Event) []messenger.Action {
	// Due timers fire first: after a pause, attempts that are past their deadline
	// must be rejected before an event can dispatch them.
	router.timers.fire(now)
	router.handle(now, event)
	for len(router.localMessages) > 0 {
		message := router.localMessages[0]
		router.localMessages = router.localMessages[1:]
		router.handlePeerMessage(now, router.identity.Node, message)
	}
	router.reportLoad(now)
	actions := router.actions
	router.actions, router.localMessages = nil, nil
	return actions
}

func (router *Router) handle(now time.Time, event messenger.Event) {
	switch event := event.(type) {
	case messenger.CallArrived:
		router.handleCallArrived(now, event)
	case messenger.CallerDisconnected:
		router.handleCallerDisconnected(now, event.Request)
	case messenger.PeerReceived:
		router.handlePeerMessage(now, event.From, event.Message)
	case messenger.PeerSendFailed:
		router.handlePeerSendFailed(now, event.To, event.Message)
	case messenger.MinionAnswered:
		router.handleMinionAnswered(now, event)
	case messenger.SlotsAnswered:
		router.handleSlotsAnswered(now, event)
	case messenger.IntentApplied:
		router.handleIntentApplied(now, event)
	case messenger.AppendFailed:
		router.handleAppendFailed(now, event)
	case messenger.MembersChanged:
		router.handleMembersChanged(now, event.Members)
	case messenger.HeartbeatReceived:
		router.topology.updateLoad(event.Node, event.Digest.Queued, event.Digest.FreeSlots)
	case messenger.ConfigurationChanged:
		router.catalogue = newCatalogue(event.Configuration)
		router.dispatchAll(now)
	case messenger.VMsListed:
		router.handleVMsListed(now, event.VMs)
	case messenger.DrainArrived:
		router.handleDrainArrived(now)
	}
}

// Next implements decider.StateMachine.
func (router *Router) Next() time.Time { return router.timers.next() }

func (router *Router) emit(action messenger.Action) {
	router.actions = append(router.actions, action)
}

// send sends a message to a node, which may be this one.
func (router *Router) send(to identifier.Node, message messenger.Peer) {
	if to == router.identity.Node {
		router.localMessages = append(router.localMessages, message)
		return
	}
	router.emit(messenger.SendPeer{To: to, Address: router.topology.address(to), Message: message})
}

func (router *Router) handlePeerMessage(now time.Time, from identifier.Node, message messenger.Peer) {
	switch message := message.(type) {
	case messenger.Forward:
		router.handleForward(now, from, message)
	case messenger.ForwardAnswer:
		router.handleForwardAnswer(now, from, message)
	case messenger.ForwardCancel:
		router.handleForwardCancel(now, from, message)
	case messenger.OutcomeRequest:
		router.handleOutcomeRequest(now, from, message)
	case messenger.OutcomeResponse:
		router.handleOutcomeResponse(now, from, message)
	}
}

func (router *Router) handlePeerSendFailed(now time.Time, to identifier.Node, message messenger.Peer) {
	switch message := message.(type) {
	case messenger.Forward:
		router.handleForwardSendFailed(now, to, message)
	case messenger.ForwardAnswer:
		router.resendAnswer(now, to, message)
	}
}
