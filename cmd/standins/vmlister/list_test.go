package vmlister

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestListLags guards against a list that is more current than the platform's.
// Tests would then not detect nodes that rely on a current list.
func TestListLags(t *testing.T) {
	c := quicktest.New(t)
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	list := NewList([]VM{{Name: "a"}, {Name: "b"}}, 2*time.Second)
	c.Check(list.Change(now, "c", Gone), quicktest.IsFalse)
	c.Check(list.Change(now, "a", Gone), quicktest.IsTrue)
	c.Check(list.VMs(now.Add(2*time.Second-1)), quicktest.HasLen, 2)
	list.SetFrozen(true)
	c.Check(list.VMs(now.Add(time.Hour)), quicktest.HasLen, 2)
	list.SetFrozen(false)
	shown := list.VMs(now.Add(time.Hour))
	c.Assert(shown, quicktest.HasLen, 1)
	c.Check(shown[0], quicktest.Equals, VM{Name: "b", State: Live})
}
