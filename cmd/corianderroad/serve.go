package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"corianderroad/classifier"
	"corianderroad/cmd/corianderroad/connector"
	"corianderroad/loader"
	"corianderroad/server"
)

// gcPercent is the growth of the heap between two garbage collections. With the
// runtime's default of 100 the holder of a region with 1,500 workers used 66 MB,
// which exceeds a node's limit of 64 MB; with 50 it used 59 MB.
const gcPercent = 50

// serve is the subcommand that runs a node. On SIGTERM or SIGINT the node finishes
// its open work and exits.
type serve struct {
	settings string
}

// Name implements subcommands.Command.
func (*serve) Name() string { return "serve" }

// Synopsis implements subcommands.Command.
func (*serve) Synopsis() string { return "run a node" }

// Usage implements subcommands.Command.
func (*serve) Usage() string { return "serve -settings FILE\n" }

// SetFlags implements subcommands.Command.
func (serve *serve) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&serve.settings, "settings", "", "settings file of the node")
}

// Execute implements subcommands.Command.
func (serve *serve) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	settings, err := loader.Load(serve.settings)
	if err != nil {
		return connector.Fail(err, false)
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	stop, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	node, err := server.New(settings, time.Now)
	if err != nil {
		return connector.Fail(err, false)
	}
	if err := node.Run(ctx, stop.Done()); err != nil && !errors.Is(err, context.Canceled) {
		return connector.Fail(classifier.New(classifier.Internal, "%v", err), false)
	}
	return subcommands.ExitSuccess
}
