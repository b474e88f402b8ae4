// Command standin-3 plays the cases of the third review: it starts the project's entry VMs as
// processes, with stand-ins of the platform, its minions and clients, and checks a rule.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	ruleHeld = iota
	ruleBroken
	couldNotRun
)

// caseTime bounds the time of a case.
const caseTime = 115 * time.Second

// scenario plays a case. It reports whether the rule was broken.
type scenario func(ctx context.Context, deployment *deployment, isTroubled bool) (bool, error)

// plan is a scenario with its deployment.
type plan struct {
	scenario scenario
	nodes    int
	minions  int
}

var plans = map[string]plan{
	"service": {playService, 3, 8},
	"reborn":  {playReborn, 3, 6},
	"unknown": {playUnknown, 3, 6},
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin-3 SCENARIO FOLDER")
		os.Exit(couldNotRun)
	}
	chosen, ok := plans[os.Args[1]]
	if !ok {
		fmt.Fprintf(os.Stderr, "no scenario %q\n", os.Args[1])
		os.Exit(couldNotRun)
	}
	os.Exit(play(chosen, os.Args[2]))
}

func play(plan plan, folder string) int {
	log, err := newJournal(folder + "/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	stopped, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(stopped, caseTime)
	defer cancel()
	deployment, err := build(ctx, plan, log)
	if deployment != nil {
		defer deployment.close()
	}
	isBroken := false
	if err == nil {
		isBroken, err = plan.scenario(ctx, deployment, os.Getenv("TROUBLE") != "0")
	}
	switch {
	case err != nil:
		log.add("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	case isBroken:
		log.add("result: the rule is broken")
		return ruleBroken
	}
	log.add("result: the rule held")
	return ruleHeld
}

// build starts the platform, the minions and the nodes.
func build(ctx context.Context, plan plan, log *journal) (*deployment, error) {
	folder, err := os.MkdirTemp("", "standin-3-")
	if err != nil {
		return nil, err
	}
	command, err := runWords()
	if err != nil {
		return nil, err
	}
	store, jobs := newStore(), newJobs()
	pool := newPool(store, log, jobs)
	deployment := &deployment{store: store, log: log, jobs: jobs, pool: pool, cloud: &cloud{}, folder: folder}
	store.write("keyed.op", "config", configuration())
	storeAddress, err := serve(store)
	if err != nil {
		return nil, err
	}
	cloudAddress, err := serve(deployment.cloud)
	if err != nil {
		return nil, err
	}
	for index := range plan.minions {
		minion, err := pool.launch(fmt.Sprintf("m-%d", index+1), "gulf-a", fmt.Sprintf("r1-%d", index/4), "", resources{32000, 131072, 8})
		if err != nil {
			return nil, err
		}
		deployment.cloud.add(minion)
	}
	for index := range plan.nodes {
		node, err := deployment.newNode(index, folder, storeAddress, cloudAddress, command)
		if err != nil {
			return deployment, err
		}
		deployment.nodes = append(deployment.nodes, node)
		if err := node.start(log); err != nil {
			return deployment, err
		}
	}
	ready, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	return deployment, deployment.awaitReady(ready)
}

// close ends all processes that were started.
func (deployment *deployment) close() {
	for _, node := range deployment.nodes {
		node.stop()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(deployment.folder) // it is a temporary folder
	}
}

// pause waits, unless the time of the case is over.
func pause(ctx context.Context, duration time.Duration) error {
	select {
	case <-ctx.Done():
		return fmt.Errorf("the case was stopped: %w", ctx.Err())
	case <-time.After(duration):
		return nil
	}
}
