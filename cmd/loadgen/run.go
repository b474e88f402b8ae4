package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"golang.org/x/sync/errgroup"

	"corianderroad/buffer"
	"corianderroad/cmd/loadgen/balancer"
	"corianderroad/cmd/loadgen/caller"
	"corianderroad/cmd/loadgen/collector"
	"corianderroad/cmd/loadgen/inquirer"
	"corianderroad/cmd/loadgen/planner"
	"corianderroad/cmd/loadgen/printer"
)

const (
	progressPeriod = 2 * time.Second
	// inForceWithin is how long a configuration may take to be in force.
	inForceWithin = 7 * time.Second
	// questionsTime bounds the questions after the load.
	questionsTime = 30 * time.Second
)

// run sends the load and returns the promises that were broken.
func run(parent context.Context, options options) ([]string, error) {
	start := time.Now()
	ctx, cancel := context.WithDeadline(parent, start.Add(options.limit))
	defer cancel()
	entries := balancer.New(options.entries)
	results := buffer.New[caller.Result]("results", 4096)
	sender := caller.New(entries, caller.NewHTTP(options.service))
	newLoad := func(kind planner.Kind) *load {
		return &load{
			planner: planner.New(kind, options.swing, options.workspaces, start, options.seed),
			caller:  sender,
			due:     buffer.New[planner.Call](kind.Class.String(), backlog),
			results: results, callers: options.callers, maxCalls: options.maxCalls,
			end: start.Add(options.duration),
		}
	}
	short, long := newLoad(options.short), newLoad(options.long)

	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	var watch, load errgroup.Group
	watch.Go(func() error { return entries.Run(watching) })
	load.Go(func() error { return short.run(ctx) })
	load.Go(func() error { return long.run(ctx) })
	loaded, allEnded := context.WithCancel(context.Background())
	watch.Go(func() error {
		defer allEnded()
		return load.Wait()
	})
	summary := collector.Collect(loaded, results, progressPeriod, func(summary *collector.Summary) {
		verdicts := summary.Verdicts
		fmt.Printf("loadgen: %3.0fs, %d answered, %d whole, %d refused, %d retries, %d entries ready\n", time.Since(start).Seconds(),
			summary.Sent(), verdicts[caller.Whole], verdicts[caller.Refused], summary.Repetitions(), entries.Ready())
	})
	evidence := printer.Evidence{
		Summary: summary, NotSent: int(short.notSent.Load() + long.notSent.Load()), Elapsed: time.Since(start),
	}
	err := inquire(parent, options, entries, &evidence)
	stopWatching()
	_ = watch.Wait()
	if printErr := printer.Print(os.Stdout, evidence); err == nil {
		err = printErr
	}
	return evidence.Broken(), err
}

// inquire asks the stand-ins and the nodes what really happened.
func inquire(parent context.Context, options options, entries *balancer.Balancer, evidence *printer.Evidence) error {
	ctx, cancel := context.WithTimeout(parent, questionsTime)
	defer cancel()
	asker := inquirer.New(options.control)
	var err error
	if evidence.Report, err = asker.Report(ctx); err != nil {
		return err
	}
	if evidence.RanThoughRefused, err = asker.Ran(ctx, evidence.Summary.SurelyNotRun); err != nil {
		return err
	}
	if options.operator == "" {
		return nil
	}
	evidence.InForce, err = askInForce(ctx, options, asker, entries)
	return err
}

// askInForce asks until every node that answers has the newest configuration,
// at most for the time within which it must be in force.
func askInForce(ctx context.Context, options options, asker *inquirer.Inquirer, entries *balancer.Balancer) (inquirer.InForce, error) {
	deadline := time.Now().Add(inForceWithin)
	ticker := time.NewTicker(500 * time.Millisecond)
	defer ticker.Stop()
	entry := options.entries[0]
	for {
		entry = entries.Choose(entry)
		inForce, err := asker.InForce(ctx, entry, options.tokens.Operators[options.operator])
		if (err == nil && len(inForce.Behind) == 0) || time.Now().After(deadline) {
			return inForce, err
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return inForce, err
		}
	}
}
