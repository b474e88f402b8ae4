package detector

import (
	"slices"
	"time"

	"corianderroad/messenger"
)

// hear applies a node's own record. A visit is a message that no other node got
// at the same time: if all counted a push as a visit, none of them would probe
// its sender for long.
func (detector *Detector) hear(now time.Time, from messenger.Member, visit bool) {
	if from.Node == detector.self.Node {
		return
	}
	detector.accept(now, from)
	known := detector.table.find(from.Node)
	if known == nil || known.Incarnation != from.Incarnation {
		return
	}
	if visit {
		known.visited = now
	}
	detector.listen(from)
}

// listen passes the digest of a heartbeat on.
func (detector *Detector) listen(from messenger.Member) {
	known := detector.table.find(from.Node)
	if known == nil || known.Incarnation != from.Incarnation {
		return
	}
	known.Digest = from.Digest
	heard := messenger.HeartbeatReceived{Node: from.Node, Address: known.Address, Digest: from.Digest}
	detector.emit(heard)
	if len(detector.heard) < maxChanges {
		detector.heard = append(detector.heard, heard)
	}
}

// repeat passes the digests of the last period on once more, since a full ring
// may have refused them.
func (detector *Detector) repeat() {
	for _, heard := range detector.heard {
		if known := detector.table.find(heard.Node); known != nil {
			heard.Digest = known.Digest
			detector.emit(heard)
		}
	}
	detector.heard = nil
}

// later reports whether the first of two records of a node was made after the
// second: by a later process, or after a refutation.
func later(first, second messenger.Member) bool {
	if first.Incarnation != second.Incarnation {
		return first.Incarnation > second.Incarnation
	}
	return first.Refutations > second.Refutations
}

// accept takes a change about a member. A later record overrides an earlier
// one; of two that are neither, the one with the higher state overrides.
func (detector *Detector) accept(now time.Time, change messenger.Member) {
	if change.Node == detector.self.Node {
		detector.refute(now, change)
		return
	}
	known := detector.table.find(change.Node)
	if known == nil {
		if change.State == messenger.Dead {
			return
		}
		if known = detector.table.add(change.Node); known == nil {
			return
		}
	}
	newer := known.State == candidate || later(change, known.Member)
	if !newer && (later(known.Member, change) || change.State <= known.State) {
		return
	}
	state, reason := change.State, "told-by-peer"
	if state == messenger.Dead && (known.State == messenger.Alive || known.State == candidate) {
		// A member that is alive here gets the time to refute: the change may
		// come from a region that was partitioned.
		state = messenger.Suspect
	}
	if newer {
		if known.State == candidate {
			// A random age spreads the first probes of a new member over the nodes.
			known.visited = now.Add(-detector.draw(time.Duration(len(detector.table.members)) * detector.parameters.Period))
		}
		if known.Identity != change.Identity {
			known.Identity, known.joined, detector.changed = change.Identity, now, true
		}
		known.Refutations = change.Refutations
	}
	if state != known.State {
		detector.setState(now, known, state, reason)
		return
	}
	if newer && state == messenger.Suspect {
		known.deadline = now.Add(detector.suspicionTimeout(known))
	}
	if newer {
		detector.note(known.Node)
	}
}

// refute answers a change about this node. It makes its own record the later
// one. It takes over a higher incarnation, which an earlier process of the node
// has had if the clock was set back since.
func (detector *Detector) refute(now time.Time, change messenger.Member) {
	switch {
	case later(detector.self, change):
		return
	case !later(change, detector.self) && change.State <= detector.self.State:
		return
	case change.Incarnation > detector.self.Incarnation && change.Address != detector.self.Address &&
		change.State != messenger.Dead:
		// Another process holds the name, for example the replacement of this VM
		// after a long pause. Two processes that refute each other would never
		// end, so the one with the lower incarnation leaves.
		if !detector.superseded {
			detector.superseded = true
			detector.depart(now, "superseded")
		}
		return
	}
	detector.changed = detector.changed || detector.self.Incarnation != change.Incarnation
	detector.self.Incarnation, detector.self.Refutations = change.Incarnation, change.Refutations+1
	if detector.superseded && !detector.draining {
		detector.self.State, detector.changed = messenger.Alive, true
	}
	detector.superseded = false
	detector.announce = true
	detector.record(now, detector.self.Node, change.State, detector.self.State, "refuted")
}

// list takes the VM list as a hint: it adds candidates and shortens the time
// of suspects, and never changes the state of a member that answers.
func (detector *Detector) list(now time.Time, vms []messenger.VM) {
	live := make(map[string]bool)
	for _, vm := range vms {
		if vm.Role != messenger.EntryVM {
			continue
		}
		live[vm.Name] = !vm.Leaving
		detector.suggest(now, vm)
	}
	if len(live) == 0 {
		// A list without any entry VM is taken as a fault of the list.
		return
	}
	for _, member := range slices.Clone(detector.table.members) {
		member.unlisted = !live[string(member.Node)]
		if limit := now.Add(detector.parameters.UnlistedFor); member.unlisted && member.deadline.After(limit) {
			member.deadline = limit
		}
		if _, listed := live[string(member.Node)]; !listed && member.State == candidate && !member.seed {
			detector.table.remove(member.Node)
		}
	}
}

// suggest takes one entry VM of the list.
func (detector *Detector) suggest(now time.Time, vm messenger.VM) {
	identity := messenger.Identity{Node: node(vm), Region: vm.Region, FailureDomain: vm.FailureDomain}
	if identity.Node == detector.self.Node {
		return
	}
	known := detector.table.find(identity.Node)
	if known == nil && !vm.Leaving {
		if known = detector.table.add(identity.Node); known != nil {
			known.Identity, known.since = identity, now
		}
	}
	if known != nil {
		known.listed = vm.Address
	}
}

// forget removes members that have been dead for long.
func (detector *Detector) forget(now time.Time) {
	for _, member := range slices.Clone(detector.table.members) {
		if member.State == messenger.Dead && !member.seed && now.Sub(member.since) >= detector.parameters.ForgetAfter {
			detector.table.remove(member.Node)
		}
	}
}
