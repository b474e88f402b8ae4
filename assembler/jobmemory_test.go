package assembler_test

import (
	"testing"

	"github.com/frankban/quicktest"

	"corianderroad/assembler"
	"corianderroad/budgeter"
	"corianderroad/classifier"
	"corianderroad/platform"
	"corianderroad/specifier"
)

// TestUsualJobsFitIntoTheDefault guards against a default that refuses the jobs of a deployment
// in service at its worst times: 2,000 open jobs with up to 230 tasks each.
func TestUsualJobsFitIntoTheDefault(t *testing.T) {
	c := quicktest.New(t)
	const jobs, tasks = 2000, 230
	job := specifier.Job{Payload: "0123456789", Steps: []specifier.Step{{Tasks: tasks}}}
	needed := jobs * budgeter.Cost(&job)
	for _, machine := range []platform.Settings{{MemoryMB: 184, Descriptors: 4100}, {MemoryMB: 536, Descriptors: 8192}, {}} {
		limit, err := assembler.Options{}.CompleteJobMemory(&machine)
		c.Assert(err, quicktest.IsNil)
		c.Check(needed <= limit, quicktest.IsTrue, quicktest.Commentf("%d bytes needed, %d allowed with %d MB", needed, limit, machine.MemoryMB))
	}
}

// TestJobMemoryIsChecked guards against a limit that the machine can't hold.
func TestJobMemoryIsChecked(t *testing.T) {
	c := quicktest.New(t)
	machine := &platform.Settings{MemoryMB: 184, Descriptors: 4100}
	for _, bytes := range []int64{-1, 1, 93 << 20} {
		err := assembler.Options{JobMemory: bytes}.Check(machine)
		c.Check(classifier.CodeOf(err), quicktest.Equals, classifier.InvalidSettings, quicktest.Commentf("%d", bytes))
	}
	c.Assert(assembler.Options{JobMemory: 92 << 20}.Check(machine), quicktest.IsNil)
}
