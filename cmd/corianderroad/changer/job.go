package changer

import (
	"context"
	"flag"
	"time"

	"github.com/google/subcommands"

	"corianderroad/acceptor"
	"corianderroad/cmd/corianderroad/connector"
	"corianderroad/identifier"
)

// Submit is the subcommand that submits a gang job.
type Submit struct {
	connector.Connector
	job          string
	region       string
	members      int
	accelerators int
	adjacency    string
	runTime      time.Duration
	urgent       bool
}

// Name implements subcommands.Command.
func (*Submit) Name() string { return "submit" }

// Synopsis implements subcommands.Command.
func (*Submit) Synopsis() string { return "submit a gang job" }

// Usage implements subcommands.Command.
func (*Submit) Usage() string {
	return "submit -job J -members 4 -accelerators 8 -adjacency same-rack -run-time 3h: repeated submissions with the same name refer to the same job.\n"
}

// SetFlags implements subcommands.Command.
func (submit *Submit) SetFlags(flags *flag.FlagSet) {
	submit.Register(flags)
	flags.StringVar(&submit.job, "job", "", "name of the job")
	flags.StringVar(&submit.region, "region", "", "region where the job must run; if empty, the region of the node")
	flags.IntVar(&submit.members, "members", 1, "number of workers in the gang, 1 to 128")
	flags.IntVar(&submit.accelerators, "accelerators", 1, "accelerators on each worker")
	flags.StringVar(&submit.adjacency, "adjacency", "any-rack", "any-rack or same-rack")
	flags.DurationVar(&submit.runTime, "run-time", 0, "declared run time, 0 if unknown")
	flags.BoolVar(&submit.urgent, "urgent", false, "place the job before others and preempt if needed")
}

// Execute implements subcommands.Command.
func (submit *Submit) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return post(ctx, &submit.Connector, "/v1/commands/submit", acceptor.Submit{
		Job: identifier.Job(submit.job), Region: identifier.Region(submit.region),
		Members: submit.members, Accelerators: submit.accelerators, Adjacency: submit.adjacency,
		RunTime: submit.runTime.String(), Urgent: submit.urgent,
	}, "accepted")
}

// Cancel is the subcommand that ends a job.
type Cancel struct {
	connector.Connector
	job string
}

// Name implements subcommands.Command.
func (*Cancel) Name() string { return "cancel" }

// Synopsis implements subcommands.Command.
func (*Cancel) Synopsis() string { return "end a job" }

// Usage implements subcommands.Command.
func (*Cancel) Usage() string { return "cancel -job J\n" }

// SetFlags implements subcommands.Command.
func (cancel *Cancel) SetFlags(flags *flag.FlagSet) {
	cancel.Register(flags)
	flags.StringVar(&cancel.job, "job", "", "name of the job")
}

// Execute implements subcommands.Command.
func (cancel *Cancel) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return post(ctx, &cancel.Connector, "/v1/commands/cancel", acceptor.Cancel{Job: identifier.Job(cancel.job)}, "cancelled")
}
