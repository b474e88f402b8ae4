package applier

import (
	"cmp"
	"slices"
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

const (
	// maxJobs bounds the accepted jobs. It is not a parameter, because every node
	// must refuse the same submission.
	maxJobs = 100_000
	// endedAge is how long an ended job is kept.
	endedAge = 24 * time.Hour
)

// jobs is the state of the stream jobs.
type jobs struct {
	jobs   map[identifier.Job]*messenger.JobState
	claims map[identifier.Region]messenger.ClaimState
	// ended holds the ended jobs in the order of their outcomes.
	ended  []*messenger.JobState
	folded *folded
	// items is the sum of the fingerprints of jobs and claims.
	items uint64
}

func newJobs() *jobs {
	return &jobs{
		jobs:   map[identifier.Job]*messenger.JobState{},
		claims: map[identifier.Region]messenger.ClaimState{},
		folded: newFolded(nil),
	}
}

func (jobs *jobs) fold(read messenger.AppendRead, entry messenger.Entry) verdict {
	if !jobs.folded.add(entry.ID, read.AppendedAt) {
		return verdict{}
	}
	switch record := entry.Record.(type) {
	case messenger.Submission:
		return jobs.submit(read, record)
	case messenger.Cancellation:
		return jobs.cancel(read, record)
	case messenger.Outcome:
		return jobs.conclude(read, record)
	case messenger.RegionClaim:
		return jobs.claim(read, record)
	default:
		return verdict{}
	}
}

func (jobs *jobs) advance(read messenger.AppendRead) {
	jobs.folded.expire(read.AppendedAt)
	expired := 0
	for expired < len(jobs.ended) && read.AppendedAt.Sub(jobs.ended[expired].EndedAt) > endedAge {
		job := jobs.ended[expired]
		jobs.items -= jobFingerprint(job)
		delete(jobs.jobs, job.Spec.Job)
		// The backing array would keep the job reachable.
		jobs.ended[expired] = nil
		expired++
	}
	jobs.ended = jobs.ended[expired:]
}

func (jobs *jobs) restart(messenger.AppendRead) bool { return false }

func (jobs *jobs) digest() uint64 { return jobs.items + jobs.folded.digest }

// change replaces the fingerprint of a job around a change of it.
func (jobs *jobs) change(job *messenger.JobState, change func()) {
	jobs.items -= jobFingerprint(job)
	change()
	jobs.items += jobFingerprint(job)
}

func (jobs *jobs) submit(read messenger.AppendRead, submission messenger.Submission) verdict {
	spec := submission.Spec
	verdict := verdict{offset: read.Offset, subject: string(spec.Job), detail: "submission " + ordinal(read.Offset)}
	if known, ok := jobs.jobs[spec.Job]; ok {
		verdict.offset = known.Offset
		if known.Spec != spec {
			verdict.err = jobExists(spec.Job)
		}
		return verdict
	}
	if len(jobs.jobs) >= maxJobs {
		verdict.err = classifier.New(classifier.QueueFull, "the deployment holds its maximum of %d jobs", maxJobs).
			WithRetryAfter(time.Minute)
		return verdict
	}
	job := &messenger.JobState{Spec: spec, Offset: read.Offset, AcceptedAt: read.AppendedAt}
	jobs.jobs[spec.Job] = job
	jobs.items += jobFingerprint(job)
	verdict.actions = []messenger.Action{accepted(job)}
	return verdict
}

func jobExists(job identifier.Job) *classifier.Error {
	return classifier.New(classifier.JobExists, "job %q exists with another specification", job)
}

func (jobs *jobs) cancel(read messenger.AppendRead, cancellation messenger.Cancellation) verdict {
	verdict := verdict{offset: read.Offset, subject: string(cancellation.Job), detail: "cancellation " + ordinal(read.Offset)}
	job, ok := jobs.jobs[cancellation.Job]
	switch {
	case !ok:
		verdict.err = classifier.New(classifier.UnknownJob, "no job %q is known", cancellation.Job)
	case !job.EndedAt.IsZero():
		verdict.err = classifier.New(classifier.JobEnded, "job %q has ended", cancellation.Job)
	case job.CancelledAt > 0:
		verdict.offset = job.CancelledAt
	default:
		jobs.change(job, func() { job.CancelledAt = read.Offset })
		verdict.actions = []messenger.Action{messenger.JobCancelled{Job: cancellation.Job}}
	}
	return verdict
}

// conclude folds the end of a job. The first outcome stands.
func (jobs *jobs) conclude(read messenger.AppendRead, outcome messenger.Outcome) verdict {
	job, ok := jobs.jobs[outcome.Job]
	if !ok || !job.EndedAt.IsZero() {
		return verdict{}
	}
	jobs.change(job, func() { job.EndedAt, job.Outcome = read.AppendedAt, outcome })
	jobs.ended = append(jobs.ended, job)
	verdict := verdict{
		offset: read.Offset, subject: string(outcome.Job), detail: "outcome " + ordinal(read.Offset) + ": " + outcome.Reason,
		actions: []messenger.Action{messenger.JobEnded{Outcome: outcome}},
	}
	if outcome.Code != classifier.OK {
		verdict.err = classifier.New(outcome.Code, "%s", outcome.Reason)
	}
	return verdict
}

func (jobs *jobs) claim(read messenger.AppendRead, claim messenger.RegionClaim) verdict {
	if old, ok := jobs.claims[claim.Region]; ok {
		jobs.items -= claimFingerprint(old)
	}
	state := messenger.ClaimState{Claim: claim, Term: identifier.Term(read.Offset)}
	jobs.claims[claim.Region] = state
	jobs.items += claimFingerprint(state)
	return verdict{
		offset: read.Offset, subject: string(claim.Region),
		detail:  "claim " + ordinal(read.Offset) + " of node " + string(claim.Node),
		actions: []messenger.Action{messenger.ClaimApplied{Claim: claim, Term: state.Term}},
	}
}

func accepted(job *messenger.JobState) messenger.JobAccepted {
	return messenger.JobAccepted{Spec: job.Spec, Offset: job.Offset, At: job.AcceptedAt}
}

func (jobs *jobs) job(name identifier.Job) *messenger.JobState {
	if jobs == nil {
		return nil
	}
	return jobs.jobs[name]
}

// sorted returns the jobs in the order of their acceptance.
func (jobs *jobs) sorted() []*messenger.JobState {
	sorted := make([]*messenger.JobState, 0, len(jobs.jobs))
	for _, job := range jobs.jobs {
		sorted = append(sorted, job)
	}
	slices.SortFunc(sorted, func(a, b *messenger.JobState) int {
		return cmp.Or(cmp.Compare(a.Offset, b.Offset), cmp.Compare(a.Spec.Job, b.Spec.Job))
	})
	return sorted
}

func (jobs *jobs) sortedClaims() []messenger.ClaimState {
	sorted := make([]messenger.ClaimState, 0, len(jobs.claims))
	for _, claim := range jobs.claims {
		sorted = append(sorted, claim)
	}
	slices.SortFunc(sorted, func(a, b messenger.ClaimState) int { return cmp.Compare(a.Claim.Region, b.Claim.Region) })
	return sorted
}

func jobFingerprint(job *messenger.JobState) uint64 {
	fingerprint := newFingerprint("job")
	spec := job.Spec
	fingerprint.text(string(spec.Job))
	fingerprint.text(string(spec.Workspace))
	fingerprint.text(string(spec.Region))
	fingerprint.number(uint64(spec.Shape.Members))
	fingerprint.number(uint64(spec.Shape.Accelerators))
	fingerprint.number(uint64(spec.Shape.Adjacency))
	fingerprint.number(uint64(spec.RunTime))
	fingerprint.flag(spec.Urgent)
	fingerprint.number(uint64(job.Offset))
	fingerprint.time(job.AcceptedAt)
	fingerprint.number(uint64(job.CancelledAt))
	fingerprint.time(job.EndedAt)
	fingerprint.number(uint64(job.Outcome.Code))
	fingerprint.text(job.Outcome.Reason)
	fingerprint.flag(job.Outcome.Cancelled)
	return fingerprint.sum()
}

func claimFingerprint(claim messenger.ClaimState) uint64 {
	fingerprint := newFingerprint("claim")
	fingerprint.text(string(claim.Claim.Region))
	fingerprint.text(string(claim.Claim.Node))
	fingerprint.number(uint64(claim.Claim.Incarnation))
	fingerprint.number(uint64(claim.Term))
	return fingerprint.sum()
}
