package recorder_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"corianderroad/recorder"
)

// TestRecorderKeepsNewestDecisions guards against a recorder that exceeds its
// capacity, loses the newest decisions or returns them out of order.
func TestRecorderKeepsNewestDecisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 20).Draw(t, "capacity")
		subjects := rapid.SliceOf(rapid.IntRange(0, 3)).Draw(t, "subjects")
		record := recorder.New("n", capacity)
		var want []string
		for number, subject := range subjects {
			record.Record(time.Unix(int64(number), 0), fmt.Sprint("s", subject), "w", "reason", fmt.Sprint(number))
			if subject == 1 && number >= len(subjects)-capacity {
				want = append(want, fmt.Sprint(number))
			}
		}
		var got []string
		for _, decision := range record.Find("s1") {
			got = append(got, decision.Detail)
		}
		if fmt.Sprint(got) != fmt.Sprint(want) || len(record.Find("w")) != min(capacity, len(subjects)) || record.Len() > capacity {
			t.Fatalf("found %v, want %v", got, want)
		}
	})
}
