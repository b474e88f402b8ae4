// Package admitter decides at an entry VM which submissions are refused because their queue is
// so long that the job would earn nothing when it is done. It is pure: the time and the figures
// of the holder are arguments.
package admitter

import (
	"math/rand/v2"
	"time"

	"corianderroad/identifier"
	"corianderroad/specifier"
)

const (
	// maxAge is the age from which on figures are not used any more.
	maxAge = 2 * time.Second
	// worthlessFactor is the time in multiples of its objective after which a job earns nothing.
	worthlessFactor = 3
	// trialInterval is the number of submissions of one workspace to a queue, all of which would
	// be refused, of which one is accepted.
	trialInterval = 12
	// minWidthFactor is the smallest share of the usual width at which the waits still hold. A
	// narrower job may fit into gaps that the usual one can't use.
	minWidthFactor = 0.5
)

// Wait is what the holder expects for the jobs of one queue.
type Wait struct {
	Queue identifier.Queue
	// Timely is the wait behind the steps that come before a job that can still be on time, and
	// Behind that of a job that can't be.
	Timely, Behind time.Duration
	// RunTime is the usual critical path of a job, and Tasks the usual number of tasks.
	RunTime time.Duration
	Tasks   int
	// LargestMinion is the capacity of the largest minion of the queue's service.
	LargestMinion specifier.Resources
}

// Figures are the waits of all queues that have a long one, as the holder computed them.
type Figures struct {
	Waits []Wait
	// ComputedAt is by the holder's clock. ReadAt is when this node requested them, so that a
	// holder whose clock is ahead does not make them valid for longer.
	ComputedAt, ReadAt time.Time
}

// isFresh reports whether the figures may be used. Those from the future have come from a clock
// that is ahead by more than their age can tell.
func (figures *Figures) isFresh(now time.Time) bool {
	age := now.Sub(figures.ComputedAt)
	return age < maxAge && age > -maxAge && now.Sub(figures.ReadAt) < maxAge
}

// Submission is a job that the journal does not have.
type Submission struct {
	Job   *specifier.Job
	Queue *specifier.Queue
	// WithinGuarantee means that the workspace's unfinished jobs need no more accelerators
	// than it is guaranteed.
	WithinGuarantee bool
}

// Verdict is the decision about a submission.
type Verdict struct {
	Refused bool
	// Wait is the expected wait of a refused job, and RetryAfter when its caller should return.
	Wait, RetryAfter time.Duration
}

// Admitter makes the decisions of one node. It is not safe for concurrent use.
type Admitter struct {
	figures Figures
	waits   map[identifier.Queue]*Wait
	random  *rand.Rand
	// trials counts the submissions of each workspace to each queue that would be refused.
	trials   map[trialKey]int
	refusals map[identifier.Queue]*refusals
	changes  []Change
}

type trialKey struct {
	queue     identifier.Queue
	workspace identifier.Workspace
}

// New returns an Admitter without figures. The nodes need different random sources, so that
// they don't accept their trials at the same time.
func New(random *rand.Rand) *Admitter {
	return &Admitter{
		random: random, waits: make(map[identifier.Queue]*Wait), trials: make(map[trialKey]int),
		refusals: make(map[identifier.Queue]*refusals),
	}
}

// SetFigures replaces the figures. Empty ones mean that there are none.
func (admitter *Admitter) SetFigures(now time.Time, figures Figures) {
	admitter.figures = figures
	clear(admitter.waits)
	for index := range figures.Waits {
		wait := &figures.Waits[index]
		admitter.waits[wait.Queue] = wait
	}
	admitter.endRefusals(now)
}

// Decide decides about a submission. A trial is one that is accepted although the figures say
// that it should be refused.
func (admitter *Admitter) Decide(now time.Time, submission Submission) Verdict {
	wait := admitter.waits[submission.Queue.Name]
	if wait == nil || !admitter.figures.isFresh(now) || submission.isExempt(wait) {
		return Verdict{}
	}
	objective := newObjective(submission.Queue, specifier.CriticalPath(submission.Job.Steps, 0))
	if !objective.isWorthless(wait) || admitter.isTrial(submission) {
		return Verdict{}
	}
	expected := objective.expectedWait(wait)
	admitter.noteRefusal(now, submission.Queue, expected)
	return Verdict{Refused: true, Wait: expected, RetryAfter: retryDelay(submission.Job.ID, expected-objective.slack())}
}

// isTrial reports whether a submission that would be refused is accepted for a trial.
func (admitter *Admitter) isTrial(submission Submission) bool {
	key := trialKey{submission.Queue.Name, submission.Job.Workspace}
	count, ok := admitter.trials[key]
	if !ok {
		count = admitter.random.IntN(trialInterval)
	}
	admitter.trials[key] = (count + 1) % trialInterval
	return count == 0
}

// isExempt reports whether the figures say nothing about the job, or the rule does not apply to it.
func (submission *Submission) isExempt(wait *Wait) bool {
	job := submission.Job
	if submission.WithinGuarantee || submission.Queue.Priority == 0 || len(job.Steps) == 0 || job.Schedule != nil || job.IsLongRunning() {
		return true
	}
	if float64(job.Steps[0].Tasks) < minWidthFactor*float64(wait.Tasks) {
		return true
	}
	for index := range job.Steps {
		if isApart(&job.Steps[index], wait) {
			return true
		}
	}
	return false
}

// isApart reports whether a step waits for other capacity than the usual job: for minions with a
// label, for processor time that others leave idle, or for a minion that may join later.
func isApart(step *specifier.Step, wait *Wait) bool {
	return step.Label != "" || step.Backfill || !wait.LargestMinion.Holds(step.Request)
}

// Waits returns the waits that are used now.
func (admitter *Admitter) Waits(now time.Time) []Wait {
	if !admitter.figures.isFresh(now) {
		return nil
	}
	return admitter.figures.Waits
}
