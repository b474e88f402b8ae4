package applier

import (
	"corianderroad/classifier"
	"corianderroad/messenger"
)

// changesSince returns the differences from an earlier state as actions for the
// other state machines. Before is nil if they have received no state yet.
func (jobs *jobs) changesSince(before *jobs) []messenger.Action {
	var actions []messenger.Action
	for _, claim := range jobs.sortedClaims() {
		if before == nil || before.claims[claim.Claim.Region] != claim {
			actions = append(actions, messenger.ClaimApplied{Claim: claim.Claim, Term: claim.Term})
		}
	}
	for _, job := range jobs.sorted() {
		earlier := before.job(job.Spec.Job)
		wasOpen := earlier != nil && earlier.EndedAt.IsZero()
		switch {
		case !job.EndedAt.IsZero():
			if wasOpen {
				actions = append(actions, messenger.JobEnded{Outcome: job.Outcome})
			}
			continue
		case earlier == nil:
			actions = append(actions, jobAccepted(job))
		}
		if job.CancelledAt > 0 && (earlier == nil || earlier.CancelledAt == 0) {
			actions = append(actions, messenger.JobCancelled{Job: job.Spec.Job})
		}
	}
	return append(actions, jobs.expiredSince(before)...)
}

// expiredSince returns an end for each job that was open in the earlier state and
// has been deleted since, together with its outcome.
func (jobs *jobs) expiredSince(before *jobs) []messenger.Action {
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
