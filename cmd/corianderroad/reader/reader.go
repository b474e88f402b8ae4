// Package reader holds the read-only subcommands: status, explain, shares and check.
package reader

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/url"
	"os"
	"text/tabwriter"

	"github.com/google/subcommands"

	"corianderroad/classifier"
	"corianderroad/cmd/corianderroad/connector"
	"corianderroad/loader"
	"corianderroad/parser"
	"corianderroad/responder"
)

// Status is the subcommand that shows the state of the deployment.
type Status struct{ connector.Connector }

// Name implements subcommands.Command.
func (*Status) Name() string { return "status" }

// Synopsis implements subcommands.Command.
func (*Status) Synopsis() string { return "show nodes, configuration, jobs and minions" }

// Usage implements subcommands.Command.
func (*Status) Usage() string { return "status [-output json]\n" }

// SetFlags implements subcommands.Command.
func (status *Status) SetFlags(flags *flag.FlagSet) { status.Register(flags) }

// Execute implements subcommands.Command.
func (status *Status) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return query(ctx, &status.Connector, "/v1/queries/status", writeStatus)
}

// Shares is the subcommand that shows guarantees and usage by workspace.
type Shares struct{ connector.Connector }

// Name implements subcommands.Command.
func (*Shares) Name() string { return "shares" }

// Synopsis implements subcommands.Command.
func (*Shares) Synopsis() string { return "show guarantees and usage by workspace" }

// Usage implements subcommands.Command.
func (*Shares) Usage() string { return "shares [-output json]\n" }

// SetFlags implements subcommands.Command.
func (shares *Shares) SetFlags(flags *flag.FlagSet) { shares.Register(flags) }

// Execute implements subcommands.Command.
func (shares *Shares) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return query(ctx, &shares.Connector, "/v1/queries/shares", writeShares)
}

// Explain is the subcommand that shows the decisions about one subject.
type Explain struct{ connector.Connector }

// Name implements subcommands.Command.
func (*Explain) Name() string { return "explain" }

// Synopsis implements subcommands.Command.
func (*Explain) Synopsis() string {
	return "show the decisions about a job, request, workspace, worker or node"
}

// Usage implements subcommands.Command.
func (*Explain) Usage() string { return "explain [-output json] SUBJECT\n" }

// SetFlags implements subcommands.Command.
func (explain *Explain) SetFlags(flags *flag.FlagSet) { explain.Register(flags) }

// Execute implements subcommands.Command.
func (explain *Explain) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() != 1 {
		return explain.Fail(classifier.New(classifier.BadRequest, "explain requires exactly one subject"))
	}
	return query(ctx, &explain.Connector, "/v1/queries/explain?subject="+url.QueryEscape(flags.Arg(0)), writeExplanation)
}

// Check is the subcommand that validates settings or a service text without a node.
type Check struct {
	settings string
	text     string
}

// Name implements subcommands.Command.
func (*Check) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*Check) Synopsis() string { return "validate a settings file or a service text" }

// Usage implements subcommands.Command.
func (*Check) Usage() string { return "check [-settings FILE] [-text FILE]\n" }

// SetFlags implements subcommands.Command.
func (check *Check) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&check.settings, "settings", "", "settings file of a node")
	flags.StringVar(&check.text, "text", "", "service text")
}

// Execute implements subcommands.Command.
func (check *Check) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if check.settings == "" && check.text == "" {
		return connector.Fail(classifier.New(classifier.BadRequest, "-settings or -text is required"), false)
	}
	if check.settings != "" {
		if _, err := loader.Load(check.settings); err != nil {
			return connector.Fail(err, false)
		}
		fmt.Printf("%s is valid\n", check.settings)
	}
	if check.text != "" {
		content, err := os.ReadFile(check.text)
		if err != nil {
			return connector.Fail(classifier.New(classifier.InvalidText, "%v", err), false)
		}
		if _, err := (parser.Parser{}).Parse(content); err != nil {
			return connector.Fail(err, false)
		}
		fmt.Printf("%s is valid\n", check.text)
	}
	return subcommands.ExitSuccess
}

func query(ctx context.Context, connector *connector.Connector, path string, write func(io.Writer, responder.Report)) subcommands.ExitStatus {
	requester, err := connector.Connect()
	if err != nil {
		return connector.Fail(err)
	}
	var report responder.Report
	if err := requester.Get(ctx, path, &report); err != nil {
		return connector.Fail(err)
	}
	connector.Print(report, func(out io.Writer) {
		table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
		write(table, report)
		for _, node := range report.Unresponsive {
			fmt.Fprintf(table, "no answer from %s\n", node)
		}
		_ = table.Flush()
	})
	return subcommands.ExitSuccess
}

func writeStatus(out io.Writer, report responder.Report) {
	fmt.Fprintln(out, "NODE\tMEMBERS\tALIVE\tJOBS\tMINIONS\tBUSY\tCONFIGURATION")
	for _, node := range report.Nodes {
		alive, busy := 0, 0
		for _, member := range node.Members {
			if member.State == "alive" {
				alive++
			}
		}
		for _, minion := range node.Minions {
			busy += minion.Busy
		}
		fmt.Fprintf(out, "%s\t%d\t%d\t%d\t%d\t%d\t", node.Node, len(node.Members), alive, len(node.Jobs), len(node.Minions), busy)
		for _, text := range node.Configuration {
			fmt.Fprintf(out, "%s@%d ", text.Organisation, text.Version)
			if text.Pending != 0 {
				fmt.Fprintf(out, "(pending %d, awaits %v) ", text.Pending, text.Missing)
			}
		}
		fmt.Fprintln(out)
	}
}

func writeShares(out io.Writer, report responder.Report) {
	fmt.Fprintln(out, "NODE\tWORKSPACE\tGUARANTEED\tUSED\tCOVERED")
	for _, node := range report.Nodes {
		for _, share := range node.Shares {
			fmt.Fprintf(out, "%s\t%s\t%d\t%d\t%t\n", node.Node, share.Workspace, share.Guaranteed, share.Used, share.Covered)
		}
	}
}
