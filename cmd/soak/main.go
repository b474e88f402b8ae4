// Command soak runs nodes as separate processes against the stand-in of the
// platform, injects random faults from outside, and checks what callers and minions
// observe. It ends only processes that it has started.
package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"corianderroad/cmd/soak/disturber"
	"corianderroad/cmd/soak/interrupter"
	"corianderroad/cmd/soak/stager"
	"corianderroad/cmd/soak/submitter"
)

func main() {
	options := options{}
	flag.StringVar(&options.binary, "binary", "bin/corianderroad", "path of the node's binary")
	flag.StringVar(&options.folder, "logs", os.TempDir(), "folder for the logs of failed seeds")
	flag.Uint64Var(&options.seed, "seed", 1, "first seed")
	flag.IntVar(&options.seeds, "seeds", 1, "number of consecutive seeds to run")
	flag.IntVar(&options.nodes, "nodes", 4, "number of nodes")
	flag.IntVar(&options.minions, "minions", 9, "number of minions")
	flag.IntVar(&options.callers, "callers", 4, "number of callers")
	flag.DurationVar(&options.span, "span", 20*time.Second, "time during which faults are injected")
	flag.BoolVar(&options.keep, "keep", false, "keep the logs of all seeds, not only of those that fail")
	flag.BoolVar(&options.outages, "outages", false, "play outages of the store and callers with many small tasks in place of the other faults")
	flag.BoolVar(&options.answersAnew, "answers-anew", false, "with -outages: second answers of minions are made anew, with a later clock")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	failed := 0
	for seed := options.seed; seed < options.seed+uint64(options.seeds) && ctx.Err() == nil; seed++ {
		violated, err := run(ctx, options, seed)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		if violated {
			failed++
		}
	}
	fmt.Printf("%d seeds, %d failed\n", options.seeds, failed)
	if failed > 0 {
		os.Exit(1)
	}
}

type options struct {
	binary, folder          string
	seed                    uint64
	seeds                   int
	nodes, minions, callers int
	span                    time.Duration
	// outages selects outages of the store under many small tasks.
	outages bool
	// answersAnew gives the second answers of minions a later clock.
	answersAnew bool
	// keep keeps the logs of seeds that do not fail.
	keep bool
}

// completionTimeout is how long jobs may take to complete after the faults have ended.
const completionTimeout = 60 * time.Second

// run runs the test with one seed and reports whether there was a violation.
func run(ctx context.Context, options options, seed uint64) (bool, error) {
	folder, err := os.MkdirTemp(options.folder, fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		return false, err
	}
	faultLog, err := os.Create(filepath.Join(folder, "faults.log"))
	if err != nil {
		return false, err
	}
	defer faultLog.Close() //nolint:errcheck // it is only the log of a test run
	deployment, err := stager.New(options.binary, folder, options.nodes, options.minions)
	if err != nil {
		deployment.Close()
		return false, err
	}
	if options.outages {
		deployment.RefuseOverload()
	}
	runWorkload(ctx, options, seed, deployment, faultLog)
	deployment.Close()
	violations := deployment.Checker.Violations()
	fmt.Printf("seed %d: %d faults, %d evacuations, %d of %d jobs accepted, %d refused, %d cancelled, %d starts, %d of them in evacuated domains, %d crashes by tasks, %d jobs seen as given up, %d violations\n", seed,
		deployment.Checker.Counter("faults"), deployment.Checker.Counter("evacuations"), deployment.Checker.Counter("accepted"), deployment.Checker.Counter("submitted"),
		deployment.Checker.Counter("refused"), deployment.Checker.Counter("cancelled"), deployment.Checker.Counter("starts"),
		deployment.Checker.Counter("starts in evacuated domains"), deployment.Checker.Counter("crashes"), deployment.Checker.Counter("given up"), len(violations))
	for _, violation := range violations {
		fmt.Println("  " + violation)
	}
	if len(violations) == 0 && !options.keep {
		return false, os.RemoveAll(folder)
	}
	fmt.Println("  logs are in " + folder)
	return len(violations) > 0, nil
}

// Streams of random numbers beside those of the faults and of the callers' jobs, so that
// these do not depend on them.
const (
	resizeStream          = 1 << 20
	firstCrashStream      = 1 << 21
	firstEvacuationStream = 1 << 22
)

// runWorkload runs callers while faults are injected, and then waits until all jobs
// have completed.
func runWorkload(ctx context.Context, options options, seed uint64, deployment *stager.Deployment, faultLog *os.File) {
	faultsCtx, cancel := context.WithTimeout(ctx, options.span)
	defer cancel()
	startedAt := time.Now()
	var mutex sync.Mutex
	log := func(format string, arguments ...any) {
		mutex.Lock()
		defer mutex.Unlock()
		_, _ = fmt.Fprintf(faultLog, "%s %.3f s: %s\n", time.Now().UTC().Format(time.RFC3339Nano), time.Since(startedAt).Seconds(), fmt.Sprintf(format, arguments...))
	}
	group := &errgroup.Group{}
	var callers []*submitter.Submitter
	for number := range options.callers {
		caller := newCaller(options, seed, deployment, uint64(number))
		callers = append(callers, caller)
		group.Go(func() error { return caller.Run(faultsCtx) })
	}
	if options.outages {
		group.Go(func() error {
			return interrupter.New(deployment, rand.New(rand.NewPCG(seed, 0)), options.answersAnew, log).Run(faultsCtx)
		})
	} else {
		startDisturbers(faultsCtx, group, seed, deployment, log)
	}
	_ = group.Wait() // neither callers nor faults return errors
	awaitCompletion(ctx, deployment, callers[0])
}

func newCaller(options options, seed uint64, deployment *stager.Deployment, number uint64) *submitter.Submitter {
	random := rand.New(rand.NewPCG(seed, number+1))
	if options.outages {
		return submitter.New(deployment, random, submitter.NewSmallJobs(random), submitter.BoundedPace)
	}
	crashRandom := rand.New(rand.NewPCG(seed, number+firstCrashStream))
	return submitter.New(deployment, random, submitter.NewMixedJobs(random, crashRandom), submitter.FastPace)
}

// startDisturbers starts random faults, changes of the capacity of minions, and evacuations.
func startDisturbers(faultsCtx context.Context, group *errgroup.Group, seed uint64, deployment *stager.Deployment, log func(format string, arguments ...any)) {
	group.Go(func() error { return disturber.New(deployment, rand.New(rand.NewPCG(seed, 0)), log).Run(faultsCtx) })
	group.Go(func() error {
		return disturber.New(deployment, rand.New(rand.NewPCG(seed, resizeStream)), log).RunResizes(faultsCtx)
	})
	for index, domain := range deployment.Domains() {
		random := rand.New(rand.NewPCG(seed, uint64(index)+firstEvacuationStream))
		group.Go(func() error { return disturber.New(deployment, random, log).RunEvacuations(faultsCtx, domain) })
	}
}

// awaitCompletion queries the unfinished jobs until all have completed.
func awaitCompletion(parent context.Context, deployment *stager.Deployment, caller *submitter.Submitter) {
	ctx, cancel := context.WithTimeout(parent, completionTimeout)
	defer cancel()
	for {
		unfinished := deployment.Checker.Unfinished()
		if len(unfinished) == 0 {
			return
		}
		if parent.Err() != nil {
			return // the user has interrupted the test
		}
		if ctx.Err() != nil {
			deployment.Checker.ReportViolation("%d accepted jobs have not completed %s after the faults, among them %s", len(unfinished), completionTimeout, unfinished[0])
			return
		}
		for _, id := range unfinished {
			caller.CheckState(ctx, id)
		}
		select {
		case <-time.After(200 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}
