package dispatcher_test

import (
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"corianderroad/dispatcher"
	"corianderroad/messenger"
)

// TestInvalidSlotsAreRefused guards against counts that overflow the sums of an owner's
// load.
func TestInvalidSlotsAreRefused(t *testing.T) {
	for _, content := range []string{
		`{"slots":9223372036854775807,"busy":0}`,
		`{"slots":4,"busy":9223372036854775807}`,
		`{"slots":4,"busy":-1}`,
		`{"slots":0,"busy":0}`,
		`{"slots":"4","busy":0}`,
		`{"slots":4e99,"busy":0}`,
		`{"slots":4,"busy":0,"other":` + strings.Repeat("[", 3000),
		`{"slots":4,"bu`,
	} {
		_, _, err := dispatcher.DecodeSlots([]byte(content))
		quicktest.Check(t, err, quicktest.IsNotNil, quicktest.Commentf("%.60s", content))
	}
	slots, busy, err := dispatcher.DecodeSlots([]byte(`{"slots":4,"busy":5,"other":[1]}`))
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, []int{slots, busy}, quicktest.DeepEquals, []int{4, 5})
}

// FuzzSlots guards against an answer that makes the decoder panic or that is accepted
// with counts out of range.
func FuzzSlots(f *testing.F) {
	f.Add([]byte(`{"slots":4,"busy":5,"leaving":true}`))
	f.Add([]byte(`{"slots":9223372036854775807}`))
	f.Add([]byte(strings.Repeat("[", 5000)))
	f.Fuzz(func(t *testing.T, content []byte) {
		slots, busy, err := dispatcher.DecodeSlots(content)
		if err == nil && (slots < 1 || slots > messenger.MaxReportedLoad || busy < 0 || busy > messenger.MaxReportedLoad) {
			t.Fatalf("%d busy slots of %d are accepted", busy, slots)
		}
	})
}
