package checker

import (
	"time"

	"corianderroad/identifier"
)

const (
	// EvacuationTime is the settings' bound on starts in a failure domain after the request for
	// its evacuation was acknowledged.
	EvacuationTime = 5 * time.Second
	// evacuationBound is the time beyond which no start may arrive there. It includes the longest
	// delay that the proxies add to an order, as CancelBound does.
	evacuationBound = EvacuationTime + 2*time.Second
)

// Registered records the failure domain of a minion.
func (checker *Checker) Registered(minion string, domain identifier.FailureDomain) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.domains[minion] = domain
}

// Evacuated records the acknowledgement of a request to evacuate a failure domain.
func (checker *Checker) Evacuated(domain identifier.FailureDomain) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.evacuatedAt[domain] = time.Now()
	checker.counts["evacuations"]++
}

// EvacuationWithdrawn records that the request for a failure domain is about to be withdrawn.
func (checker *Checker) EvacuationWithdrawn(domain identifier.FailureDomain) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	delete(checker.evacuatedAt, domain)
}

// checkEvacuation checks that a start arrives in time if the minion's domain is evacuated.
func (checker *Checker) checkEvacuation(minion, name string, run uint64) {
	domain := checker.domains[minion]
	requestedAt, isEvacuated := checker.evacuatedAt[domain]
	if !isEvacuated {
		return
	}
	checker.counts["starts in evacuated domains"]++
	if age := time.Since(requestedAt); age > evacuationBound {
		checker.addViolation("%s: run %d starts on %s %s after the request to evacuate %s was acknowledged", name, run, minion, age, domain)
	}
}
