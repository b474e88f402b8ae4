package planner

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"corianderroad/identifier"
	"corianderroad/querier"
)

// status returns the gauges of the holder.
func (planner *Planner) status(now time.Time) querier.Answer {
	runs := 0
	for _, minion := range planner.minions {
		runs += len(minion.runs)
	}
	gauges := append(planner.waitingGauges(now), planner.profileGauges()...)
	if planner.queueWaits != nil {
		gauges = append(gauges, planner.queueWaits.starts.gauges()...)
	}
	return querier.Answer{Gauges: append(gauges, []querier.Gauge{
		{Name: "minions", Value: float64(len(planner.minions))},
		{Name: "runs", Value: float64(runs)},
		{Name: "live-jobs", Value: float64(len(planner.openJobs))},
		{Name: "gang-reservations", Value: float64(planner.gangReservations.countReservations())},
		{Name: "evacuated-domains", Value: float64(len(planner.evacuations.requested))},
	}...)}
}

// poolStatus returns what this node knows of the pool as a whole. It changes no state.
func (planner *Planner) poolStatus(now time.Time) querier.Answer {
	pool := querier.Pool{AsOf: now, EvacuationsReadAt: planner.evacuations.readAt, Evacuations: planner.listEvacuations()}
	if planner.holder.active {
		minions := planner.countMinions(now)
		pool.Token, pool.AcceptedJobs = planner.holder.token, len(planner.openJobs)
		pool.Minions, pool.WaitingSteps = tallies[availability](minions[:]), tallies[waitReason](planner.waiting.counts[:])
		pool.GangReservations, pool.ReclaimedReservations = planner.gangReservations.countReservations(), len(planner.reservations.byStep)
	}
	return querier.Answer{IsHolder: planner.holder.active, Pools: []querier.Pool{pool}}
}

// listEvacuations returns the evacuated failure domains in the order of their names.
func (planner *Planner) listEvacuations() []querier.Evacuation {
	var rows []querier.Evacuation
	for _, domain := range slices.Sorted(maps.Keys(planner.evacuations.requested)) {
		minions, runs := planner.countDomain(domain)
		rows = append(rows, querier.Evacuation{
			Domain: domain, ReadAt: planner.evacuations.requested[domain].firstReadAt, Minions: minions, Runs: runs,
			IsEmpty: planner.holder.active && planner.isEmptyDomain(domain),
		})
	}
	return rows
}

// countDomain returns the number of minions and of runs in a failure domain. Only the holder
// knows them.
func (planner *Planner) countDomain(domain identifier.FailureDomain) (minions, runs int) {
	for _, minion := range planner.minions {
		if minion.report.FailureDomain == domain {
			minions++
			runs += len(minion.runs)
		}
	}
	return minions, runs
}

// tallies returns the values that occur, with their numbers, in the order of the values.
func tallies[Value interface {
	~uint8
	fmt.Stringer
}](counts []int) []querier.Tally {
	var rows []querier.Tally
	for value, count := range counts {
		if count > 0 {
			rows = append(rows, querier.Tally{Name: Value(value).String(), Count: count})
		}
	}
	return rows
}
