package shedder

import (
	"cmp"
	"slices"
	"time"

	"corianderroad/identifier"
)

// open admits a new connection if another one can be closed for it.
func (shedder *Shedder) open(now time.Time, id Connection) {
	open := len(shedder.connections) - shedder.closing
	lingering := max(shedder.limits.Connections/lingeringDivisor, 1)
	if open >= shedder.limits.Connections && shedder.closing < lingering {
		open -= shedder.closeIdle(now, min(lingering-shedder.closing, max(shedder.limits.Connections/batchDivisor, 1)))
	}
	if open >= shedder.limits.Connections || len(shedder.connections) >= shedder.limits.Connections+lingering {
		shedder.actions = append(shedder.actions, Refuse{id, ConnectionLimit})
		shedder.pressures[Connections].begin(now)
		return
	}
	opened := &client{id: id}
	shedder.connections[id] = opened
	shedder.joinGroup(opened)
	shedder.actions = append(shedder.actions, Admit{id})
}

// closeIdle closes the connection without progress for the longest time, of the group
// with the most connections, and others up to count that are idle for long. Groups with
// less than an equal share of the connections lose none. It returns how many it has closed.
func (shedder *Shedder) closeIdle(now time.Time, count int) int {
	groups := shedder.sortedGroups(func(group *group) int64 { return int64(group.connections) })
	for index, workspace := range groups {
		if index > 0 && shedder.groups[workspace].connections*len(groups) < shedder.limits.Connections {
			break
		}
		if closed := shedder.closeIdleOf(now, workspace, count, index == 0); closed > 0 {
			return closed
		}
	}
	return 0
}

// closeIdleOf is closeIdle for one group. Connections on whose requests the node works come last.
// If the work has not lasted for long, only the largest group loses one, because busy clients that
// reconnect would shut out all others, and only if no client without a key is idle for long.
func (shedder *Shedder) closeIdleOf(now time.Time, workspace identifier.Workspace, count int, isLargest bool) int {
	candidates := shedder.sortedCandidates(workspace)
	for index, candidate := range candidates {
		isRecent := now.Sub(candidate.progressAt) < idleAfter
		if index == count || isRecent && (index > 0 || candidate.isBusy && !isLargest) {
			return index
		}
		if isRecent && candidate.isBusy {
			if closed := shedder.closeWithoutKey(now, count); closed > 0 {
				return closed
			}
		}
		shedder.close(now, candidate.client, IdleConnection)
	}
	return len(candidates)
}

// closeWithoutKey closes up to count clients that have shown no key and are idle for long. It
// returns how many it has closed.
func (shedder *Shedder) closeWithoutKey(now time.Time, count int) int {
	candidates := shedder.sortedCandidates("")
	for index, candidate := range candidates {
		if index == count || now.Sub(candidate.progressAt) < idleAfter {
			return index
		}
		shedder.close(now, candidate.client, IdleConnection)
	}
	return len(candidates)
}

// sortedCandidates returns the connections of a group in the order in which they are closed.
func (shedder *Shedder) sortedCandidates(workspace identifier.Workspace) []candidate {
	candidates := shedder.closable(workspace)
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(compareBool(a.isBusy, b.isBusy), a.progressAt.Compare(b.progressAt), cmp.Compare(a.id, b.id))
	})
	return candidates
}

func compareBool(first, second bool) int {
	switch {
	case first == second:
		return 0
	case second:
		return -1
	}
	return 1
}

// sortedGroups returns the workspaces whose size is not 0, the largest first.
func (shedder *Shedder) sortedGroups(size func(group *group) int64) []identifier.Workspace {
	workspaces := make([]identifier.Workspace, 0, len(shedder.groups))
	for workspace, group := range shedder.groups {
		if size(group) > 0 {
			workspaces = append(workspaces, workspace)
		}
	}
	slices.SortFunc(workspaces, func(a, b identifier.Workspace) int {
		return cmp.Or(cmp.Compare(size(shedder.groups[b]), size(shedder.groups[a])), cmp.Compare(a, b))
	})
	return workspaces
}

// candidate is a connection that may be closed.
type candidate struct {
	*client
	progressAt time.Time
	isBusy     bool
}

// closable returns the connections of a workspace that are not closed yet.
func (shedder *Shedder) closable(workspace identifier.Workspace) []candidate {
	var candidates []candidate
	for _, client := range shedder.connections {
		if client.workspace != workspace || client.isClosing {
			continue
		}
		sample := shedder.sampler.Sample(client.id)
		candidates = append(candidates, candidate{client, sample.ProgressAt, sample.IsBusy})
	}
	return candidates
}
