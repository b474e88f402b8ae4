package encoder_test

import (
	"math"
	"testing"

	"github.com/frankban/quicktest"

	"corianderroad/classifier"
	"corianderroad/encoder"
	"corianderroad/messenger"
)

// TestInvalidLoadIsRefused guards against a load at the end of its range: the sum that
// compares owners overflows, and all requests go to the node that reported it.
func TestInvalidLoadIsRefused(t *testing.T) {
	for _, load := range []int{-1, math.MinInt64, math.MaxInt64, messenger.MaxReportedLoad + 1} {
		queued := messenger.Member{State: messenger.Alive, Digest: messenger.Digest{Queued: load}}
		free := messenger.Member{State: messenger.Alive, Digest: messenger.Digest{FreeSlots: load}}
		valid := messenger.Member{State: messenger.Alive}
		for _, message := range []messenger.Peer{
			messenger.Probe{From: queued},
			messenger.Probe{From: free},
			messenger.ProbeAnswer{From: valid, Changes: []messenger.Member{valid, free}},
			messenger.ForwardAnswer{Queued: load},
			messenger.ForwardAnswer{FreeSlots: load},
		} {
			body, err := encoder.MarshalPeer(message)
			quicktest.Assert(t, err, quicktest.IsNil)
			_, err = encoder.UnmarshalPeer(body)
			quicktest.Assert(t, classifier.CodeOf(err), quicktest.Equals, classifier.BadFrame, quicktest.Commentf("%+v", message))
		}
	}
}
