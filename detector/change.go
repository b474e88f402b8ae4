package detector

import (
	"slices"
	"time"

	"corianderroad/messenger"
)

// applySenderRecord applies the record that a node sent about itself. A direct
// contact postpones the next probe of the sender. A push is not a direct contact:
// several nodes receive it at the same time, and if all of them counted it, none
// would probe the sender for a long time.
func (detector *Detector) applySenderRecord(now time.Time, from messenger.Member, directContact bool) {
	if from.Node == detector.self.Node {
		return
	}
	detector.applyChange(now, from)
	member := detector.table.find(from.Node)
	if member == nil || member.Incarnation != from.Incarnation {
		return
	}
	if directContact {
		member.lastContact = now
	}
	detector.reportHeartbeat(from)
}

// reportHeartbeat stores the digest from a member's heartbeat and emits the
// heartbeat.
func (detector *Detector) reportHeartbeat(from messenger.Member) {
	member := detector.table.find(from.Node)
	if member == nil || member.Incarnation != from.Incarnation {
		return
	}
	member.Digest = from.Digest
	heartbeat := messenger.HeartbeatReceived{Node: from.Node, Address: member.Address, Digest: from.Digest}
	detector.emit(heartbeat)
	if len(detector.heartbeats) < maxChanges {
		detector.heartbeats = append(detector.heartbeats, heartbeat)
	}
}

// repeatHeartbeats emits the heartbeats of the last period a second time, since
// a full ring may have refused them.
func (detector *Detector) repeatHeartbeats() {
	for _, heartbeat := range detector.heartbeats {
		if member := detector.table.find(heartbeat.Node); member != nil {
			heartbeat.Digest = member.Digest
			detector.emit(heartbeat)
		}
	}
	detector.heartbeats = nil
}

// isNewer reports whether the first of two records of a node was made after the
// second: by a later process, or after a refutation.
func isNewer(first, second messenger.Member) bool {
	if first.Incarnation != second.Incarnation {
		return first.Incarnation > second.Incarnation
	}
	return first.Refutations > second.Refutations
}

// applyChange applies a record of a member. A newer record overrides an older
// one. If neither is newer, the record with the higher state overrides.
func (detector *Detector) applyChange(now time.Time, change messenger.Member) {
	if change.Node == detector.self.Node {
		detector.refute(now, change)
		return
	}
	member := detector.table.find(change.Node)
	if member == nil {
		if change.State == messenger.Dead {
			return
		}
		if member = detector.table.add(change.Node); member == nil {
			return
		}
	}
	newer := member.State == candidate || isNewer(change, member.Member)
	if !newer && (isNewer(member.Member, change) || change.State <= member.State) {
		return
	}
	state, reason := change.State, "told-by-peer"
	if state == messenger.Dead && (member.State == messenger.Alive || member.State == candidate) {
		// A member that this node considers alive gets time to refute, because the
		// change may come from a region that was partitioned.
		state = messenger.Suspect
	}
	if newer {
		if member.State == candidate {
			// A random time of last contact spreads the first probes of a new member
			// over the nodes.
			member.lastContact = now.Add(-detector.randomDuration(time.Duration(len(detector.table.members)) * detector.parameters.ProbePeriod))
		}
		if member.Identity != change.Identity {
			member.Identity, member.learnedAt, detector.membersChanged = change.Identity, now, true
		}
		member.Refutations = change.Refutations
	}
	if state != member.State {
		detector.setState(now, member, state, reason)
		return
	}
	if newer && state == messenger.Suspect {
		member.suspicionDeadline = now.Add(detector.suspicionTimeout(member))
	}
	if newer {
		detector.enqueueChange(member.Node)
	}
}

// refute handles a change about this node: it makes this node's own record the
// newer one. It adopts a higher incarnation, which an earlier process of this
// node had if the clock was set back since.
func (detector *Detector) refute(now time.Time, change messenger.Member) {
	switch {
	case isNewer(detector.self, change):
		return
	case !isNewer(change, detector.self) && change.State <= detector.self.State:
		return
	case change.Incarnation > detector.self.Incarnation && change.Address != detector.self.Address &&
		change.State != messenger.Dead:
		// Another process uses the name, for example on the replacement of this VM
		// after a long pause. Two processes would refute each other without end,
		// so the one with the lower incarnation leaves.
		detector.unsupersededAnswers = 0
		if !detector.superseded {
			detector.superseded = true
			detector.markDeparting(now, "superseded")
		}
		return
	}
	detector.membersChanged = detector.membersChanged || detector.self.Incarnation != change.Incarnation
	detector.self.Incarnation, detector.self.Refutations = change.Incarnation, change.Refutations+1
	detector.endSuperseded()
	detector.recordTransition(now, detector.self.Node, change.State, detector.self.State, "refuted")
}

// endSuperseded makes this node the one that uses its name, and announces it.
func (detector *Detector) endSuperseded() {
	if detector.superseded && !detector.draining {
		detector.self.State, detector.membersChanged = messenger.Alive, true
	}
	detector.superseded = false
	detector.announceSelf = true
}

// countSupersededAnswer counts an answer of a member. The members that knew of the
// end of the newer process may have been restarted, and then none reports it.
func (detector *Detector) countSupersededAnswer(now time.Time) {
	if !detector.superseded {
		return
	}
	detector.unsupersededAnswers++
	if detector.unsupersededAnswers < supersededAnswers {
		return
	}
	from := detector.self.State
	// The other members know this incarnation as departing.
	detector.self.Refutations++
	detector.endSuperseded()
	detector.recordTransition(now, detector.self.Node, from, detector.self.State, "newer-process-unknown")
}

// handleVMList uses the VM list as a hint: it adds candidates and shortens the
// suspicion of unlisted members. It never changes the state of a member that
// answers probes.
func (detector *Detector) handleVMList(now time.Time, vms []messenger.VM) {
	live := make(map[string]bool)
	for _, vm := range vms {
		if vm.Role != messenger.EntryVM {
			continue
		}
		live[vm.Name] = !vm.Leaving
		detector.applyListedVM(now, vm)
	}
	if len(live) == 0 {
		// A list without any entry VM is considered faulty and ignored.
		return
	}
	for _, member := range slices.Clone(detector.table.members) {
		member.unlisted = !live[string(member.Node)]
		if limit := now.Add(detector.parameters.UnlistedSuspicionTimeout); member.unlisted && member.suspicionDeadline.After(limit) {
			member.suspicionDeadline = limit
		}
		if _, listed := live[string(member.Node)]; !listed && member.State == candidate && !member.isSeed {
			detector.table.remove(member.Node)
		}
	}
}

// applyListedVM adds an entry VM of the VM list as a candidate and stores its
// listed address.
func (detector *Detector) applyListedVM(now time.Time, vm messenger.VM) {
	identity := messenger.Identity{Node: nodeOf(vm), Region: vm.Region, FailureDomain: vm.FailureDomain}
	if identity.Node == detector.self.Node {
		return
	}
	member := detector.table.find(identity.Node)
	if member == nil && !vm.Leaving {
		if member = detector.table.add(identity.Node); member != nil {
			member.Identity, member.stateChangedAt = identity, now
		}
	}
	if member != nil {
		member.listedAddress = vm.Address
	}
}

// removeLongDead removes members that have been dead for DeadRetention. Seeds are
// never removed.
func (detector *Detector) removeLongDead(now time.Time) {
	for _, member := range slices.Clone(detector.table.members) {
		if member.State == messenger.Dead && !member.isSeed && now.Sub(member.stateChangedAt) >= detector.parameters.DeadRetention {
			detector.table.remove(member.Node)
		}
	}
}
