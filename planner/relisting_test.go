package planner_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// listJournal lets a node list the newest entries of the jobs that are not deleted instead of
// reading the entries that it has missed, as it does after the store has trimmed them. The
// tailer adds the deletions.
func (simulation *simulation) listJournal(node *node) {
	entries := make(map[identifier.Job][]messenger.JournalEntry)
	for _, entry := range simulation.journal {
		switch entry := entry.(type) {
		case messenger.Submitted:
			entries[entry.Job.ID] = append(entries[entry.Job.ID], entry)
		case messenger.Withdrawn:
			entries[entry.Job] = append(entries[entry.Job], entry)
		case messenger.Progressed:
			entries[entry.Job] = append(entries[entry.Job], entry)
		case messenger.Deleted:
			entries[entry.Job] = []messenger.JournalEntry{entry}
		}
	}
	read := messenger.JournalRead{End: identifier.Offset(len(simulation.journal)), SentAt: simulation.now}
	for _, id := range slices.Sorted(maps.Keys(entries)) {
		read.Entries = append(read.Entries, entries[id]...)
	}
	node.entriesRead = len(simulation.journal)
	simulation.step(node, read)
}

// TestDeletedJobDoesNotRunAgain guards against a job that runs again after it was completed
// and deleted: a node that was cut off from the store meanwhile, for longer than the journal
// retains its entries, still has the job as running and becomes the holder.
func TestDeletedJobDoesNotRunAgain(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 2, 4)
	first, second := simulation.nodes[0], simulation.nodes[1]
	simulation.makeHolder(first)
	simulation.advance(500 * time.Millisecond)
	simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: 2 * time.Second}))
	simulation.advance(time.Second)
	simulation.store.unreachableFrom[second] = true
	simulation.advance(time.Hour + time.Minute) // the state of the job expires
	task := specifier.Task{Job: "a"}
	c.Assert(simulation.recordedState("a"), quicktest.Equals, specifier.Completed)
	c.Assert(simulation.taskState(task).startedRuns, quicktest.HasLen, 1)
	c.Assert(simulation.journal[len(simulation.journal)-1], quicktest.Equals, messenger.JournalEntry(messenger.Deleted{Job: "a"}))
	delete(simulation.store.unreachableFrom, second)
	simulation.listJournal(second)
	first.alive = false
	simulation.advance(claimTimeout)
	simulation.makeHolder(second)
	simulation.advance(30 * time.Second)
	c.Assert(simulation.taskState(task).startedRuns, quicktest.HasLen, 1, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}
