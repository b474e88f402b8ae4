package applier

import (
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/querier"
)

// View implements decider.StateMachine.
func (applier *Applier) View(now time.Time, query querier.Query) querier.Answer {
	switch query.Kind {
	case querier.Status:
		return querier.Answer{
			Configuration: applier.viewOrganisations(),
			Jobs:          applier.viewJobs(query.Workspace),
			Gauges:        applier.viewGauges(now),
		}
	case querier.Explain:
		return applier.explain(query)
	default:
		return querier.Answer{}
	}
}

// explain answers a query about a job, an organisation or a region.
func (applier *Applier) explain(query querier.Query) querier.Answer {
	var answer querier.Answer
	job := applier.jobs.job(identifier.Job(query.Subject))
	if job != nil && (query.Workspace == "" || query.Workspace == job.Spec.Workspace) {
		answer.Jobs = []querier.Job{jobRow(job)}
	}
	if job != nil && len(answer.Jobs) == 0 {
		return answer
	}
	for _, organisation := range applier.viewOrganisations() {
		if string(organisation.Organisation) == query.Subject {
			answer.Configuration = append(answer.Configuration, organisation)
		}
	}
	answer.Decisions = applier.decisions.Find(query.Subject)
	return answer
}

func (applier *Applier) viewOrganisations() []querier.Organisation {
	configuration := applier.configuration
	var rows []querier.Organisation
	for _, organisation := range configuration.members() {
		rows = append(rows, querier.Organisation{
			Organisation: organisation, Version: configuration.texts[organisation].parsed.Version,
		})
	}
	for _, pending := range configuration.pendingPublications() {
		rows = append(rows, querier.Organisation{
			Organisation: pending.parsed.Organisation, Pending: pending.offset, Missing: configuration.missingApprovals(pending),
		})
	}
	return rows
}

func (applier *Applier) viewJobs(workspace identifier.Workspace) []querier.Job {
	var rows []querier.Job
	for _, job := range applier.jobs.sorted() {
		if workspace == "" || job.Spec.Workspace == workspace {
			rows = append(rows, jobRow(job))
		}
	}
	return rows
}

func jobRow(job *messenger.JobState) querier.Job {
	row := querier.Job{
		Job: job.Spec.Job, Workspace: job.Spec.Workspace, Region: job.Spec.Region, State: "accepted", Since: job.AcceptedAt,
	}
	switch {
	case !job.EndedAt.IsZero():
		row.Since, row.Reason = job.EndedAt, job.Outcome.Reason
		row.State = outcomeState(job.Outcome)
	case job.CancelledAt > 0:
		row.State = "cancelling"
	}
	return row
}

func outcomeState(outcome messenger.Outcome) string {
	switch {
	case outcome.Cancelled:
		return "cancelled"
	case outcome.Code == classifier.OK:
		return "completed"
	case outcome.Code == classifier.Infeasible:
		return "infeasible"
	default:
		return "failed"
	}
}

func (applier *Applier) viewGauges(now time.Time) []querier.Gauge {
	gauges := []querier.Gauge{
		{Name: "application-ready", Value: gaugeValue(applier.isReady(now))},
		{Name: "open-commands", Value: float64(len(applier.commands.open))},
		{Name: "known-jobs", Value: float64(len(applier.jobs.jobs))},
		{Name: "ended-jobs", Value: float64(len(applier.jobs.ended))},
		{Name: "known-intents", Value: float64(len(applier.intents.indexByKey))},
	}
	for _, stream := range applier.streams {
		gauges = append(gauges,
			querier.Gauge{Name: "applied-offset", Label: string(stream.name), Value: float64(stream.applied)},
			querier.Gauge{Name: "log-silent", Label: string(stream.name), Value: gaugeValue(stream.logUnavailable)},
			querier.Gauge{Name: "digest-mismatches", Label: string(stream.name), Value: float64(stream.digestMismatches)},
		)
	}
	return gauges
}

func gaugeValue(value bool) float64 {
	if value {
		return 1
	}
	return 0
}
