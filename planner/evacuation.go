package planner

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"corianderroad/identifier"
	"corianderroad/messenger"
)

// Evacuations of failure domains. Every node keeps those that the operator requests, also
// across changes of the holder, so that a new holder knows them from its own reading.

// evacuationMargin is the part of the evacuation time that is left for an order to reach its
// minion once the newest reading of the operator's requests is too old for more starts.
const evacuationMargin = time.Second

// evacuations are the failure domains whose evacuation is requested.
type evacuations struct {
	requested map[identifier.FailureDomain]*evacuation
	// readAt is a time up to which all requests have been read, zero before the first reading.
	readAt time.Time
	// nextMoveAt is when runs that can move out of the domains are next searched for.
	nextMoveAt time.Time
}

// evacuation is the evacuation of one failure domain.
type evacuation struct {
	// firstReadAt is when this node read the request.
	firstReadAt time.Time
	// isEmptyReported means that the end of the last run there has been reported.
	isEmptyReported bool
}

func newEvacuations() *evacuations {
	return &evacuations{requested: make(map[identifier.FailureDomain]*evacuation)}
}

// isEvacuated reports whether no run may be started on the minion because of its domain.
func (minion *minion) isEvacuated() bool {
	return minion.evacuations.requested[minion.report.FailureDomain] != nil
}

// handleEvacuations applies a reading of the operator's requests.
func (planner *Planner) handleEvacuations(now time.Time, event messenger.EvacuationsRead) {
	if planner.bounds.EvacuationTime == 0 {
		return
	}
	evacuations := planner.evacuations
	planner.passNeeded = planner.passNeeded || !planner.hasCurrentEvacuations(now)
	if event.SentAt.After(evacuations.readAt) {
		evacuations.readAt = event.SentAt
	}
	age := now.Sub(event.SentAt)
	requested := make(map[identifier.FailureDomain]bool, len(event.Requested))
	for _, domain := range event.Requested {
		requested[domain] = true
		if evacuations.requested[domain] == nil {
			planner.requestEvacuation(now, domain, age)
		}
	}
	for _, domain := range event.Removed {
		planner.removeEvacuation(domain, age)
	}
	if !event.Complete {
		return
	}
	for _, domain := range slices.Sorted(maps.Keys(evacuations.requested)) {
		if !requested[domain] {
			planner.removeEvacuation(domain, age)
		}
	}
}

func (planner *Planner) requestEvacuation(now time.Time, domain identifier.FailureDomain, age time.Duration) {
	planner.evacuations.requested[domain] = &evacuation{firstReadAt: now}
	planner.emitDecision(string(domain), "evacuation-requested", "the operator has requested it", planner.describeDomain(domain), age)
	for _, minion := range planner.minions {
		if minion.report.FailureDomain == domain {
			planner.reservations.release(minion)
		}
	}
	planner.passNeeded = true
}

func (planner *Planner) removeEvacuation(domain identifier.FailureDomain, age time.Duration) {
	if planner.evacuations.requested[domain] == nil {
		return
	}
	delete(planner.evacuations.requested, domain)
	planner.emitDecision(string(domain), "evacuation-removed", "the operator has withdrawn it", planner.describeDomain(domain), age)
	planner.passNeeded = true
}

// reportEmptyDomains reports the evacuated domains in which the last run has ended.
func (planner *Planner) reportEmptyDomains(now time.Time) {
	for _, domain := range slices.Sorted(maps.Keys(planner.evacuations.requested)) {
		evacuation := planner.evacuations.requested[domain]
		if !evacuation.isEmptyReported && planner.isEmptyDomain(domain) {
			evacuation.isEmptyReported = true
			planner.emitDecision(string(domain), "evacuation-empty", "the last run there has ended", planner.describeDomain(domain), now.Sub(evacuation.firstReadAt))
		}
	}
}

// isEmptyDomain reports whether certainly no run is left in a failure domain. Runs of a former
// holder may be unknown until the holder is reconciled.
func (planner *Planner) isEmptyDomain(domain identifier.FailureDomain) bool {
	for _, minion := range planner.minions {
		if minion.report.FailureDomain == domain && (len(minion.runs) > 0 || minion.hasUnknownRuns) {
			return false
		}
	}
	return planner.holder.reconciled
}

// describeDomain returns the number of minions and of runs in a domain, as inputs of a log
// line. Only the holder knows them.
func (planner *Planner) describeDomain(domain identifier.FailureDomain) string {
	minions, runs := planner.countDomain(domain)
	return fmt.Sprintf("minions=%d runs=%d holder=%t", minions, runs, planner.holder.active)
}

// hasCurrentEvacuations reports whether tasks may be started: the newest reading of the
// operator's requests is so recent that none that it lacks forbids the start yet.
func (planner *Planner) hasCurrentEvacuations(now time.Time) bool {
	bound := planner.bounds.EvacuationTime
	return bound == 0 || now.Sub(planner.evacuations.readAt) <= bound-evacuationMargin
}

// startExpiry returns the time from which on an order to start a run must not be sent any more.
// Its answer is awaited for answerTimeout, in which it may be sent again on a new connection.
func (planner *Planner) startExpiry(now time.Time) time.Time {
	expiry := now.Add(orderLifetime)
	if bound := planner.bounds.EvacuationTime; bound > 0 {
		if latest := planner.evacuations.readAt.Add(bound - answerTimeout); latest.Before(expiry) {
			return latest
		}
	}
	return expiry
}
