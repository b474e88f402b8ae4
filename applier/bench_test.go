package applier

import (
	"fmt"
	"testing"
	"time"

	"corianderroad/identifier"
	"corianderroad/messenger"
)

// BenchmarkFold measures the fold of one append with one record on a state of
// the given size.
func BenchmarkFold(b *testing.B) {
	for _, count := range []int{100, 10_000, 100_000} {
		b.Run(fmt.Sprintf("job/jobs=%d", count), func(b *testing.B) {
			bench := newBench(testParameters).caughtUp()
			for i := range count {
				bench.read(identifier.Jobs, messenger.Submission{Spec: job(identifier.Job(fmt.Sprintf("job-%d", i)))})
			}
			cancellation := messenger.Cancellation{Job: "job-0"}
			claim := messenger.RegionClaim{Region: "gulf", Node: "node-a"}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if i%2 == 0 {
					bench.read(identifier.Jobs, cancellation)
				} else {
					bench.read(identifier.Jobs, claim)
				}
			}
		})
		b.Run(fmt.Sprintf("intent/keys=%d", count), func(b *testing.B) {
			parameters := testParameters
			parameters.MaxIntents = count
			bench := newBench(parameters).caughtUp()
			issued := start
			for i := range count {
				bench.read(identifier.Intents, messenger.Intent{Key: key(issued.Add(time.Duration(i)*time.Millisecond), 1), Request: "r", Node: "node-b", Incarnation: 7})
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				bench.read(identifier.Intents, messenger.Intent{
					Key: key(issued.Add(time.Duration(i%300_000)*time.Millisecond), 2), Request: "r", Node: "node-b", Incarnation: 7,
				})
			}
		})
	}
}
