package detector

import (
	"time"

	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/querier"
)

// stateName returns the state as shown in answers. A candidate is shown as joining.
func stateName(state messenger.MemberState) string {
	if state == candidate {
		return "joining"
	}
	return state.String()
}

func nodeOf(vm messenger.VM) identifier.Node { return identifier.Node(vm.Name) }

// View implements decider.StateMachine.
func (detector *Detector) View(_ time.Time, query querier.Query) querier.Answer {
	var answer querier.Answer
	switch query.Kind {
	case querier.Status:
		answer.Members = detector.rows()
		answer.Gauges = detector.gauges()
	case querier.Explain:
		for _, row := range detector.rows() {
			if string(row.Node) == query.Subject {
				answer.Members = append(answer.Members, row)
			}
		}
		answer.Decisions = detector.decisions.Find(query.Subject)
	}
	return answer
}

func (detector *Detector) rows() []querier.Member {
	rows := []querier.Member{row(detector.self)}
	for _, member := range detector.table.members {
		rows = append(rows, row(member.Member))
	}
	return rows
}

func row(member messenger.Member) querier.Member {
	return querier.Member{
		Node:          member.Node,
		Region:        member.Region,
		FailureDomain: member.FailureDomain,
		State:         stateName(member.State),
		Incarnation:   member.Incarnation,
		Configuration: member.Digest.Configuration,
	}
}

func (detector *Detector) gauges() []querier.Gauge {
	counts := map[messenger.MemberState]int{detector.self.State: 1}
	for _, member := range detector.table.members {
		counts[member.State]++
	}
	gauges := []querier.Gauge{{Name: "members-refused", Value: float64(detector.table.refused)}}
	for state := candidate; state <= messenger.Dead; state++ {
		gauges = append(gauges, querier.Gauge{Name: "members", Label: stateName(state), Value: float64(counts[state])})
	}
	return gauges
}
