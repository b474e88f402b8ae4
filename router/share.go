package router

import (
	"math"
	"time"

	"corianderroad/estimator"
	"corianderroad/identifier"
)

// account is one workspace's use of slot time at a service, for start-time
// fair queueing: the workspace with the least use relative to its weight is
// served first.
type account struct {
	// used is the slot time used divided by the weight.
	used   time.Duration
	weight int
	// waiting and running count the workspace's requests.
	waiting, running int
	// served is the recent rate of granted slot time by class.
	served [estimator.ClassCount]meter
}

// shares holds the accounts of a service.
type shares struct {
	accounts map[identifier.Workspace]*account
	// virtualTime is the highest use that a workspace had when one of its requests
	// started. A workspace that was idle starts again from there, so that it does
	// not accumulate credit for its idle time.
	virtualTime time.Duration
}

func newShares() shares { return shares{accounts: map[identifier.Workspace]*account{}} }

// addWaiting counts a waiting request.
func (shares *shares) addWaiting(workspace identifier.Workspace, weight int) {
	entry := shares.accounts[workspace]
	if entry == nil {
		entry = &account{used: shares.virtualTime}
		shares.accounts[workspace] = entry
	}
	if entry.waiting+entry.running == 0 {
		entry.used = max(entry.used, shares.virtualTime)
	}
	entry.weight = weight
	entry.waiting++
}

// startRunning counts a waiting request as running and charges its estimate.
func (shares *shares) startRunning(now time.Time, workspace identifier.Workspace, class estimator.Class, estimate time.Duration) {
	account := shares.accounts[workspace]
	account.waiting--
	account.running++
	shares.virtualTime = max(shares.virtualTime, account.used)
	account.used += estimate / time.Duration(account.weight)
	account.served[class].add(now, estimate)
}

// removeWaiting removes a waiting request that did not start.
func (shares *shares) removeWaiting(workspace identifier.Workspace) {
	shares.accounts[workspace].waiting--
	shares.removeIdle(workspace)
}

// endRunning removes a running request and replaces its estimate by the charged time.
func (shares *shares) endRunning(workspace identifier.Workspace, estimate, charged time.Duration) {
	account := shares.accounts[workspace]
	account.running--
	account.used += (charged - estimate) / time.Duration(account.weight)
	shares.removeIdle(workspace)
}

// removeIdle removes an idle account whose use does not exceed virtualTime:
// addWaiting would create it again with the same use.
func (shares *shares) removeIdle(workspace identifier.Workspace) {
	account := shares.accounts[workspace]
	if account.waiting+account.running == 0 && account.used <= shares.virtualTime {
		delete(shares.accounts, workspace)
	}
}

// fairShare returns the workspace's fair share of the slots among the workspaces
// that use the service now, between 0 and 1.
func (shares *shares) fairShare(workspace identifier.Workspace, weight int) float64 {
	total := weight
	for name, other := range shares.accounts {
		if name != workspace && other.waiting+other.running > 0 {
			total += other.weight
		}
	}
	return float64(weight) / float64(total)
}

// meterWindow is the time constant of a meter. It covers a few waits of short
// requests, and the mean follows a change of the load within seconds.
const meterWindow = time.Second

// meter is an exponentially decaying mean of granted slot time per unit of time.
type meter struct {
	sum time.Duration
	at  time.Time
}

func (meter *meter) add(now time.Time, amount time.Duration) {
	meter.sum = time.Duration(float64(meter.sum)*meter.decay(now)) + amount
	meter.at = now
}

// read returns the mean number of slots in use.
func (meter *meter) read(now time.Time) float64 {
	return float64(meter.sum) * meter.decay(now) / float64(meterWindow)
}

func (meter *meter) decay(now time.Time) float64 {
	return math.Exp(-float64(now.Sub(meter.at)) / float64(meterWindow))
}
