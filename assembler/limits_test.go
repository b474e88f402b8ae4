package assembler_test

import (
	"bytes"
	"context"
	"net/http"
	"testing"

	"github.com/frankban/quicktest"

	"corianderroad/encoder"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/platform/imitator"
	"corianderroad/specifier"
)

// reusedID is the ID of a job that has invalid records before it is submitted.
const reusedID identifier.Job = "5c0e7a21d94b36f8"

// writeInvalidRecords writes records of another writer to the topics of the system.
func writeInvalidRecords(c *quicktest.C, fake *imitator.Imitator) {
	encoded := func(entry messenger.JournalEntry) string {
		record, err := encoder.MarshalJournalEntry(entry)
		c.Assert(err, quicktest.IsNil)
		return string(record.Value)
	}
	largest := specifier.Job{ID: "a1", Schedule: &specifier.Schedule{Occurrences: specifier.MaxOccurrences}}
	for len(largest.Steps) < specifier.MaxSteps {
		largest.Steps = append(largest.Steps, specifier.Step{Tasks: specifier.MaxTasks})
	}
	for key, value := range map[string]string{
		"job/a1":                     encoded(messenger.Submitted{Job: largest}),
		"job/a2":                     "\x81\xa5steps\xdd\xff\xff\xff\xff",
		"job/a3":                     "\x81\xa5other" + string(bytes.Repeat([]byte{0x91}, 90_000)) + "\xc0",
		"cancel/" + string(reusedID): "text",
		"other/a4":                   "text",
		"progress/a5":                encoded(messenger.Progressed{Job: "a5", Progress: specifier.Progress{State: 200}}),
		// The planner must bear a record that the decoder can't refuse, because it
		// precedes its job: the job has no such tasks.
		"progress/" + string(reusedID): encoded(messenger.Progressed{Job: reusedID, Progress: specifier.Progress{Tasks: []specifier.TaskProgress{
			{Occurrence: 4000, Step: 60, Index: 2000, Done: true, DoneRun: 1},
			{Step: 1, Done: true, DoneRun: 1},
			{Index: 2, FailedRuns: []uint64{1, 1}},
		}}}),
	} {
		fake.Write(string(identifier.Journal), key, value)
	}
	fake.Write(string(identifier.Claims), "holder", "\x80")
	fake.Write(string(identifier.Claims), "other", "\x80")
}

// TestInvalidRecordsAreIgnored guards against a node that ends, does not become the
// holder or does not run its callers' jobs, because another writer has left records
// in the topics of the journal and of the claims.
func TestInvalidRecordsAreIgnored(t *testing.T) {
	c := quicktest.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	fake, minion := imitator.New(), imitator.NewMinion()
	defer fake.Close()
	writeInvalidRecords(c, fake)
	settings, stop := startNode(ctx, c, fake, minion)
	url := "http://" + settings.FrontEnd.String() + "/q/" + string(reusedID)
	status, body := send(ctx, c, http.MethodPost, url, "h.example", `{"spec":"text","steps":[{"count":2,"cpu":100,"estimateMs":10}]}`)
	c.Assert(status, quicktest.Equals, http.StatusOK, quicktest.Commentf("%s", body))
	waitForAnswer(ctx, c, url, "h.example", `"completed"`)
	c.Assert(minion.Starts(), quicktest.Equals, 2)
	_, metrics := send(ctx, c, http.MethodGet, "http://"+settings.Metrics.String()+"/metrics", "", "")
	c.Assert(metrics, quicktest.Contains, `corianderroad_io_events_total{kind="record",result="unreadable"} 8`)

	stop()
}
