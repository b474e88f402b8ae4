package router

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"corianderroad/commander"
	"corianderroad/identifier"
)

// peakLoad generates a load that rises tenfold within 2 s in one region, stays for
// 8 s and falls again, while the load of the other region is constant. One of four
// workspaces sends most of it, a few requests run ten times as long as usual, and some
// methods have a declared run time that is at least ten times too short.
type peakLoad struct {
	simulation *simulation
	baseRate   float64
	// random is separate from the simulation's source, so that all rules are
	// measured with the same requests.
	random *rand.Rand
}

const (
	peakStart = 10 * time.Second
	peakEnd   = 20 * time.Second
	peakRise  = 2 * time.Second
)

// rate returns the request rate of a region per second at a time.
func (peakLoad *peakLoad) rate(region identifier.Region, at time.Duration) float64 {
	if region != "gulf" || at < peakStart || at > peakEnd {
		return peakLoad.baseRate
	}
	return peakLoad.baseRate * (1 + 9*min(1, float64(at-peakStart)/float64(peakRise)))
}

func (peakLoad *peakLoad) exponential(mean time.Duration) time.Duration {
	return time.Duration(-math.Log(1-peakLoad.random.Float64()) * float64(mean))
}

func (peakLoad *peakLoad) issueNext(region identifier.Region, number int) {
	simulation := peakLoad.simulation
	elapsed := simulation.now.Sub(epoch)
	if elapsed > 25*time.Second {
		return
	}
	var entries []*simNode
	for _, node := range simulation.nodes {
		if node.identity.Region == region && node.up {
			entries = append(entries, node)
		}
	}
	call := commander.Call{Workspace: "a", Service: "rota"}
	if peakLoad.random.IntN(100) < 40 {
		call.Workspace = []identifier.Workspace{"b", "c", "d"}[peakLoad.random.IntN(3)]
	}
	runTime := peakLoad.exponential(100 * time.Millisecond)
	switch kind := peakLoad.random.IntN(100); {
	case kind < 70:
		call.Method, call.Deadline = "swap", simulation.now.Add(time.Second)
	case kind < 97:
		call.Method, call.Deadline = "look", simulation.now.Add(time.Second)
	default:
		// Sketches have a declared run time of 50 ms and run for 3 s on average.
		call.Method, call.Deadline = "sketch", simulation.now.Add(40*time.Second)
		runTime = peakLoad.exponential(3 * time.Second)
	}
	if peakLoad.random.IntN(100) < 2 {
		runTime *= 10
	}
	simulation.issue(entries[peakLoad.random.IntN(len(entries))], fmt.Sprintf("%s%d", region, number), call, runTime)
	simulation.after(peakLoad.exponential(time.Duration(float64(time.Second)/peakLoad.rate(region, elapsed))), func() { peakLoad.issueNext(region, number+1) })
}

// measurePeak simulates the peak load with a seed and returns the results by name.
func measurePeak(seed uint64, rules rules, scenario string) map[string]float64 {
	return summarize(simulatePeak(seed, rules, scenario))
}

func simulatePeak(seed uint64, rules rules, scenario string) *simulation {
	simulation := newSimulation(seed, faults{}, 9, 48, []identifier.Region{"gulf", "gulf", "hill"}, func(router *Router) {
		router.rules = rules
		router.topology.randomOwner = rules.randomOwner
	})
	simulation.runUntil(epoch.Add(time.Second))
	for index, region := range twoRegions {
		peak := &peakLoad{simulation: simulation, baseRate: 250, random: rand.New(rand.NewPCG(seed, uint64(index)))}
		peak.issueNext(region, 0)
	}
	// These requests have a deadline of an hour and fill the slots for long requests.
	for number := range 900 {
		simulation.after(time.Duration(number)*10*time.Millisecond, func() {
			call := commander.Call{Workspace: "a", Service: "rota", Method: "sketch", Deadline: simulation.now.Add(time.Hour)}
			simulation.issue(simulation.nodes[number%3*3], fmt.Sprintf("draw%d", number), call, time.Second+time.Duration(number%40)*100*time.Millisecond)
		})
	}
	switch scenario {
	case "deaths":
		// One node of the loaded region and four minions fail during the peak.
		simulation.after(12*time.Second, func() { simulation.kill(simulation.nodes[1]) })
		for _, minion := range []int{3, 12, 21, 30} {
			simulation.after(11*time.Second, func() { simulation.minions[minion].dead = true })
		}
	case "breaks":
		// Every answer of one idempotent method is cut off.
		simulation.after(11*time.Second, func() { simulation.faults.brokenMethod = "look" })
		simulation.after(22*time.Second, func() { simulation.faults.brokenMethod = "" })
	}
	simulation.runUntil(epoch.Add(120 * time.Second))
	return simulation
}

// waitTime returns the time from issue to answer less the request's own run time,
// which is the delay of queueing and network. A request that was not served in time
// counts with the full time until its deadline.
func waitTime(request *simRequest, served bool) time.Duration {
	if !served {
		return request.call.Deadline.Sub(request.at)
	}
	return request.end.Sub(request.at) - request.runTime
}

func summarize(simulation *simulation) map[string]float64 {
	var completion, calm []time.Duration
	var short, inTime, long, longDone, light, lightDone, useful float64
	for _, request := range simulation.issued {
		served := request.answers == 1 && request.err == nil && !request.end.After(request.call.Deadline)
		if served {
			useful += request.runTime.Seconds()
		}
		if request.call.Method == "sketch" {
			long++
			if served {
				longDone++
			}
			continue
		}
		short++
		if request.call.Workspace != "a" {
			light++
		}
		if issuedAt := request.at.Sub(epoch); issuedAt > 4*time.Second && issuedAt < peakStart {
			calm = append(calm, waitTime(request, served))
		}
		if served {
			inTime++
			completion = append(completion, request.end.Sub(request.at))
			if request.call.Workspace != "a" {
				lightDone++
			}
		}
	}
	quantile := func(times []time.Duration, part float64) float64 {
		slices.Sort(times)
		return float64(times[int(part*float64(len(times)-1))].Milliseconds())
	}
	retries := 0
	for _, reason := range []string{"node-unreachable", "minion-unreachable", "minion-busy", "outcome-unknown"} {
		retries += simulation.counters[reason]
	}
	return map[string]float64{
		"p50-ms": quantile(completion, 0.5), "p99-ms": quantile(completion, 0.99),
		"calm-p50-ms": quantile(calm, 0.5), "calm-p99-ms": quantile(calm, 0.99), "in-time-%": 100 * inTime / short,
		"light-in-time-%": 100 * lightDone / light, "long-%": 100 * longDone / long,
		"useful-slot-s": useful, "crossings": float64(simulation.counters["crossings"]),
		"crossed-KB": float64(simulation.crossedBytes) / 1000, "busy": float64(simulation.busyRefusals), "retries": float64(retries),
		"attempts/request": float64(simulation.counters["attempts"]) / float64(len(simulation.issued)),
	}
}

// BenchmarkPeakLoad reports, for each set of rules, the medians over five seeds.
func BenchmarkPeakLoad(b *testing.B) {
	variants := []struct {
		name  string
		rules rules
	}{
		{"all-rules", rules{}},
		{"baseline-fifo", rules{fifo: true, noReservation: true, noEarlyRefusal: true, noFairShares: true, noLearning: true}},
		{"baseline-random-owner", rules{randomOwner: true}},
		{"without-reservation", rules{noReservation: true}},
		{"without-early-refusal", rules{noEarlyRefusal: true}},
		{"without-two-choices", rules{randomOwner: true}},
		{"without-fair-shares", rules{noFairShares: true}},
		{"without-learning", rules{noLearning: true}},
		{"without-budget", rules{noRetryBudget: true}},
	}
	for _, scenario := range []string{"backlog", "deaths", "breaks"} {
		for _, variant := range variants {
			b.Run(scenario+"/"+variant.name, func(b *testing.B) {
				for range b.N {
					var results [5]map[string]float64
					var group sync.WaitGroup
					for seed := range results {
						group.Go(func() { results[seed] = measurePeak(uint64(seed)+1, variant.rules, scenario) })
					}
					group.Wait()
					collected := map[string][]float64{}
					for _, result := range results {
						for name, value := range result {
							collected[name] = append(collected[name], value)
						}
					}
					for name, values := range collected {
						slices.Sort(values)
						b.ReportMetric(values[len(values)/2], name)
					}
				}
			})
		}
	}
}
