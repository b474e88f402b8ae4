//go:build review

// Command standins-2 runs the cases of the second review. Each starts a small deployment:
// nodes as separate processes, and stand-ins of the store, minions and clients.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxDuration limits a case.
const maxDuration = 110 * time.Second

// caseRun is a case. Its result is how the rule was broken, empty if it held.
type caseRun func(ctx context.Context, deployment *deployment, trouble string) (string, error)

var cases = map[string]caseRun{
	"restart":      runRestart,
	"lease":        runLease,
	"late-start":   runLateStart,
	"verdict":      runVerdict,
	"cancellation": runCancellation,
	"label":        runLabel,
}

func main() {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "path of the record")
	binary := flag.String("binary", "target/corianderroad", "path of the node's program")
	flag.Parse()
	broken, err := run(*name, *record, *binary)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(exitFailed)
	case broken != "":
		fmt.Println("broken:", broken)
		os.Exit(exitBroken)
	}
	fmt.Println("held")
	os.Exit(exitHeld)
}

// run runs a case. The disruption depends on the environment variable TROUBLE: all of it
// unless it is set, none with 0, and a part of it with the name of the part.
func run(name, record, binary string) (string, error) {
	selected, ok := cases[name]
	if !ok {
		return "", fmt.Errorf("no case %q", name)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxDuration)
	defer cancel()
	recorder, err := newRecorder(record)
	if err != nil {
		return "", err
	}
	deployment, err := newDeployment(binary, recorder)
	if err != nil {
		return "", err
	}
	trouble := os.Getenv("TROUBLE")
	if trouble == "" {
		trouble = "1"
	}
	recorder.log("case %s, TROUBLE=%s", name, trouble)
	broken, err := selected(ctx, deployment, trouble)
	switch {
	case err != nil:
		recorder.log("result: the case could not run: %v", err)
	case broken != "":
		recorder.log("result: broken: %s", broken)
	default:
		recorder.log("result: held")
	}
	deployment.close()
	return broken, errors.Join(err, recorder.close())
}
