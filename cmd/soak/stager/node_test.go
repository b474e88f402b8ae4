package stager

import (
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/cmd/soak/checker"
)

// TestPausedStopIsNotGraceful guards against a violation that the soak itself causes: it kills a node
// whose stop lasts too long because the node was paused meanwhile, and blames the node for the calls
// that this cuts, because the node was told to stop a second time after the pause began.
func TestPausedStopIsNotGraceful(t *testing.T) {
	c := quicktest.New(t)
	command := exec.Command("sleep", "60")
	c.Assert(command.Start(), quicktest.IsNil)
	c.Cleanup(func() {
		_ = command.Process.Kill() // SIGTERM may have ended it
		_ = command.Wait()         // it ends by a signal
	})
	node := &Node{deployment: &Deployment{Checker: checker.New()}, process: command.Process}
	node.Signal(syscall.SIGTERM)
	c.Assert(node.StopsGracefully(time.Now()), quicktest.IsTrue)
	node.Signal(syscall.SIGTERM)
	c.Assert(node.StopsGracefully(time.Now()), quicktest.IsTrue)
	node.Signal(syscall.SIGSTOP)
	c.Assert(node.StopsGracefully(time.Now()), quicktest.IsFalse)
	node.Signal(syscall.SIGTERM)
	c.Assert(node.StopsGracefully(time.Now()), quicktest.IsFalse)
}
