package router

import (
	"math"
	"time"

	"corianderroad/estimator"
	"corianderroad/identifier"
)

// account is one workspace's use of slot time at a service, for start-time
// fair queueing: the workspace with the least use for its weight goes first.
type account struct {
	// used is the slot time used divided by the weight.
	used   time.Duration
	weight int
	// waiting and running count the workspace's requests.
	waiting, running int
	// served is the rate at which slot time was given out lately, by class.
	served [estimator.Classes]meter
}

// shares are the accounts of a service.
type shares struct {
	accounts map[identifier.Workspace]*account
	// virtual is the use of the workspace that was served last. A workspace
	// that returns starts there, so that idle time is not saved up.
	virtual time.Duration
}

func newShares() shares { return shares{accounts: map[identifier.Workspace]*account{}} }

// enter adds a waiting request.
func (shares *shares) enter(workspace identifier.Workspace, weight int) {
	entered := shares.accounts[workspace]
	if entered == nil {
		entered = &account{used: shares.virtual}
		shares.accounts[workspace] = entered
	}
	if entered.waiting+entered.running == 0 {
		entered.used = max(entered.used, shares.virtual)
	}
	entered.weight = weight
	entered.waiting++
}

// start moves a request from waiting to running and charges its estimate.
func (shares *shares) start(now time.Time, workspace identifier.Workspace, class estimator.Class, estimate time.Duration) {
	started := shares.accounts[workspace]
	started.waiting--
	started.running++
	shares.virtual = max(shares.virtual, started.used)
	started.used += estimate / time.Duration(started.weight)
	started.served[class].add(now, estimate)
}

// leave takes off a waiting request that did not start.
func (shares *shares) leave(workspace identifier.Workspace) {
	shares.accounts[workspace].waiting--
	shares.tidy(workspace)
}

// end takes off a running request and corrects the charge.
func (shares *shares) end(workspace identifier.Workspace, estimate, ran time.Duration) {
	ended := shares.accounts[workspace]
	ended.running--
	ended.used += (ran - estimate) / time.Duration(ended.weight)
	shares.tidy(workspace)
}

// tidy removes an idle account whose use does not exceed virtual: enter would
// create it with the same use.
func (shares *shares) tidy(workspace identifier.Workspace) {
	idle := shares.accounts[workspace]
	if idle.waiting+idle.running == 0 && idle.used <= shares.virtual {
		delete(shares.accounts, workspace)
	}
}

// part returns the workspace's fair part of the slots among those that use the
// service now, between 0 and 1.
func (shares *shares) part(workspace identifier.Workspace, weight int) float64 {
	total := weight
	for name, other := range shares.accounts {
		if name != workspace && other.waiting+other.running > 0 {
			total += other.weight
		}
	}
	return float64(weight) / float64(total)
}

// meterTime is the time over which a meter takes the mean. It covers a few
// waits of short requests and follows a change of the load within seconds.
const meterTime = time.Second

// meter is a decaying mean of slot time per time.
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
	return float64(meter.sum) * meter.decay(now) / float64(meterTime)
}

func (meter *meter) decay(now time.Time) float64 {
	return math.Exp(-float64(now.Sub(meter.at)) / float64(meterTime))
}
