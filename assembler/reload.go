package assembler

import (
	"context"
	"os"
	"reflect"

	"corianderroad/platform"
)

// Reload reads the settings again at each signal until the context ends, and logs
// whether the file is valid and differs. It does not apply changes: the platform
// changes addresses and bounds only when it replaces the VM.
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
			assembler.decisionLog.logState("reload refused", "SIGHUP", err.Error())
		case !reflect.DeepEqual(settings, assembler.settings):
			assembler.decisionLog.logState("reloaded", "SIGHUP", "the file differs; changes take effect at the next start")
		default:
			assembler.decisionLog.logState("reloaded", "SIGHUP", "no change")
		}
	}
}
