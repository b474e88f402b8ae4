// Command loadgen sends short and long calls to the entry nodes of a deployment,
// checks every answer and prints a table. Its exit code is 1 if there was a
// violation and 2 if loadgen itself failed.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

const (
	exitViolation = 1
	exitFailed    = 2
)

func main() {
	options, err := parseOptions(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "loadgen:", err)
		os.Exit(exitFailed)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	violations, err := run(ctx, options)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "loadgen:", err)
		os.Exit(exitFailed)
	}
	for _, violation := range violations {
		fmt.Println("BROKEN:", violation)
	}
	if len(violations) > 0 {
		os.Exit(exitViolation)
	}
	fmt.Println("no violations")
}
