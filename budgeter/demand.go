package budgeter

import "corianderroad/identifier"

// demand is what a job would need beside the others.
type demand struct {
	limit int64
	// held is what all other jobs need, free what would be left, and own what the jobs of its
	// workspace would need with it.
	held, free, own int64
	// others counts the other workspaces with open jobs, and isAlone means that no job is open.
	others  int
	isAlone bool
}

func (budgeter *Budgeter) demand(workspace identifier.Workspace, bytes int64) demand {
	demand := demand{
		limit: budgeter.limit, held: budgeter.held, free: budgeter.limit - budgeter.held - bytes,
		own: bytes, others: budgeter.openWorkspaces, isAlone: budgeter.openWorkspaces == 0,
	}
	if account, ok := budgeter.accounts[workspace]; ok {
		demand.own += account.held
		if account.open > 0 {
			demand.others--
		}
	}
	return demand
}

// check returns Accept or the reason for a refusal. A job fits while no other is open, whatever is
// left of ended ones up to a quarter of the limit.
func (demand *demand) check() Verdict {
	if demand.isAlone && demand.held <= demand.limit/(freeMultiple+1) {
		return Accept
	}
	if demand.free < 0 {
		return RefuseLimit
	}
	// The equal share is that of one workspace more than there are, so that a further one
	// finds room.
	equalShare := demand.limit / int64(demand.others+2)
	isModest := demand.own <= equalShare && demand.free >= demand.limit/reserveDivisor
	if demand.own > freeMultiple*demand.free && !isModest {
		return RefuseShare
	}
	return Accept
}

// release subtracts what an expired job needed.
func (demand *demand) release(bytes int64, isOwn bool) {
	demand.held -= bytes
	demand.free += bytes
	if isOwn {
		demand.own -= bytes
	}
}
