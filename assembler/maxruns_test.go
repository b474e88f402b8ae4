package assembler_test

import (
	"testing"

	"github.com/frankban/quicktest"

	"corianderroad/assembler"
	"corianderroad/platform"
)

// TestDesignSizeFitsIntoTheRunLimit guards against a default that the smallest machine of the
// design size, with 17,000 runs, reaches in service.
func TestDesignSizeFitsIntoTheRunLimit(t *testing.T) {
	c := quicktest.New(t)
	const designRuns = 17_000
	for _, machine := range []platform.Settings{{MemoryMB: 184}, {MemoryMB: 536}, {}} {
		limit, err := assembler.Options{}.CompleteMaxRuns(&machine)
		c.Assert(err, quicktest.IsNil)
		c.Check(limit >= designRuns, quicktest.IsTrue, quicktest.Commentf("%d with %d MB", limit, machine.MemoryMB))
	}
}

// TestRunLimitMustAllowLargestGang guards against a limit with which a gang of as many tasks as a
// step may have never starts.
func TestRunLimitMustAllowLargestGang(t *testing.T) {
	c := quicktest.New(t)
	for limit, valid := range map[int]bool{-1: false, 1: false, 8191: false, 8192: true, 100_000: true} {
		_, err := assembler.Options{MaxRuns: limit}.CompleteMaxRuns(&platform.Settings{MemoryMB: 96})
		c.Check(err == nil, quicktest.Equals, valid, quicktest.Commentf("%d", limit))
	}
	limit, err := assembler.Options{}.CompleteMaxRuns(&platform.Settings{MemoryMB: 16})
	c.Assert(err, quicktest.IsNil)
	c.Assert(limit, quicktest.Equals, 8192)
}
