package applier

import (
	"fmt"
	"testing"
	"time"

	"corianderroad/identifier"
	"corianderroad/messenger"
)

// BenchmarkApply measures applying one append with one record to a state of the
// given size.
func BenchmarkApply(b *testing.B) {
	for _, count := range []int{100, 10_000, 100_000} {
		b.Run(fmt.Sprintf("job/jobs=%d", count), func(b *testing.B) {
			fixture := newFixture(testParameters).catchUpAll()
			for i := range count {
				fixture.read(identifier.Jobs, messenger.Submission{Spec: job(identifier.Job(fmt.Sprintf("job-%d", i)))})
			}
			cancellation := messenger.Cancellation{Job: "job-0"}
			claim := messenger.RegionClaim{Region: "gulf", Node: "node-a"}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if i%2 == 0 {
					fixture.read(identifier.Jobs, cancellation)
				} else {
					fixture.read(identifier.Jobs, claim)
				}
			}
		})
		b.Run(fmt.Sprintf("intent/keys=%d", count), func(b *testing.B) {
			parameters := testParameters
			parameters.MaxIntents = count
			fixture := newFixture(parameters).catchUpAll()
			issued := epoch
			for i := range count {
				fixture.read(identifier.Intents, messenger.Intent{Key: key(issued.Add(time.Duration(i)*time.Millisecond), 1), Request: "r", Node: "node-b", Incarnation: 7})
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				fixture.read(identifier.Intents, messenger.Intent{
					Key: key(issued.Add(time.Duration(i%300_000)*time.Millisecond), 2), Request: "r", Node: "node-b", Incarnation: 7,
				})
			}
		})
	}
}
