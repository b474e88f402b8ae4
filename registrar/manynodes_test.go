package registrar_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/budgeter"
	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/registrar"
	"corianderroad/specifier"
)

// manyNodes are entry VMs with one store, whose appends are carried out at once in the order in
// which the nodes send them.
type manyNodes struct {
	now     time.Time
	nodes   []*registrar.Registrar
	journal []messenger.JournalEntry
	// readTo is how much of the journal the nodes have read.
	readTo int
	// pending are the answers that the nodes have not received.
	pending []func()
	answers map[identifier.Request]*classifier.Error
}

func newManyNodes(count int, memory int64) *manyNodes {
	nodes := &manyNodes{now: time.Unix(1_000_000, 0), answers: make(map[identifier.Request]*classifier.Error)}
	for range count {
		nodes.nodes = append(nodes.nodes, registrar.New(budgeter.New(memory, jobRetention), nil))
	}
	nodes.read(time.Millisecond)
	return nodes
}

func (nodes *manyNodes) step(node *registrar.Registrar, event messenger.Event) {
	for _, action := range node.Step(nodes.now, event) {
		switch action := action.(type) {
		case messenger.CommandAnswered:
			nodes.answers[action.Request] = action.Err
		case messenger.AppendEntries:
			appended := messenger.EntriesAppended{ID: action.ID}
			if action.AtEnd && action.End != identifier.Offset(len(nodes.journal)) {
				appended.Err = classifier.New(classifier.Conflict, "the journal ends elsewhere")
			} else {
				nodes.journal = append(nodes.journal, action.Entries...)
			}
			nodes.pending = append(nodes.pending, func() { nodes.step(node, appended) })
		}
	}
}

// settle delivers the answers of the store.
func (nodes *manyNodes) settle() {
	for len(nodes.pending) > 0 {
		pending := nodes.pending
		nodes.pending = nil
		for _, deliver := range pending {
			deliver()
		}
	}
}

// read lets all nodes read the journal after some time.
func (nodes *manyNodes) read(after time.Duration) {
	nodes.now = nodes.now.Add(after)
	entries, end := nodes.journal[nodes.readTo:], identifier.Offset(len(nodes.journal))
	nodes.readTo = len(nodes.journal)
	for _, node := range nodes.nodes {
		nodes.step(node, messenger.JournalRead{Entries: entries, End: end, SentAt: nodes.now})
	}
	nodes.settle()
	for _, node := range nodes.nodes {
		if next := node.Next(); !next.IsZero() && !next.After(nodes.now) {
			nodes.step(node, messenger.Tick{})
		}
	}
	nodes.settle()
}

// bytes returns what the jobs in the journal need.
func (nodes *manyNodes) bytes() int64 {
	sum := int64(0)
	for _, entry := range nodes.journal {
		if submitted, ok := entry.(messenger.Submitted); ok {
			sum += budgeter.Cost(&submitted.Job)
		}
	}
	return sum
}

// TestManyNodesAcceptAtTheSameTime guards against a sum of jobs above the limit because each of
// 40 nodes accepts what would fit if it were alone: jobs of two workspaces, large ones that each
// need a tenth of the limit, and small ones.
func TestManyNodesAcceptAtTheSameTime(t *testing.T) {
	const memory, nodeCount, rounds = 16 << 20, 40, 30
	for name, tasks := range map[string]int{"large": 20_000, "medium": 1000, "small": 1} {
		t.Run(name, func(t *testing.T) {
			c, nodes, accepted := quicktest.New(t), newManyNodes(nodeCount, memory), 0
			for round := range rounds {
				for index, node := range nodes.nodes {
					for number := range 20 {
						id := fmt.Sprintf("%d-%d-%d", round, index, number)
						job := jobOf(identifier.Workspace(fmt.Sprint("w", number%2)), id, min(tasks, specifier.MaxTasks))
						if tasks > specifier.MaxTasks {
							job.Schedule = &specifier.Schedule{Occurrences: tasks / specifier.MaxTasks}
						}
						nodes.step(node, messenger.SubmitArrived{Request: identifier.Request(id), Job: job, Deadline: nodes.now.Add(3 * time.Second)})
					}
				}
				nodes.settle()
				nodes.read(150 * time.Millisecond)
			}
			for range 20 { // what waits is decided
				nodes.read(150 * time.Millisecond)
			}
			for request, err := range nodes.answers {
				if err == nil {
					accepted++
				} else {
					c.Assert(err.Code, quicktest.Equals, classifier.JobMemoryShort, quicktest.Commentf("%s", request))
				}
			}
			figures := quicktest.Commentf("%d of %d bytes, %d accepted", nodes.bytes(), memory, accepted)
			t.Log(figures)
			c.Check(nodes.answers, quicktest.HasLen, rounds*nodeCount*20)
			c.Check(len(nodes.journal), quicktest.Equals, accepted)
			c.Check(nodes.bytes() <= memory, quicktest.IsTrue, figures)
			c.Check(nodes.bytes() >= memory/2, quicktest.IsTrue, figures)
		})
	}
}
