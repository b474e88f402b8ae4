package assembler

import (
	"context"
	"os"

	"corianderroad/platform"
)

// Reload reads the settings again at each signal until the context ends.
// Addresses and bounds are those of the start: the platform changes them only
// with the VM. Reload tells in the log whether the file is still in order.
func (assembler *Assembler) Reload(ctx context.Context, signals <-chan os.Signal, load func() (*platform.Settings, error)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		settings, err := load()
		switch {
		case err != nil:
			assembler.journal.state("reload refused", "SIGHUP", err.Error())
		case *settings != *assembler.settings:
			assembler.journal.state("reloaded", "SIGHUP", "the file differs; changes take effect at the next start")
		default:
			assembler.journal.state("reloaded", "SIGHUP", "no change")
		}
	}
}
