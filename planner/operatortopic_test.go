package planner_test

import (
	"fmt"
	"time"

	"corianderroad/identifier"
	"corianderroad/messenger"
)

const (
	// evacuationTime is the bound of the simulation on starts in an evacuated domain.
	evacuationTime = 5 * time.Second
	// operatorReadInterval is how long a read of the operator's topic waits for a record.
	operatorReadInterval = time.Second
	// latestPromptOrder is the time from an order to its execution from which on the simulation
	// has carried it out late.
	latestPromptOrder = time.Second
)

// operatorTopic holds the requests for evacuations and their withdrawals.
type operatorTopic struct {
	records []evacuationRecord
	// requestedAt is when the request that holds for each domain was acknowledged.
	requestedAt map[identifier.FailureDomain]time.Time
	// unreadableFrom holds the nodes whose reads of the topic fail, although all other calls are
	// carried out.
	unreadableFrom map[*node]bool
	// starts counts the starts in each domain.
	starts map[identifier.FailureDomain]int
}

type evacuationRecord struct {
	domain    identifier.FailureDomain
	requested bool
}

// newEvacuationSimulation returns a simulation with evacuations. Each rack is a failure domain.
func newEvacuationSimulation(seed uint64, nodes, minions int) *simulation {
	simulation := newSimulation(seed, 0, minions)
	simulation.addEvacuations(nodes)
	return simulation
}

// addEvacuations adds the operator's topic, and nodes that read it.
func (simulation *simulation) addEvacuations(nodes int) {
	simulation.evacuationTime = evacuationTime
	simulation.operator.starts = make(map[identifier.FailureDomain]int)
	simulation.operator.requestedAt = make(map[identifier.FailureDomain]time.Time)
	simulation.operator.unreadableFrom = make(map[*node]bool)
	for index := range nodes {
		simulation.nodes = append(simulation.nodes, simulation.newNode(fmt.Sprintf("n%d", index)))
	}
}

func domainOf(rack int) identifier.FailureDomain {
	return identifier.FailureDomain(fmt.Sprintf("z%d", rack))
}

func (minion *fakeMinion) failureDomain() identifier.FailureDomain { return domainOf(minion.rack) }

// evacuate writes or withdraws the request for the evacuation of a domain, which all nodes read
// soon.
func (simulation *simulation) evacuate(domain identifier.FailureDomain, requested bool) {
	operator := &simulation.operator
	simulation.noteFault("store-evacuation of %s requested=%t", domain, requested)
	operator.records = append(operator.records, evacuationRecord{domain, requested})
	if _, exists := operator.requestedAt[domain]; !requested {
		delete(operator.requestedAt, domain)
	} else if !exists {
		operator.requestedAt[domain] = simulation.now
	}
	for _, node := range simulation.nodes {
		sentAt := simulation.now
		simulation.schedule(latency, func() { simulation.deliverOperatorTopic(node, sentAt) })
	}
}

// readOperatorTopic lets a node read the operator's topic again and again.
func (simulation *simulation) readOperatorTopic(node *node, sentAt time.Time) {
	if !node.alive {
		return
	}
	simulation.deliverOperatorTopic(node, sentAt)
	next := simulation.now
	simulation.schedule(operatorReadInterval, func() { simulation.readOperatorTopic(node, next) })
}

// deliverOperatorTopic delivers the records that the node has not read, or lists them all.
func (simulation *simulation) deliverOperatorTopic(node *node, sentAt time.Time) {
	operator := &simulation.operator
	if !node.alive || !simulation.store.isReachableFrom(node) || operator.unreadableFrom[node] {
		return
	}
	read := messenger.EvacuationsRead{Complete: node.operatorRead < 0, SentAt: sentAt}
	newest := make(map[identifier.FailureDomain]bool)
	for _, record := range operator.records[max(0, node.operatorRead):] {
		newest[record.domain] = record.requested
	}
	for _, record := range operator.records[max(0, node.operatorRead):] {
		requested, unread := newest[record.domain]
		delete(newest, record.domain)
		switch {
		case unread && requested:
			read.Requested = append(read.Requested, record.domain)
		case unread && !read.Complete:
			read.Removed = append(read.Removed, record.domain)
		}
	}
	node.operatorRead = len(operator.records)
	simulation.step(node, read)
}

// checkEvacuation checks that no start arrives in an evacuated domain after the bound, unless
// its order was carried out late.
func (simulation *simulation) checkEvacuation(run *fakeRun, sentAt time.Time) {
	if simulation.evacuationTime == 0 {
		return
	}
	simulation.operator.starts[run.minion.failureDomain()]++
	requestedAt, evacuated := simulation.operator.requestedAt[run.minion.failureDomain()]
	isLate := simulation.now.Sub(sentAt) >= latestPromptOrder
	if evacuated && !isLate && simulation.now.Sub(requestedAt) > simulation.evacuationTime {
		simulation.reportViolation("%s: run %d starts on %s %s after the request to evacuate %s", run.task, run.number, run.minion.name,
			simulation.now.Sub(requestedAt), run.minion.failureDomain())
	}
}
