package scheduler

import (
	"fmt"
	"time"

	"corianderroad/hasher"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// claimTimeout is the longest time that a claim may wait in the appender.
const claimTimeout = 30 * time.Second

// owner returns the node that should hold a region: the rendezvous owner among the
// alive members in the region or, if there are none, among all alive members.
func (scheduler *Scheduler) owner(name identifier.Region) identifier.Node {
	var inRegion, all []identifier.Node
	for _, member := range scheduler.members {
		if member.State != messenger.Alive {
			continue
		}
		all = append(all, member.Node)
		if member.Region == name {
			inRegion = append(inRegion, member.Node)
		}
	}
	if len(inRegion) > 0 {
		return hasher.Owner(string(name), inRegion)
	}
	return hasher.Owner(string(name), all)
}

// isAlive reports whether an incarnation of a node is alive. It returns false if the
// node is alive with a newer incarnation.
func (scheduler *Scheduler) isAlive(node identifier.Node, incarnation identifier.Incarnation) bool {
	for _, member := range scheduler.members {
		if member.Node == node {
			return member.State == messenger.Alive && member.Incarnation <= incarnation
		}
	}
	return false
}

// claimIfDue claims a region that this node owns but does not hold. A node that has not
// read the claims yet would replace a holder that is alive.
func (scheduler *Scheduler) claimIfDue(now time.Time, region *region) {
	if scheduler.draining || !scheduler.jobsCaughtUp || !scheduler.needsHolder(region) || scheduler.owner(region.name) != scheduler.identity.Node {
		region.ownedSince = time.Time{}
		return
	}
	if region.ownedSince.IsZero() {
		region.ownedSince = now
	}
	due := scheduler.claimDue(region)
	if due.IsZero() || now.Before(due) {
		return
	}
	region.claimID = fmt.Sprintf("claim/%s/%s/%d/%d", region.name, scheduler.identity.Node,
		scheduler.identity.Incarnation, now.UnixNano())
	region.claimRetryAt = now.Add(2 * claimTimeout)
	scheduler.emit(messenger.AppendRecord{
		Stream: identifier.Jobs,
		Entry: messenger.Entry{ID: region.claimID, Record: messenger.RegionClaim{
			Region: region.name, Node: scheduler.identity.Node, Incarnation: scheduler.identity.Incarnation,
		}},
		Deadline: now.Add(claimTimeout),
	})
}

// needsHolder reports whether there is work for a holder: workers to place on, or a
// cancelled job that ends without any worker.
func (scheduler *Scheduler) needsHolder(region *region) bool {
	if len(region.workers) > 0 {
		return true
	}
	for _, job := range scheduler.jobs {
		if job.cancelled && job.region == region.name {
			return true
		}
	}
	return false
}

// claimDue returns when the region is to be claimed, zero for never.
func (scheduler *Scheduler) claimDue(region *region) time.Time {
	if region.ownedSince.IsZero() || region.held {
		return time.Time{}
	}
	due := region.ownedSince.Add(scheduler.parameters.ClaimDelay)
	if due.Before(region.claimRetryAt) {
		due = region.claimRetryAt
	}
	hasOtherHolder := region.claim.Node != scheduler.identity.Node
	if hasOtherHolder && scheduler.isAlive(region.claim.Node, region.claim.Incarnation) {
		if contestAt := region.claimAppliedAt.Add(scheduler.parameters.ContestDelay); due.Before(contestAt) {
			due = contestAt
		}
	}
	return due
}

// handleClaimApplied applies the newest claim of a region.
func (scheduler *Scheduler) handleClaimApplied(now time.Time, event messenger.ClaimApplied) {
	region := scheduler.region(event.Claim.Region)
	if event.Term <= region.term {
		return
	}
	if region.held {
		scheduler.stepDown(now, region, "a newer claim was applied")
	}
	region.claim, region.term, region.claimAppliedAt = event.Claim, event.Term, now
	isOwnClaim := event.Claim.Node == scheduler.identity.Node && event.Claim.Incarnation == scheduler.identity.Incarnation
	if !isOwnClaim {
		return
	}
	region.claimID, region.claimRetryAt = "", time.Time{}
	region.held = true
	region.unresolvedTasksEndAt = now.Add(scheduler.parameters.Timing.Lease)
	scheduler.transition(string(region.name), "following", "adopting", fmt.Sprintf("claimed with term %d", event.Term))
	scheduler.beginAdoption(now, region)
}

// stepDown stops all placement of a region. Its tasks continue to run, and the
// next holder adopts them.
func (scheduler *Scheduler) stepDown(now time.Time, region *region, reason string) {
	region.held = false
	region.adoptionDeadline, region.reportedGangs = time.Time{}, nil
	// The newer claim may not have been applied yet. The delay prevents this node
	// from claiming the region again before that.
	region.claimRetryAt = now.Add(scheduler.parameters.RenewInterval)
	scheduler.transition(string(region.name), "placing", "following", reason)
	scheduler.recordDecision(now, string(region.name), "stepped-down", reason)
	for _, job := range scheduler.jobs {
		if job.region == region.name {
			job.resetPlacement()
			region.enqueue(job)
		}
	}
	for _, worker := range region.workers {
		for _, job := range worker.jobs {
			// The gang of an ended job may still be in release. Its end under a later
			// claim would free accelerators that it no longer occupies.
			job.resetPlacement()
		}
		worker.jobs, worker.renewCall, worker.pollCall, worker.releasing = nil, 0, 0, false
	}
	region.clearing, region.ledger = nil, nil
	scheduler.rebuild(region)
}

// handleDrainArrived stops placement. This node renews the leases until the next
// holder has claimed the region.
func (scheduler *Scheduler) handleDrainArrived(now time.Time) {
	if scheduler.draining {
		return
	}
	scheduler.draining = true
	for _, region := range scheduler.sortedRegions() {
		if region.held {
			scheduler.recordDecision(now, string(region.name), "draining", "the node is draining; the next holder places gangs")
		}
	}
}

// handleAppendFailed schedules a new append of the claim or the outcome.
func (scheduler *Scheduler) handleAppendFailed(now time.Time, event messenger.AppendFailed) {
	for _, region := range scheduler.regions {
		if region.claimID != "" && region.claimID == event.ID {
			region.claimID, region.claimRetryAt = "", now.Add(time.Second)
			return
		}
	}
	scheduler.retryOutcome(now, event.ID)
}

func (scheduler *Scheduler) transition(subject, from, to, reason string) {
	scheduler.emit(messenger.Transition{Subject: subject, From: from, To: to, Reason: reason})
}
