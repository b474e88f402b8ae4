package planner_test

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkGangReservations measures the waiting times and the share of jobs on time by queue,
// with and without reservations, in a pool with too little capacity.
func BenchmarkGangReservations(b *testing.B) {
	for _, load := range []float64{0.9, 1.2, 1.5} {
		for _, reserves := range []bool{false, true} {
			for _, seed := range []uint64{1, 2, 3} {
				b.Run(fmt.Sprintf("load=%v/reservations=%v/seed=%d", load, reserves, seed), func(b *testing.B) {
					for b.Loop() {
						run := newLoadRun(seed, 96, load, 90*time.Second, reserves)
						run.play(90 * time.Second)
						for _, kind := range loadKinds {
							result := run.result(kind.name)
							b.ReportMetric(result.meanWait.Seconds(), kind.name+"-mean-s")
							b.ReportMetric(result.wait95.Seconds(), kind.name+"-p95-s")
							b.ReportMetric(result.onTime, kind.name+"-on-time")
						}
					}
				})
			}
		}
	}
}

// BenchmarkMinionProfiles measures the share of jobs on time with and without moves and copies, while
// 15 % of the minions are faulty.
func BenchmarkMinionProfiles(b *testing.B) {
	for _, load := range []float64{0.3, 0.45, 0.6, 0.85, 1.1} {
		for _, fault := range unevenFaults() {
			for _, profiles := range []bool{false, true} {
				for _, seed := range []uint64{1, 2, 3} {
					b.Run(fmt.Sprintf("load=%v/fault=%s/profiles=%v/seed=%d", load, fault.name, profiles, seed), func(b *testing.B) {
						for b.Loop() {
							run := newUnevenRun(seed, load, fault, profiles)
							run.play(unevenSpan + 20*time.Second)
							result := run.unevenResult()
							b.ReportMetric(result.total, "on-time")
							for _, kind := range loadKinds {
								b.ReportMetric(result.onTime[kind.name], kind.name+"-on-time")
							}
							b.ReportMetric(run.nodes[0].stepTime.Seconds()/run.now.Sub(time.Unix(1_000_000, 0)).Seconds()*100, "%core")
						}
					})
				}
			}
		}
	}
}
