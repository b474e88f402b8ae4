package budgeter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"corianderroad/budgeter"
	"corianderroad/identifier"
)

const (
	limit = 46 << 20 // bytes, the default of the smallest machine
	// largestJob is the cost of a job of 65,536 tasks in as many steps, roughly.
	largestJob = 29 << 20
	// retention is how long the state of an ended job stays readable.
	retention = 150 * time.Second
)

var startTime = time.Unix(1_000_000, 0)

// record is a job in the journal.
type record struct {
	job       identifier.Job
	workspace identifier.Workspace
	bytes     int64
}

// fleet is a number of nodes with one journal.
type fleet struct {
	nodes   []*budgeter.Budgeter
	read    []int // how much of the journal each node has read
	journal []record
	total   int64
	lastID  int
}

func newFleet(size int) *fleet {
	fleet := &fleet{read: make([]int, size)}
	for range size {
		fleet.nodes = append(fleet.nodes, budgeter.New(limit, retention))
	}
	return fleet
}

// submit submits a job at a node and reports whether it was accepted.
func (fleet *fleet) submit(node int, workspace identifier.Workspace, bytes int64) bool {
	fleet.lastID++
	job := identifier.Job(fmt.Sprint(fleet.lastID))
	switch fleet.nodes[node].Admit(job, workspace, bytes) {
	case budgeter.Accept:
	case budgeter.AcceptAtEnd:
		if fleet.read[node] != len(fleet.journal) {
			fleet.nodes[node].Release(job)
			return false
		}
	default:
		return false
	}
	fleet.journal = append(fleet.journal, record{job, workspace, bytes})
	fleet.total += bytes
	return true
}

// readJournal lets a node read what the others have accepted.
func (fleet *fleet) readJournal(node int) {
	for _, record := range fleet.journal[fleet.read[node]:] {
		fleet.nodes[node].Read(record.job, record.workspace, record.bytes, time.Time{})
	}
	fleet.read[node] = len(fleet.journal)
}

// TestNodesThatAcceptAtTheSameTime guards against jobs whose sum exceeds the limit because each
// of 40 nodes accepts as if it were alone between two readings of the journal.
func TestNodesThatAcceptAtTheSameTime(t *testing.T) {
	for _, bytes := range []int64{2 << 10, 100 << 10, 700 << 10, 5 << 20, largestJob} {
		c := quicktest.New(t)
		fleet := newFleet(40)
		for round := 0; ; round++ {
			before := fleet.total
			for node := range fleet.nodes {
				for fleet.submit(node, "a", bytes) {
				}
			}
			c.Check(fleet.total <= limit, quicktest.IsTrue, quicktest.Commentf("%d of %d bytes in round %d, jobs of %d", fleet.total, limit, round, bytes))
			for node := range fleet.nodes {
				fleet.readJournal(node)
			}
			if fleet.total == before {
				break
			}
		}
		c.Check(fleet.total >= limit/2, quicktest.IsTrue, quicktest.Commentf("only %d of %d bytes are used by jobs of %d", fleet.total, limit, bytes))
		c.Check(fleet.submit(0, "b", 2<<10), quicktest.IsTrue, quicktest.Commentf("no room for another workspace, jobs of %d", bytes))
	}
}

// TestSumUnderAnyOrder guards against a sum far above the limit when nodes read the journal at
// different times, and against nodes that count differently after they have read the same.
func TestSumUnderAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := newFleet(rapid.IntRange(1, 40).Draw(t, "nodes"))
		node := rapid.IntRange(0, len(fleet.nodes)-1)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				fleet.readJournal(node.Draw(t, "reader"))
			default:
				bytes := rapid.SampledFrom([]int64{2 << 10, 20 << 10, 300 << 10, 4 << 20, largestJob}).Draw(t, "bytes")
				fleet.submit(node.Draw(t, "node"), identifier.Workspace(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace")), bytes)
			}
		}
		if fleet.total > limit*3/2 {
			t.Fatalf("%d of %d bytes", fleet.total, limit)
		}
		for node, budget := range fleet.nodes {
			fleet.readJournal(node)
			if usage := budget.View(); usage.Held != fleet.total || usage.Unread != 0 {
				t.Fatalf("node %d counts %+v, the journal has %d bytes", node, usage, fleet.total)
			}
		}
	})
}

// TestWorkspacesAreApart guards against a crowd of one key that shuts out the callers of other
// keys, and against one that is refused although it uses less than an equal share.
func TestWorkspacesAreApart(t *testing.T) {
	c := quicktest.New(t)
	budget, last := budgeter.New(limit, retention), 0
	fill := func(workspace identifier.Workspace) (verdict budgeter.Verdict) {
		for !verdict.IsRefusal() {
			last++
			job := identifier.Job(fmt.Sprint(last))
			if verdict = budget.Admit(job, workspace, 50<<10); !verdict.IsRefusal() {
				budget.Read(job, workspace, 50<<10, time.Time{})
			}
		}
		return verdict
	}
	c.Assert(fill("crowd"), quicktest.Equals, budgeter.RefuseShare)
	c.Assert(budget.Held("crowd") <= limit*3/4, quicktest.IsTrue)
	c.Assert(budget.Held("crowd") >= limit*7/10, quicktest.IsTrue)
	c.Assert(fill("second"), quicktest.Equals, budgeter.RefuseShare)
	c.Assert(budget.Held("second") > limit/8, quicktest.IsTrue)
	c.Assert(budget.Admit("third", "third", 2<<10), quicktest.Equals, budgeter.Accept)
	c.Assert(budget.Admit("more", "crowd", 1<<10), quicktest.Equals, budgeter.RefuseShare)
}

// TestAcceptedJobsAreKept guards against jobs that are not counted because they exceed the limit
// of this node: other nodes have accepted them.
func TestAcceptedJobsAreKept(t *testing.T) {
	c := quicktest.New(t)
	budget := budgeter.New(1<<20, retention)
	for number := range 10 {
		budget.Read(identifier.Job(fmt.Sprint(number)), "a", 512<<10, time.Time{})
	}
	c.Assert(budget.View(), quicktest.Equals, budgeter.Usage{Held: 5 << 20, Limit: 1 << 20})
	c.Assert(budget.Admit("new", "b", 1), quicktest.Equals, budgeter.RefuseLimit)
	c.Assert(budget.Admit("3", "a", 512<<10), quicktest.Equals, budgeter.Accept)
}

// TestUnknownOutcomeCounts guards against a job that does not count although it may be in the
// journal, and against one that keeps its node from accepting others.
func TestUnknownOutcomeCounts(t *testing.T) {
	c := quicktest.New(t)
	budget, share := budgeter.New(limit, retention), int64(limit/80)
	c.Assert(budget.Admit("first", "a", share), quicktest.Equals, budgeter.Accept)
	c.Assert(budget.Admit("second", "a", share/2), quicktest.Equals, budgeter.Await)
	budget.Settle("first")
	c.Assert(budget.View(), quicktest.Equals, budgeter.Usage{Held: share, Limit: limit})
	c.Assert(budget.Admit("second", "a", share/2), quicktest.Equals, budgeter.Accept)
	budget.Release("first")
	budget.Release("second")
	c.Assert(budget.View(), quicktest.Equals, budgeter.Usage{Limit: limit})
}

// TestCancelledJobsDoNotMakeAWorkspaceAlone guards against a caller that has its jobs accepted
// beyond the limit because it cancels each of them at once.
func TestCancelledJobsDoNotMakeAWorkspaceAlone(t *testing.T) {
	c := quicktest.New(t)
	budget := budgeter.New(limit, retention)
	for number := range 5 {
		job := identifier.Job(fmt.Sprint(number))
		if !budget.Admit(job, "a", largestJob).IsRefusal() {
			budget.Read(job, "a", largestJob, time.Time{})
			budget.End(job, startTime)
		}
	}
	c.Assert(budget.View().Held, quicktest.Equals, int64(largestJob))
}
