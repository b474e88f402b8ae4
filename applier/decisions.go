package applier

import (
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/querier"
)

// maxDecisions bounds the decisions that are kept for explain.
const maxDecisions = 1024

// decisions is a bounded record of what records did.
type decisions struct {
	node  identifier.Node
	all   []querier.Decision
	total int
}

func (decisions *decisions) add(at time.Time, verdict verdict) {
	decision := querier.Decision{
		At: at, Node: decisions.node, Subject: verdict.subject, Reason: classifier.OK.Name(), Detail: verdict.detail,
	}
	if verdict.err != nil {
		decision.Reason = verdict.err.Code.Name()
		decision.Detail += ": " + verdict.err.Message
	}
	if len(decisions.all) < maxDecisions {
		decisions.all = append(decisions.all, decision)
	} else {
		decisions.all[decisions.total%maxDecisions] = decision
	}
	decisions.total++
}

// about returns the decisions about a subject, oldest first.
func (decisions *decisions) about(subject string) []querier.Decision {
	var about []querier.Decision
	for i := range decisions.all {
		decision := decisions.all[(max(decisions.total-maxDecisions, 0)+i)%maxDecisions]
		if decision.Subject == subject {
			about = append(about, decision)
		}
	}
	return about
}
