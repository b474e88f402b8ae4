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

// crest is a peak load that rises tenfold within 2 s in one region, stays for 8 s
// and falls again, while the other region stays calm. One of four workspaces
// sends most of it, a few requests run ten times as long as their kind, and
// some methods are declared ten times too short.
type crest struct {
	w    *world
	base float64
	// random is the crest's own, so that all rules are measured with the same requests.
	random *rand.Rand
}

const (
	crestStart = 10 * time.Second
	crestEnd   = 20 * time.Second
	crestRise  = 2 * time.Second
)

// rate returns the number of requests per second of a region at a time.
func (crest *crest) rate(region identifier.Region, at time.Duration) float64 {
	if region != "gulf" || at < crestStart || at > crestEnd {
		return crest.base
	}
	return crest.base * (1 + 9*min(1, float64(at-crestStart)/float64(crestRise)))
}

func (crest *crest) exponential(mean time.Duration) time.Duration {
	return time.Duration(-math.Log(1-crest.random.Float64()) * float64(mean))
}

func (crest *crest) arrive(region identifier.Region, number int) {
	w := crest.w
	elapsed := w.now.Sub(epoch)
	if elapsed > 25*time.Second {
		return
	}
	var entries []*simNode
	for _, node := range w.nodes {
		if node.identity.Region == region && node.up {
			entries = append(entries, node)
		}
	}
	call := commander.Call{Workspace: "a", Service: "rota"}
	if crest.random.IntN(100) < 40 {
		call.Workspace = []identifier.Workspace{"b", "c", "d"}[crest.random.IntN(3)]
	}
	runTime := crest.exponential(100 * time.Millisecond)
	switch kind := crest.random.IntN(100); {
	case kind < 70:
		call.Method, call.Deadline = "swap", w.now.Add(time.Second)
	case kind < 97:
		call.Method, call.Deadline = "look", w.now.Add(time.Second)
	default:
		// Sketches are declared with 50 ms and run for 3 s.
		call.Method, call.Deadline = "sketch", w.now.Add(40*time.Second)
		runTime = crest.exponential(3 * time.Second)
	}
	if crest.random.IntN(100) < 2 {
		runTime *= 10
	}
	w.issue(entries[crest.random.IntN(len(entries))], fmt.Sprintf("%s%d", region, number), call, runTime)
	w.after(crest.exponential(time.Duration(float64(time.Second)/crest.rate(region, elapsed))), func() { crest.arrive(region, number+1) })
}

// measure simulates the peak load with a seed and returns the figures by name.
func measure(seed uint64, rules rules, scene string) map[string]float64 {
	return figures(play(seed, rules, scene))
}

func play(seed uint64, rules rules, scene string) *world {
	w := newWorld(seed, faults{}, 9, 48, []identifier.Region{"gulf", "gulf", "hill"}, func(router *Router) {
		router.rules = rules
		router.places.oneChoice = rules.oneChoice
	})
	w.run(epoch.Add(time.Second))
	for index, region := range twoRegions {
		played := &crest{w: w, base: 250, random: rand.New(rand.NewPCG(seed, uint64(index)))}
		played.arrive(region, 0)
	}
	// Draws wait overnight; they fill the slots for long requests.
	for number := range 900 {
		w.after(time.Duration(number)*10*time.Millisecond, func() {
			call := commander.Call{Workspace: "a", Service: "rota", Method: "sketch", Deadline: w.now.Add(time.Hour)}
			w.issue(w.nodes[number%3*3], fmt.Sprintf("draw%d", number), call, time.Second+time.Duration(number%40)*100*time.Millisecond)
		})
	}
	switch scene {
	case "deaths":
		// One node of the loaded region and four minions fail during the peak.
		w.after(12*time.Second, func() { w.kill(w.nodes[1]) })
		for _, minion := range []int{3, 12, 21, 30} {
			w.after(11*time.Second, func() { w.minions[minion].dead = true })
		}
	case "breaks":
		// Every answer of one idempotent method breaks off.
		w.after(11*time.Second, func() { w.faults.broken = "look" })
		w.after(22*time.Second, func() { w.faults.broken = "" })
	}
	w.run(epoch.Add(120 * time.Second))
	return w
}

// waited returns the time from issue to answer less the request's own run
// time: what queueing and the path cost. A request that was not served in time
// counts with its whole deadline.
func waited(asked *issued, served bool) time.Duration {
	if !served {
		return asked.call.Deadline.Sub(asked.at)
	}
	return asked.end.Sub(asked.at) - asked.runTime
}

func figures(w *world) map[string]float64 {
	var completion, calm []time.Duration
	var short, inTime, long, longDone, light, lightDone, useful float64
	for _, asked := range w.order {
		served := asked.answers == 1 && asked.err == nil && !asked.end.After(asked.call.Deadline)
		if served {
			useful += asked.runTime.Seconds()
		}
		if asked.call.Method == "sketch" {
			long++
			if served {
				longDone++
			}
			continue
		}
		short++
		if asked.call.Workspace != "a" {
			light++
		}
		if issued := asked.at.Sub(epoch); issued > 4*time.Second && issued < crestStart {
			calm = append(calm, waited(asked, served))
		}
		if served {
			inTime++
			completion = append(completion, asked.end.Sub(asked.at))
			if asked.call.Workspace != "a" {
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
		retries += w.counts[reason]
	}
	return map[string]float64{
		"p50-ms": quantile(completion, 0.5), "p99-ms": quantile(completion, 0.99),
		"calm-p50-ms": quantile(calm, 0.5), "calm-p99-ms": quantile(calm, 0.99), "in-time-%": 100 * inTime / short,
		"light-in-time-%": 100 * lightDone / light, "long-%": 100 * longDone / long,
		"useful-slot-s": useful, "crossings": float64(w.counts["crossings"]),
		"crossed-KB": float64(w.bytes) / 1000, "busy": float64(w.busy), "retries": float64(retries),
		"attempts/request": float64(w.counts["attempts"]) / float64(len(w.order)),
	}
}

// BenchmarkCrest prints, for each set of rules, the medians over five seeds.
func BenchmarkCrest(b *testing.B) {
	variants := []struct {
		name  string
		rules rules
	}{
		{"all-rules", rules{}},
		{"baseline-fifo", rules{noOrder: true, noReservation: true, noRefusal: true, noShares: true, noLearning: true}},
		{"baseline-random-owner", rules{oneChoice: true}},
		{"without-reservation", rules{noReservation: true}},
		{"without-early-refusal", rules{noRefusal: true}},
		{"without-two-choices", rules{oneChoice: true}},
		{"without-fair-shares", rules{noShares: true}},
		{"without-learning", rules{noLearning: true}},
		{"without-budget", rules{noBudget: true}},
	}
	for _, scene := range []string{"backlog", "deaths", "breaks"} {
		for _, variant := range variants {
			b.Run(scene+"/"+variant.name, func(b *testing.B) {
				for range b.N {
					var results [5]map[string]float64
					var group sync.WaitGroup
					for seed := range results {
						group.Go(func() { results[seed] = measure(uint64(seed)+1, variant.rules, scene) })
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
