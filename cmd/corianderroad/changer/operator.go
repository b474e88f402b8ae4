// Package changer holds the subcommands that change state: publish, approve,
// submit, cancel, call and drain.
package changer

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/google/subcommands"

	"corianderroad/acceptor"
	"corianderroad/classifier"
	"corianderroad/cmd/corianderroad/connector"
	"corianderroad/cmd/corianderroad/reader"
	"corianderroad/identifier"
)

// Publish is the subcommand that publishes a service text.
type Publish struct {
	connector.Connector
	organisation string
	base         uint64
	text         string
	wait         time.Duration
}

// Name implements subcommands.Command.
func (*Publish) Name() string { return "publish" }

// Synopsis implements subcommands.Command.
func (*Publish) Synopsis() string { return "publish the service text of an organisation" }

// Usage implements subcommands.Command.
func (*Publish) Usage() string {
	return "publish -organisation O -base N -text FILE [-wait 7s]: -base is the version on which the text is based, 0 for the first.\n"
}

// SetFlags implements subcommands.Command.
func (publish *Publish) SetFlags(flags *flag.FlagSet) {
	publish.Register(flags)
	flags.StringVar(&publish.organisation, "organisation", "", "organisation whose text is published")
	flags.Uint64Var(&publish.base, "base", 0, "version on which the text is based")
	flags.StringVar(&publish.text, "text", "", "file with the service text")
	flags.DurationVar(&publish.wait, "wait", 0, "wait until the text is in force on all nodes, at most this long")
}

// Execute implements subcommands.Command.
func (publish *Publish) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	requester, err := publish.Connect()
	if err != nil {
		return publish.Fail(err)
	}
	text, err := os.ReadFile(publish.text)
	if err != nil {
		return publish.Fail(classifier.New(classifier.BadRequest, "%v", err))
	}
	organisation := identifier.Organisation(publish.organisation)
	acceptance, err := requester.Post(ctx, "/v1/commands/publish", acceptor.Publish{
		Organisation: organisation, Base: identifier.Offset(publish.base), Text: string(text),
	})
	if err != nil {
		return publish.Fail(err)
	}
	if publish.wait == 0 {
		publish.Print(acceptance, func(out io.Writer) { fmt.Fprintf(out, "published as version %d\n", acceptance.Offset) })
		return subcommands.ExitSuccess
	}
	rollout, err := reader.AwaitRollout(ctx, requester, organisation, acceptance.Offset, publish.wait)
	if err != nil {
		return publish.Fail(err)
	}
	publish.Print(rollout, rollout.Write)
	if len(rollout.Behind)+len(rollout.Unresponsive) > 0 {
		return subcommands.ExitStatus(classifier.TimedOut.Meaning().Exit)
	}
	return subcommands.ExitSuccess
}

// Approve is the subcommand by which a member approves a newcomer.
type Approve struct {
	connector.Connector
	organisation string
	publication  uint64
}

// Name implements subcommands.Command.
func (*Approve) Name() string { return "approve" }

// Synopsis implements subcommands.Command.
func (*Approve) Synopsis() string { return "approve the publication of a newcomer" }

// Usage implements subcommands.Command.
func (*Approve) Usage() string {
	return "approve -organisation O -publication N: O is the approving member, N the offset that status shows as pending.\n"
}

// SetFlags implements subcommands.Command.
func (approve *Approve) SetFlags(flags *flag.FlagSet) {
	approve.Register(flags)
	flags.StringVar(&approve.organisation, "organisation", "", "approving member")
	flags.Uint64Var(&approve.publication, "publication", 0, "offset of the pending publication")
}

// Execute implements subcommands.Command.
func (approve *Approve) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return post(ctx, &approve.Connector, "/v1/commands/approve", acceptor.Approve{
		Organisation: identifier.Organisation(approve.organisation), Publication: identifier.Offset(approve.publication),
	}, "approved")
}

// Drain is the subcommand that makes a node finish its work and exit.
type Drain struct {
	connector.Connector
	target string
}

// Name implements subcommands.Command.
func (*Drain) Name() string { return "drain" }

// Synopsis implements subcommands.Command.
func (*Drain) Synopsis() string { return "make a node finish its work and exit" }

// Usage implements subcommands.Command.
func (*Drain) Usage() string {
	return "drain -node ADDRESS -target NODE: the address must be that of the node to drain.\n"
}

// SetFlags implements subcommands.Command.
func (drain *Drain) SetFlags(flags *flag.FlagSet) {
	drain.Register(flags)
	flags.StringVar(&drain.target, "target", "", "name of the node to drain")
}

// Execute implements subcommands.Command.
func (drain *Drain) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return post(ctx, &drain.Connector, "/v1/commands/drain", acceptor.Drain{Node: identifier.Node(drain.target)}, "draining")
}

func post(ctx context.Context, connector *connector.Connector, path string, command any, confirmation string) subcommands.ExitStatus {
	requester, err := connector.Connect()
	if err != nil {
		return connector.Fail(err)
	}
	answer, err := requester.Post(ctx, path, command)
	if err != nil {
		return connector.Fail(err)
	}
	connector.Print(answer, func(out io.Writer) {
		if answer.Offset == 0 {
			fmt.Fprintln(out, confirmation)
			return
		}
		fmt.Fprintf(out, "%s, recorded at offset %d\n", confirmation, answer.Offset)
	})
	return subcommands.ExitSuccess
}
