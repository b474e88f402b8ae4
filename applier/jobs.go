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
	// maxJobs bounds the stored jobs. It is not a parameter, because all nodes must
	// refuse the same submissions.
	maxJobs = 100_000
	// endedRetention is how long an ended job is retained.
	endedRetention = 24 * time.Hour
)

// jobs is the state of the jobs stream.
type jobs struct {
	jobs   map[identifier.Job]*messenger.JobState
	claims map[identifier.Region]messenger.ClaimState
	// ended holds the ended jobs in the order in which they ended.
	ended        []*messenger.JobState
	deduplicator *deduplicator
	// itemDigest is the sum of the fingerprints of jobs and claims.
	itemDigest uint64
}

func newJobs() *jobs {
	return &jobs{
		jobs:         map[identifier.Job]*messenger.JobState{},
		claims:       map[identifier.Region]messenger.ClaimState{},
		deduplicator: newDeduplicator(nil),
	}
}

func (jobs *jobs) apply(read messenger.AppendRead, entry messenger.Entry) effect {
	if !jobs.deduplicator.add(entry.ID, read.AppendedAt) {
		return effect{}
	}
	switch record := entry.Record.(type) {
	case messenger.Submission:
		return jobs.applySubmission(read, record)
	case messenger.Cancellation:
		return jobs.applyCancellation(read, record)
	case messenger.Outcome:
		return jobs.applyOutcome(read, record)
	case messenger.RegionClaim:
		return jobs.applyClaim(read, record)
	default:
		return effect{}
	}
}

func (jobs *jobs) expire(read messenger.AppendRead) {
	jobs.deduplicator.expire(read.AppendedAt)
	expired := 0
	for expired < len(jobs.ended) && read.AppendedAt.Sub(jobs.ended[expired].EndedAt) > endedRetention {
		job := jobs.ended[expired]
		jobs.itemDigest -= jobFingerprint(job)
		delete(jobs.jobs, job.Spec.Job)
		// Otherwise the backing array would keep the job reachable.
		jobs.ended[expired] = nil
		expired++
	}
	jobs.ended = jobs.ended[expired:]
}

func (jobs *jobs) restartAt(messenger.AppendRead) bool { return false }

func (jobs *jobs) digest() uint64 { return jobs.itemDigest + jobs.deduplicator.digest }

// update changes a job and updates itemDigest.
func (jobs *jobs) update(job *messenger.JobState, change func()) {
	jobs.itemDigest -= jobFingerprint(job)
	change()
	jobs.itemDigest += jobFingerprint(job)
}

func (jobs *jobs) applySubmission(read messenger.AppendRead, submission messenger.Submission) effect {
	spec := submission.Spec
	effect := effect{offset: read.Offset, subject: string(spec.Job), detail: "submission " + formatOffset(read.Offset)}
	if accepted, ok := jobs.jobs[spec.Job]; ok {
		effect.offset = accepted.Offset
		if accepted.Spec != spec {
			effect.err = jobExistsError(spec.Job)
		}
		return effect
	}
	if len(jobs.jobs) >= maxJobs {
		effect.err = classifier.New(classifier.QueueFull, "the deployment has its maximum of %d jobs", maxJobs).
			WithRetryAfter(time.Minute)
		return effect
	}
	job := &messenger.JobState{Spec: spec, Offset: read.Offset, AcceptedAt: read.AppendedAt}
	jobs.jobs[spec.Job] = job
	jobs.itemDigest += jobFingerprint(job)
	effect.actions = []messenger.Action{jobAccepted(job)}
	return effect
}

func jobExistsError(job identifier.Job) *classifier.Error {
	return classifier.New(classifier.JobExists, "job %q exists with another specification", job)
}

func (jobs *jobs) applyCancellation(read messenger.AppendRead, cancellation messenger.Cancellation) effect {
	effect := effect{offset: read.Offset, subject: string(cancellation.Job), detail: "cancellation " + formatOffset(read.Offset)}
	job, ok := jobs.jobs[cancellation.Job]
	switch {
	case !ok:
		effect.err = classifier.New(classifier.UnknownJob, "job %q does not exist", cancellation.Job)
	case cancellation.Workspace != "" && cancellation.Workspace != job.Spec.Workspace:
		effect.err = forbiddenJobError(cancellation.Job)
	case !job.EndedAt.IsZero():
		effect.err = classifier.New(classifier.JobEnded, "job %q has ended", cancellation.Job)
	case job.CancelledAt > 0:
		effect.offset = job.CancelledAt
	default:
		jobs.update(job, func() { job.CancelledAt = read.Offset })
		effect.actions = []messenger.Action{messenger.JobCancelled{Job: cancellation.Job}}
	}
	return effect
}

func forbiddenJobError(job identifier.Job) *classifier.Error {
	return classifier.New(classifier.Forbidden, "job %q belongs to another workspace", job)
}

// applyOutcome applies the end of a job. Only the first outcome has an effect.
func (jobs *jobs) applyOutcome(read messenger.AppendRead, outcome messenger.Outcome) effect {
	job, ok := jobs.jobs[outcome.Job]
	if !ok || !job.EndedAt.IsZero() {
		return effect{}
	}
	jobs.update(job, func() { job.EndedAt, job.Outcome = read.AppendedAt, outcome })
	jobs.ended = append(jobs.ended, job)
	effect := effect{
		offset: read.Offset, subject: string(outcome.Job), detail: "outcome " + formatOffset(read.Offset) + ": " + outcome.Reason,
		actions: []messenger.Action{messenger.JobEnded{Outcome: outcome}},
	}
	if outcome.Code != classifier.OK {
		effect.err = classifier.New(outcome.Code, "%s", outcome.Reason)
	}
	return effect
}

func (jobs *jobs) applyClaim(read messenger.AppendRead, claim messenger.RegionClaim) effect {
	if old, ok := jobs.claims[claim.Region]; ok {
		jobs.itemDigest -= claimFingerprint(old)
	}
	state := messenger.ClaimState{Claim: claim, Term: identifier.Term(read.Offset)}
	jobs.claims[claim.Region] = state
	jobs.itemDigest += claimFingerprint(state)
	return effect{
		offset: read.Offset, subject: string(claim.Region),
		detail:  "claim " + formatOffset(read.Offset) + " of node " + string(claim.Node),
		actions: []messenger.Action{messenger.ClaimApplied{Claim: claim, Term: state.Term}},
	}
}

func jobAccepted(job *messenger.JobState) messenger.JobAccepted {
	return messenger.JobAccepted{Spec: job.Spec, Offset: job.Offset, At: job.AcceptedAt}
}

func (jobs *jobs) job(name identifier.Job) *messenger.JobState {
	if jobs == nil {
		return nil
	}
	return jobs.jobs[name]
}

// sorted returns the jobs in the order in which they were accepted.
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
	fingerprint.addText(string(spec.Job))
	fingerprint.addText(string(spec.Workspace))
	fingerprint.addText(string(spec.Region))
	fingerprint.addNumber(uint64(spec.Shape.Members))
	fingerprint.addNumber(uint64(spec.Shape.Accelerators))
	fingerprint.addNumber(uint64(spec.Shape.Adjacency))
	fingerprint.addNumber(uint64(spec.RunTime))
	fingerprint.addFlag(spec.Urgent)
	fingerprint.addNumber(uint64(job.Offset))
	fingerprint.addTime(job.AcceptedAt)
	fingerprint.addNumber(uint64(job.CancelledAt))
	fingerprint.addTime(job.EndedAt)
	fingerprint.addNumber(uint64(job.Outcome.Code))
	fingerprint.addText(job.Outcome.Reason)
	fingerprint.addFlag(job.Outcome.Cancelled)
	return fingerprint.sum()
}

func claimFingerprint(claim messenger.ClaimState) uint64 {
	fingerprint := newFingerprint("claim")
	fingerprint.addText(string(claim.Claim.Region))
	fingerprint.addText(string(claim.Claim.Node))
	fingerprint.addNumber(uint64(claim.Claim.Incarnation))
	fingerprint.addNumber(uint64(claim.Term))
	return fingerprint.sum()
}
