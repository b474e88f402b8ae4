package planner

import (
	"fmt"
	"maps"
	"time"

	"corianderroad/identifier"
	"corianderroad/messenger"
)

// A minion does nothing for an order whose token is lower than the highest that it has seen,
// and a life begins without one. Each life therefore gets a token of its own, higher than all
// that were sent to earlier lives under its name. From its first answer to a poll with that
// token on, orders to earlier lives have no effect on it, however late they arrive.

// sentToken is the newest token that this holder has sent to a minion.
type sentToken struct {
	token identifier.Term
	at    time.Time
}

// sentTokens are those of the orders that may still arrive, also at minions that are removed.
type sentTokens map[identifier.Minion]sentToken

// stray returns the highest token of the orders to earlier lives of a minion that may still
// arrive, zero if there are none.
func (sentTokens sentTokens) stray(now time.Time, name identifier.Minion) identifier.Term {
	maps.DeleteFunc(sentTokens, func(_ identifier.Minion, sent sentToken) bool { return now.Sub(sent.at) > maxOrderDelay })
	return sentTokens[name].token
}

// strayTime is how long before the last order of a holder a life may have begun that takes
// orders to an earlier one: the holder learns of it late, and its orders arrive late.
const strayTime = maxReachDelay + maxOrderDelay

// longestForeignLease returns the longest lease that a minion may have received from orders that
// this holder has not sent to its present life.
func (planner *Planner) longestForeignLease(minion *minion) time.Duration {
	if minion.strayToken > 0 || planner.mayGetFormerStrays(minion) {
		return planner.bounds.MaxLease
	}
	return leaseDuration
}

// mayGetFormerStrays reports whether a minion may take orders of a former holder to an earlier
// life of it: it began shortly before that one's last order, or before that one's orders have
// all arrived.
func (planner *Planner) mayGetFormerStrays(minion *minion) bool {
	if planner.holder.isFirst() {
		return false
	}
	lastOrderAt := planner.holder.formerRenewalsEnd()
	born := time.UnixMilli(int64(minion.report.Incarnation))
	return born.After(lastOrderAt.Add(-strayTime)) && born.Before(lastOrderAt.Add(maxOrderDelay))
}

// orderToken returns the token of an order to a minion that is sent now. It is that of the
// minion's life, and rises with the fence of the claim until an answer shows that it holds.
func (planner *Planner) orderToken(now time.Time, minion *minion) identifier.Term {
	if !minion.polled {
		minion.token = max(minion.token, planner.holder.fence)
	}
	planner.sentTokens[minion.report.Minion] = sentToken{minion.token, now}
	return minion.token
}

// isFencedBy reports whether the answer to a poll shows that orders to earlier lives of the
// minion, and those of former holders, have no effect any more.
func (minion *minion) isFencedBy(event *messenger.OrderAnswered) bool {
	return event.Err == nil && event.Sent.Token > minion.strayToken
}

// noteFence notes that a minion has answered a poll that fences it.
func (planner *Planner) noteFence(now time.Time, minion *minion) {
	minion.polled = true
	minion.leaseLimit.endStrays()
	planner.noteFencedMinion(now)
	if planner.longestForeignLease(minion) > leaseDuration {
		planner.emitDecision(string(minion.report.Minion), "minion-fenced", "orders to its earlier life may have reached it",
			fmt.Sprintf("token=%d stray-token=%d %s", minion.token, minion.strayToken, minion.leaseDetail(now)), now.Sub(minion.seenAt))
	}
}

// isOutdatedToken reports whether an order was refused because this holder has sent a newer
// token to its minion since.
func (minion *minion) isOutdatedToken(event *messenger.OrderAnswered) bool {
	return event.Sent.Token < minion.token
}
