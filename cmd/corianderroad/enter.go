package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"corianderroad/assembler"
	"corianderroad/classifier"
	"corianderroad/cmd/corianderroad/connector"
	"corianderroad/platform"
	"corianderroad/timekeeper"
)

// memoryLimitFraction is the fraction of the VM's memory that is set as the
// runtime's soft limit, above which garbage is collected more often.
const memoryLimitFraction = 0.6

// enter is the subcommand that runs an entry VM on the users' platform. On SIGTERM
// or SIGINT the entry VM hands over its work and exits.
type enter struct {
	options assembler.Options
}

// Name implements subcommands.Command.
func (*enter) Name() string { return "enter" }

// Synopsis implements subcommands.Command.
func (*enter) Synopsis() string { return "run an entry VM on the users' platform" }

// Usage implements subcommands.Command.
func (*enter) Usage() string {
	return "enter [flags]\nReads the settings file whose path is in " + platform.SettingsVariable + ".\n"
}

// SetFlags implements subcommands.Command.
func (enter *enter) SetFlags(flags *flag.FlagSet) {
	features := &enter.options.Features
	flags.BoolVar(&features.GangReservations, "gang-reservations", false, "reserve places for gangs while capacity is short")
	flags.BoolVar(&features.LossAwareStops, "loss-aware-stops", false, "choose the runs to be stopped by the work that is lost")
}

// Execute implements subcommands.Command.
func (enter *enter) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	// A SIGHUP may arrive before the settings are read, and would end the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	settings, err := platform.LoadSettings()
	if err != nil {
		return connector.Fail(err, false)
	}
	if os.Getenv("GOMEMLIMIT") == "" && settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(settings.MemoryMB) * (1 << 20)))
	}
	keeper, err := timekeeper.New()
	if err != nil {
		return connector.Fail(classifier.New(classifier.Internal, "boot clock: %v", err), false)
	}
	stop, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	node := assembler.New(settings, enter.options, keeper.Now)
	go node.Reload(ctx, reload, platform.LoadSettings)
	if err := node.Run(ctx, stop.Done()); err != nil && !errors.Is(err, context.Canceled) {
		return connector.Fail(classifier.New(classifier.Internal, "%v", err), false)
	}
	return subcommands.ExitSuccess
}
