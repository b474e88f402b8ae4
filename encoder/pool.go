package encoder

import (
	"corianderroad/identifier"
	"corianderroad/querier"
)

func poolToWire(row querier.Pool) WirePoolRow {
	tally := func(row querier.Tally) WireTallyRow { return WireTallyRow(row) }
	return WirePoolRow{
		Token: uint64(row.Token), AsOf: row.AsOf, EvacuationsReadAt: row.EvacuationsReadAt,
		Evacuations: convertRows(row.Evacuations, func(row querier.Evacuation) WireEvacuationRow {
			return WireEvacuationRow{Domain: string(row.Domain), ReadAt: row.ReadAt, Minions: row.Minions, Runs: row.Runs, IsEmpty: row.IsEmpty}
		}),
		Minions: convertRows(row.Minions, tally), WaitingSteps: convertRows(row.WaitingSteps, tally),
		GangReservations: row.GangReservations, ReclaimedReservations: row.ReclaimedReservations, AcceptedJobs: row.AcceptedJobs,
	}
}

func poolFromWire(row WirePoolRow) querier.Pool {
	tally := func(row WireTallyRow) querier.Tally { return querier.Tally(row) }
	return querier.Pool{
		Token: identifier.Term(row.Token), AsOf: row.AsOf, EvacuationsReadAt: row.EvacuationsReadAt,
		Evacuations: convertRows(row.Evacuations, func(row WireEvacuationRow) querier.Evacuation {
			return querier.Evacuation{Domain: identifier.FailureDomain(row.Domain), ReadAt: row.ReadAt, Minions: row.Minions, Runs: row.Runs, IsEmpty: row.IsEmpty}
		}),
		Minions: convertRows(row.Minions, tally), WaitingSteps: convertRows(row.WaitingSteps, tally),
		GangReservations: row.GangReservations, ReclaimedReservations: row.ReclaimedReservations, AcceptedJobs: row.AcceptedJobs,
	}
}
