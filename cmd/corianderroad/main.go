// Command corianderroad runs a node of the scheduler and is its command-line
// client.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"corianderroad/cmd/corianderroad/changer"
	"corianderroad/cmd/corianderroad/reader"
	"corianderroad/reloader"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "help")
	subcommands.Register(subcommands.FlagsCommand(), "help")
	subcommands.Register(&serve{}, "node")
	subcommands.Register(&enter{}, "node")
	for _, command := range []subcommands.Command{
		&changer.Publish{}, &changer.Approve{}, &changer.Submit{}, &changer.Cancel{}, &changer.Call{}, &changer.Drain{},
	} {
		subcommands.Register(command, "commands")
	}
	for _, query := range []subcommands.Command{&reader.Status{}, &reader.Explain{}, &reader.Shares{}, &reader.Check{}} {
		subcommands.Register(query, "queries")
	}
	flag.Parse()
	if flag.Arg(0) != (&enter{}).Name() {
		reloader.Stop() // the other commands have no settings to reload
	}
	os.Exit(int(subcommands.Execute(context.Background())))
}
