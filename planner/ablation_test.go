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
