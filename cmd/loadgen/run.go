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
	// inForceTimeout is how long a configuration may take to be in force.
	inForceTimeout = 7 * time.Second
	// inquiryTimeout bounds the queries after the load.
	inquiryTimeout = 30 * time.Second
)

// run sends the load and returns the violations.
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
			due:     buffer.New[planner.Call](kind.Class.String(), dueCapacity),
			results: results, callers: options.callers, maxCalls: options.maxCalls,
			end: start.Add(options.duration),
		}
	}
	short, long := newLoad(options.short), newLoad(options.long)

	watchCtx, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	var watch, load errgroup.Group
	watch.Go(func() error { return entries.Run(watchCtx) })
	load.Go(func() error { return short.run(ctx) })
	load.Go(func() error { return long.run(ctx) })
	loadCtx, allEnded := context.WithCancel(context.Background())
	watch.Go(func() error {
		defer allEnded()
		return load.Wait()
	})
	summary := collector.Collect(loadCtx, results, progressPeriod, func(summary *collector.Summary) {
		verdicts := summary.Verdicts
		fmt.Printf("loadgen: %3.0fs, %d sent, %d answered, %d refused, %d retries, %d entries ready\n", time.Since(start).Seconds(),
			summary.SentCount(), verdicts[caller.Answered], verdicts[caller.Refused], summary.RetryCount(), entries.ReadyCount())
	})
	loadResults := printer.Results{
		Summary: summary, NotSent: int(short.notSent.Load() + long.notSent.Load()), Elapsed: time.Since(start),
	}
	err := inquire(parent, options, entries, &loadResults)
	stopWatching()
	_ = watch.Wait()
	if printErr := printer.Print(os.Stdout, loadResults); err == nil {
		err = printErr
	}
	return loadResults.Violations(), err
}

// inquire queries the stand-ins and the nodes for what happened during the load.
func inquire(parent context.Context, options options, entries *balancer.Balancer, loadResults *printer.Results) error {
	ctx, cancel := context.WithTimeout(parent, inquiryTimeout)
	defer cancel()
	stateInquirer := inquirer.New(options.control)
	var err error
	if loadResults.Report, err = stateInquirer.Report(ctx); err != nil {
		return err
	}
	if loadResults.RanDespiteRefusal, err = stateInquirer.ExecutedCalls(ctx, loadResults.Summary.CertainlyNotRun); err != nil {
		return err
	}
	if options.operator == "" {
		return nil
	}
	loadResults.InForce, err = awaitInForce(ctx, options, stateInquirer, entries)
	return err
}

// awaitInForce polls a node until every node that responds has the newest
// configuration, or until inForceTimeout has passed.
func awaitInForce(ctx context.Context, options options, stateInquirer *inquirer.Inquirer, entries *balancer.Balancer) (inquirer.InForce, error) {
	deadline := time.Now().Add(inForceTimeout)
	ticker := time.NewTicker(500 * time.Millisecond)
	defer ticker.Stop()
	entry := options.entries[0]
	for {
		entry = entries.Choose(entry)
		inForce, err := stateInquirer.InForce(ctx, entry, options.tokens.Operators[options.operator])
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
