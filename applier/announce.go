package applier

import (
	"corianderroad/classifier"
	"corianderroad/messenger"
)

// announce returns the changes for the other state machines, whose last known
// state is before, nil for none.
func (jobs *jobs) announce(before *jobs) []messenger.Action {
	var actions []messenger.Action
	for _, claim := range jobs.sortedClaims() {
		if before == nil || before.claims[claim.Claim.Region] != claim {
			actions = append(actions, messenger.ClaimApplied{Claim: claim.Claim, Term: claim.Term})
		}
	}
	for _, job := range jobs.sorted() {
		known := before.job(job.Spec.Job)
		open := known != nil && known.EndedAt.IsZero()
		switch {
		case !job.EndedAt.IsZero():
			if open {
				actions = append(actions, messenger.JobEnded{Outcome: job.Outcome})
			}
			continue
		case known == nil:
			actions = append(actions, accepted(job))
		}
		if job.CancelledAt > 0 && (known == nil || known.CancelledAt == 0) {
			actions = append(actions, messenger.JobCancelled{Job: job.Spec.Job})
		}
	}
	return append(actions, jobs.vanished(before)...)
}

// vanished returns the end of the jobs that were open before and of which even
// the outcome has expired.
func (jobs *jobs) vanished(before *jobs) []messenger.Action {
	if before == nil {
		return nil
	}
	var actions []messenger.Action
	for _, job := range before.sorted() {
		if jobs.job(job.Spec.Job) == nil && job.EndedAt.IsZero() {
			actions = append(actions, messenger.JobEnded{Outcome: messenger.Outcome{
				Job: job.Spec.Job, Code: classifier.OutcomeUnknown, Reason: "the outcome has expired",
			}})
		}
	}
	return actions
}
