package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/frankban/quicktest"

	"corianderroad/platform"
)

// TestReloadDuringTheStartEndsNoProcess guards against a node that a SIGHUP ends because it
// arrives before the settings are read.
func TestReloadDuringTheStartEndsNoProcess(t *testing.T) {
	c := quicktest.New(t)
	folder := c.TempDir()
	binary, settings := filepath.Join(folder, "corianderroad"), filepath.Join(folder, "settings")
	output, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	c.Assert(err, quicktest.IsNil, quicktest.Commentf("%s", output))
	c.Assert(syscall.Mkfifo(settings, 0o600), quicktest.IsNil)
	node := exec.Command(binary, "enter")
	node.Env = append(os.Environ(), platform.SettingsVariable+"="+settings)
	c.Assert(node.Start(), quicktest.IsNil)
	writer, err := os.OpenFile(settings, os.O_WRONLY, 0) // returns when the node reads
	c.Assert(err, quicktest.IsNil)
	c.Assert(node.Process.Signal(syscall.SIGHUP), quicktest.IsNil)
	_, err = writer.WriteString("not settings")
	c.Assert(err, quicktest.IsNil)
	c.Assert(writer.Close(), quicktest.IsNil)
	_ = node.Wait() // it refuses the settings
	status := node.ProcessState.Sys().(syscall.WaitStatus)
	c.Assert(status.Signaled(), quicktest.IsFalse, quicktest.Commentf("%s", node.ProcessState))
}
