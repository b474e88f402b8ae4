// Command standins serves stand-ins of a deployment's external systems on
// loopback addresses: the log service, the VM list, all minions and all workers.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"corianderroad/cmd/standins/loader"
)

func main() {
	path := flag.String("settings", "", "settings file of the stand-ins")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := run(ctx, *path)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "standins:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, path string) error {
	settings, err := loader.Load(path)
	if err != nil {
		return err
	}
	deployment := newDeployment(settings)
	if err := deployment.listen(); err != nil {
		return err
	}
	fmt.Printf("standins: control %s, %d minions, %d workers\n", settings.Control, len(deployment.minions), len(deployment.workers))
	return deployment.run(ctx)
}
