package assembler_test

import (
	"testing"

	"github.com/frankban/quicktest"

	"corianderroad/assembler"
	"corianderroad/classifier"
	"corianderroad/platform"
)

// TestDefaultsOfClientLimits guards against defaults that the machine's memory or
// descriptors do not cover, and against ones that a few hundred ordinary clients meet.
func TestDefaultsOfClientLimits(t *testing.T) {
	c := quicktest.New(t)
	for _, machine := range []platform.Settings{{MemoryMB: 184, Descriptors: 4100}, {MemoryMB: 536, Descriptors: 8192}, {}} {
		limits, err := assembler.ClientLimits{}.Complete(&machine)
		c.Assert(err, quicktest.IsNil)
		c.Check(limits.Connections >= 500, quicktest.IsTrue, quicktest.Commentf("%+v", limits))
		c.Check(limits.Memory >= 16<<20, quicktest.IsTrue, quicktest.Commentf("%+v", limits))
		if machine.MemoryMB > 0 {
			c.Check(limits.Connections+limits.ReadinessConnections+limits.MetricsConnections <= machine.Descriptors/2, quicktest.IsTrue)
			c.Check(int64(limits.Connections)*(96<<10)+limits.Memory <= int64(machine.MemoryMB)<<20/2, quicktest.IsTrue)
		}
	}
	limits, err := assembler.ClientLimits{}.Complete(&platform.Settings{MemoryMB: 96, Descriptors: 250})
	c.Assert(err, quicktest.IsNil)
	c.Assert(limits.Connections, quicktest.Equals, 20)
}

// TestClientLimitsAreChecked guards against limits that the machine can't hold.
func TestClientLimitsAreChecked(t *testing.T) {
	c := quicktest.New(t)
	machine := &platform.Settings{MemoryMB: 184, Descriptors: 4100}
	for _, limits := range []assembler.ClientLimits{
		{Memory: 100 << 20}, {Memory: 1}, {Memory: -1}, {Connections: 4000}, {Connections: 1400}, {Connections: 1}, {ReadinessConnections: -1}, {MetricsConnections: 1},
	} {
		_, err := limits.Complete(machine)
		c.Check(classifier.CodeOf(err), quicktest.Equals, classifier.InvalidSettings, quicktest.Commentf("%+v", limits))
	}
	given := assembler.ClientLimits{Memory: 24 << 20, Connections: 1200, ReadinessConnections: 10, MetricsConnections: 10}
	completed, err := given.Complete(machine)
	c.Assert(err, quicktest.IsNil)
	c.Assert(completed, quicktest.Equals, given)
}
