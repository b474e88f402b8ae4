package registrar

import (
	"fmt"
	"time"

	"corianderroad/budgeter"
	"corianderroad/messenger"
	"corianderroad/querier"
)

const (
	// calmAfter is the time without a refusal for want of memory after which the shortage may end.
	calmAfter = 10 * time.Second
	// calmNumerator and calmDivisor are the part of the limit below which it may end. A single
	// workspace may use three quarters.
	calmNumerator, calmDivisor = 2, 3
)

// shortage is whether submissions are refused because the accepted jobs need all the memory that
// is meant for them.
type shortage struct {
	isOn      bool
	refusedAt time.Time
	// refusals counts them by the reason.
	refusals map[budgeter.Verdict]int
}

// refuse notes a refusal, and logs the first one.
func (shortage *shortage) refuse(now time.Time, usage budgeter.Usage, verdict budgeter.Verdict) []messenger.Action {
	isFirst := !shortage.isOn
	shortage.isOn, shortage.refusedAt = true, now
	shortage.refusals[verdict]++
	if !isFirst {
		return nil
	}
	return []messenger.Action{messenger.Decision{Subject: "accepted-jobs", Outcome: "job-memory-short", Reason: verdict.String(), Detail: describe(usage)}}
}

// updateShortage logs the end of a shortage. It is called after each reading of the journal.
func (registrar *Registrar) updateShortage(now time.Time) []messenger.Action {
	usage := registrar.budget.View()
	shortage := &registrar.shortage
	if !shortage.isOn || now.Sub(shortage.refusedAt) < calmAfter || usage.Held > usage.Limit/calmDivisor*calmNumerator {
		return nil
	}
	shortage.isOn = false
	return []messenger.Action{messenger.Decision{Subject: "accepted-jobs", Outcome: "job-memory-free", Reason: "no submission was refused for some time", Detail: describe(usage)}}
}

func describe(usage budgeter.Usage) string {
	return fmt.Sprintf("used=%d limit=%d", usage.Held, usage.Limit)
}

// memoryGauges returns the memory that the accepted jobs need, and the refusals by reason.
func (registrar *Registrar) memoryGauges() []querier.Gauge {
	usage := registrar.budget.View()
	gauges := []querier.Gauge{
		{Name: "accepted-job-bytes", Value: float64(usage.Held)},
		{Name: "accepted-job-limit-bytes", Value: float64(usage.Limit)},
		{Name: "accepted-job-unread-bytes", Value: float64(usage.Unread)},
	}
	for _, verdict := range []budgeter.Verdict{budgeter.RefuseLimit, budgeter.RefuseShare, budgeter.Await} {
		gauges = append(gauges, querier.Gauge{Name: "accepted-job-refusals", Label: verdict.String(), Value: float64(registrar.shortage.refusals[verdict])})
	}
	return gauges
}
