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
	"corianderroad/reloader"
	"corianderroad/timekeeper"
)

// memoryLimitFraction is the fraction of the VM's memory that is set as the
// runtime's soft limit, above which garbage is collected more often. It covers the
// memory of clients and its garbage, but not the kernel's buffers of their connections,
// which take a quarter by default (assembler.ClientLimits), and the program itself.
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
	clients := &enter.options.Clients
	flags.Var((*byteSize)(&clients.Memory), "client-memory", "limit of the memory for bodies and decoded jobs of clients, with a unit (24MiB); default an eighth of limits.memoryMb")
	flags.IntVar(&clients.Connections, "client-connections", 0, "limit of the connections of clients; default by limits.memoryMb and limits.maxFds")
	flags.IntVar(&clients.ReadinessConnections, "readiness-connections", 0, "limit of the connections of health checks; default 32")
	flags.IntVar(&clients.MetricsConnections, "metrics-connections", 0, "limit of the connections that read metrics; default 16")
	flags.Var((*byteSize)(&enter.options.JobMemory), "accepted-jobs-memory", "limit of the memory for accepted jobs, with a unit (46MiB); default a quarter of limits.memoryMb, 46MiB at most")
	flags.IntVar(&enter.options.MaxRuns, "running-tasks", 0, "limit of the tasks that run at the same time; default 96 for each MB of limits.memoryMb")
	flags.BoolVar(&features.GangReservations, "gang-reservations", false, "reserve places for gangs while capacity is short")
	flags.BoolVar(&features.LossAwareStops, "loss-aware-stops", false, "choose the runs to be stopped by the work that is lost")
	flags.BoolVar(&features.UrgentHeadroom, "urgent-headroom", false, "keep capacity free for urgent jobs while capacity is short")
	flags.BoolVar(&features.EarlyRefusals, "early-refusals", false, "refuse jobs whose expected wait is so long that they earn nothing")
	flags.BoolVar(&features.MinionProfiles, "minion-profiles", false, "use what minions did with earlier runs: probe, move and copy")
}

// Execute implements subcommands.Command.
func (enter *enter) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	settings, err := platform.LoadSettings()
	if err != nil {
		return connector.Fail(err, false)
	}
	if err := enter.options.Check(settings); err != nil {
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
	go node.Reload(ctx, reloader.Requests(), platform.LoadSettings)
	if err := node.Run(ctx, stop.Done()); err != nil && !errors.Is(err, context.Canceled) {
		return connector.Fail(classifier.New(classifier.Internal, "%v", err), false)
	}
	return subcommands.ExitSuccess
}
