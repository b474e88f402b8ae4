// Package interrupter plays outages of the store as a deployment with many small tasks sees
// them: with entries that lapse meanwhile, and with connections to minions that are at their worst
// when the delayed starts come together after the outage.
package interrupter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/Shopify/toxiproxy/v2"

	"corianderroad/cmd/soak/stager"
	"corianderroad/cmd/soak/stutterer"
	"corianderroad/platform/imitator"
)

// Times of an outage. The store first refuses and is then silent.
const (
	minCalm, maxCalm       = 2 * time.Second, 5 * time.Second
	minOutage, maxOutage   = 3 * time.Second, 6 * time.Second
	minRefusal, maxRefusal = 300 * time.Millisecond, 1200 * time.Millisecond
	// maxReturnDelay is the longest time from the end of the outage to the return of an entry.
	maxReturnDelay = 2 * time.Second
	// connectionLead is how long before the end of an outage the faults of the connections to
	// minions begin. They last until connectionSpan after it.
	connectionLead, connectionSpan = 500 * time.Millisecond, 4 * time.Second
)

// Shares of the minions with a fault in an outage.
const (
	lapseShare   = 0.2
	occupyShare  = 0.7
	stutterShare = 0.7
	resetShare   = 0.2
)

// Interrupter plays outages of a deployment's store until its context ends.
type Interrupter struct {
	deployment *stager.Deployment
	random     *rand.Rand
	log        func(format string, arguments ...any)
	// answersAnew means that the second answers of minions have a later clock.
	answersAnew bool
}

// New returns an interrupter that writes each outage to log.
func New(deployment *stager.Deployment, random *rand.Rand, answersAnew bool, log func(format string, arguments ...any)) *Interrupter {
	return &Interrupter{deployment: deployment, random: random, answersAnew: answersAnew, log: log}
}

// Run plays outages until the context ends. The last one ends after its time.
func (interrupter *Interrupter) Run(ctx context.Context) error {
	for sleep(ctx, interrupter.between(minCalm, maxCalm)) {
		refusal, outage := interrupter.between(minRefusal, maxRefusal), interrupter.between(minOutage, maxOutage)
		interrupter.log("store refuses for %s, is silent until %s", refusal.Round(time.Millisecond), outage.Round(time.Millisecond))
		interrupter.interruptStore(refusal, outage)
		for _, minion := range interrupter.deployment.Minions {
			interrupter.disturb(minion, outage)
		}
		sleep(context.WithoutCancel(ctx), outage+connectionSpan)
	}
	return nil
}

// interruptStore lets the store refuse all calls, and then answer none until the end of the outage.
func (interrupter *Interrupter) interruptStore(refusal, outage time.Duration) {
	deployment := interrupter.deployment
	deployment.Checker.Increment("faults")
	deployment.Store.SetFaults(http.StatusServiceUnavailable, false)
	time.AfterFunc(outage, func() { deployment.Store.SetFaults(0, false) })
	time.AfterFunc(refusal, func() {
		for _, node := range deployment.Nodes {
			for _, stream := range []string{"upstream", "downstream"} {
				deployment.Impair(node.StoreProxy, "timeout", stream, `{"timeout":0}`, outage-refusal)
			}
		}
	})
}

// disturb draws what happens to a minion and its connections in an outage.
func (interrupter *Interrupter) disturb(minion *stager.Minion, outage time.Duration) {
	deployment := interrupter.deployment
	if interrupter.random.Float64() < lapseShare {
		returnsAt := outage + interrupter.between(0, maxReturnDelay)
		interrupter.log("entry of %s lapses, returns after %s", minion.Proxy.Name, returnsAt.Round(time.Millisecond))
		time.AfterFunc(interrupter.between(0, outage), func() { deployment.Lapse(minion) })
		time.AfterFunc(returnsAt, func() { deployment.Renew(minion) })
	}
	if interrupter.random.Float64() < occupyShare {
		interrupter.occupy(minion, outage-connectionLead)
	}
	switch drawn := interrupter.random.Float64(); {
	case drawn < stutterShare:
		interrupter.stutter(minion.Proxy, outage-connectionLead)
	case drawn < stutterShare+resetShare:
		interrupter.reset(minion.Proxy, outage-connectionLead)
	}
}

// Times between two changes of the room of a minion: some fall between two starts of a burst.
const minRoomSpan, maxRoomSpan = 5 * time.Millisecond, 60 * time.Millisecond

// occupy lets the room of a minion come and go, so that it refuses some starts of a burst.
func (interrupter *Interrupter) occupy(minion *stager.Minion, after time.Duration) {
	deployment := interrupter.deployment
	interrupter.log("the room of %s comes and goes", minion.Proxy.Name)
	for at := time.Duration(0); at < connectionLead+connectionSpan; at += interrupter.between(minRoomSpan, maxRoomSpan) {
		occupied := interrupter.random.IntN(imitator.FullAccelerators + 1)
		time.AfterFunc(after+at, func() { deployment.Occupy(minion, occupied) })
	}
	time.AfterFunc(after+connectionLead+connectionSpan+maxRoomSpan, func() { deployment.Occupy(minion, 0) })
}

// Delays of the answers of a minion that answers twice. An order takes so long that a second answer
// can overtake it.
const (
	maxLatencyMS     = 60
	minRepeatDelayMS = 5
	maxRepeatDelayMS = 400
)

// stutter lets a minion answer twice over a network with some delay.
func (interrupter *Interrupter) stutter(proxy *toxiproxy.Proxy, after time.Duration) {
	latency := 2 + interrupter.random.IntN(maxLatencyMS)
	delayed := fmt.Sprintf(`{"latency":%d,"jitter":%d}`, latency, latency)
	delay := minRepeatDelayMS + interrupter.random.IntN(2*latency)
	if interrupter.random.IntN(2) == 0 {
		delay = minRepeatDelayMS + interrupter.random.IntN(maxRepeatDelayMS)
	}
	repeated := fmt.Sprintf(`{"share":%.2f,"delay-ms":%d,"before-next":%t,"made-anew":%t}`, 0.5+0.5*interrupter.random.Float64(), delay, interrupter.random.IntN(2) == 0, interrupter.answersAnew)
	interrupter.log("%s answers twice, %s, latency %s", proxy.Name, repeated, delayed)
	time.AfterFunc(after, func() {
		interrupter.deployment.Impair(proxy, "latency", "upstream", delayed, connectionLead+connectionSpan)
		interrupter.deployment.Impair(proxy, stutterer.Kind, "downstream", repeated, connectionLead+connectionSpan)
	})
}

// Times of one reset and between two of them.
const (
	resetSpan                    = 20 * time.Millisecond
	minResetPause, maxResetPause = 50 * time.Millisecond, 500 * time.Millisecond
)

// reset resets the connections to a minion again and again.
func (interrupter *Interrupter) reset(proxy *toxiproxy.Proxy, after time.Duration) {
	interrupter.log("connections to %s are reset again and again", proxy.Name)
	stream := []string{"upstream", "downstream"}[interrupter.random.IntN(2)]
	for at := time.Duration(0); at < connectionLead+connectionSpan; at += resetSpan + interrupter.between(minResetPause, maxResetPause) {
		time.AfterFunc(after+at, func() {
			interrupter.deployment.Impair(proxy, "reset_peer", stream, `{"timeout":0}`, resetSpan)
		})
	}
}

func (interrupter *Interrupter) between(least, most time.Duration) time.Duration {
	return least + time.Duration(interrupter.random.Int64N(int64(most-least)))
}

// sleep reports whether a time has passed before the context ends.
func sleep(ctx context.Context, span time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(span):
		return true
	}
}
