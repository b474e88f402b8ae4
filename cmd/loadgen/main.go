// Command loadgen sends short and long calls to the entry nodes of a
// deployment, checks every answer and prints a table. Its exit code is 1 if a
// promise of the system was broken and 2 if loadgen itself failed.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

const (
	exitBroken = 1
	exitFailed = 2
)

func main() {
	options, err := parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "loadgen:", err)
		os.Exit(exitFailed)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	broken, err := run(ctx, options)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "loadgen:", err)
		os.Exit(exitFailed)
	}
	for _, promise := range broken {
		fmt.Println("BROKEN:", promise)
	}
	if len(broken) > 0 {
		os.Exit(exitBroken)
	}
	fmt.Println("every promise was kept")
}
