// Package disturber injects random faults into a deployment. The faults follow one
// another and may overlap.
package disturber

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"github.com/Shopify/toxiproxy/v2"

	"corianderroad/cmd/soak/checker"
	"corianderroad/cmd/soak/stager"
	"corianderroad/cmd/soak/stutterer"
	"corianderroad/platform/imitator"
)

const (
	maxPause = 1500 * time.Millisecond
	minSpan  = 300 * time.Millisecond
	maxSpan  = 5 * time.Second
)

// Disturber injects faults into a deployment until its context ends.
type Disturber struct {
	deployment *stager.Deployment
	random     *rand.Rand
	log        func(format string, arguments ...any)
}

// New returns a disturber that writes each fault to log.
func New(deployment *stager.Deployment, random *rand.Rand, log func(format string, arguments ...any)) *Disturber {
	return &Disturber{deployment: deployment, random: random, log: log}
}

// fault is a kind of fault. It is drawn in proportion to its weight.
type fault struct {
	name   string
	weight int
	inject func(disturber *Disturber, span time.Duration)
}

var faults = []fault{
	{"node killed", 3, func(disturber *Disturber, _ time.Duration) { disturber.randomNode().Signal(syscall.SIGKILL) }},
	{"node stopped", 3, func(disturber *Disturber, _ time.Duration) { disturber.randomNode().Terminate() }},
	{"node paused", 3, func(disturber *Disturber, span time.Duration) { pause(disturber.randomNode(), span) }},
	{"settings reloaded", 1, func(disturber *Disturber, _ time.Duration) { disturber.randomNode().Signal(syscall.SIGHUP) }},
	{"all nodes killed", 1, func(disturber *Disturber, _ time.Duration) {
		for _, node := range disturber.deployment.Nodes {
			node.Signal(syscall.SIGKILL)
		}
	}},
	{"node disconnected from the store", 3, func(disturber *Disturber, span time.Duration) {
		disturber.impair(disturber.randomNode().StoreProxy, span)
	}},
	{"minion disconnected", 3, func(disturber *Disturber, span time.Duration) { disturber.impair(disturber.randomMinion().Proxy, span) }},
	{"minion answers twice", 3, func(disturber *Disturber, span time.Duration) {
		attributes := fmt.Sprintf(`{"share":%.2f,"delay-ms":%d}`, 0.1+0.9*disturber.random.Float64(), 5+disturber.random.IntN(600))
		disturber.deployment.Impair(disturber.randomMinion().Proxy, stutterer.Kind, "downstream", attributes, span)
	}},
	{"minion crashed", 3, func(disturber *Disturber, span time.Duration) {
		disturber.deployment.Crash(disturber.randomMinion(), span)
	}},
	{"store refuses", 2, func(disturber *Disturber, span time.Duration) {
		disturber.injectStoreFaults(http.StatusServiceUnavailable, false, span)
	}},
	{"store loses answers", 2, func(disturber *Disturber, span time.Duration) { disturber.injectStoreFaults(0, true, span) }},
	{"store drops its history", 2, func(disturber *Disturber, _ time.Duration) {
		for _, topic := range []string{"keyed.op", "keyed.servers", "keyed.journal", "keyed.claim"} {
			disturber.deployment.Store.Trim(topic)
		}
	}},
	{"keys changed", 2, (*Disturber).changeKeys},
}

// Run injects faults until the context ends. Faults that are in effect then still
// end after their span.
func (disturber *Disturber) Run(ctx context.Context) error {
	total := 0
	for _, fault := range faults {
		total += fault.weight
	}
	for {
		pause := time.Duration(disturber.random.Int64N(int64(maxPause)))
		if disturber.random.IntN(4) == 0 {
			pause = 0 // the next fault begins at the same time
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
		drawn := disturber.random.IntN(total)
		for _, fault := range faults {
			if drawn -= fault.weight; drawn < 0 {
				span := minSpan + time.Duration(disturber.random.Int64N(int64(maxSpan-minSpan)))
				disturber.log("%s, %s", fault.name, span.Round(time.Millisecond))
				disturber.deployment.Checker.Increment("faults")
				fault.inject(disturber, span)
				break
			}
		}
	}
}

// maxResizePause bounds the pause between two changes of the capacity of minions.
const maxResizePause = 2 * time.Second

// RunResizes lets minions shrink and grow until the context ends. They are of full size
// afterwards.
func (disturber *Disturber) RunResizes(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			for _, minion := range disturber.deployment.Minions {
				disturber.deployment.Resize(minion, imitator.FullAccelerators)
			}
			return nil
		case <-time.After(time.Duration(disturber.random.Int64N(int64(maxResizePause)))):
		}
		minion, accelerators := disturber.randomMinion(), disturber.random.IntN(imitator.FullAccelerators+1)
		disturber.log("minion %s has %d accelerators", minion.Proxy.Name, accelerators)
		disturber.deployment.Resize(minion, accelerators)
	}
}

func (disturber *Disturber) randomNode() *stager.Node {
	return disturber.deployment.Nodes[disturber.random.IntN(len(disturber.deployment.Nodes))]
}

func (disturber *Disturber) randomMinion() *stager.Minion {
	return disturber.deployment.Minions[disturber.random.IntN(len(disturber.deployment.Minions))]
}

func pause(node *stager.Node, span time.Duration) {
	node.Signal(syscall.SIGSTOP)
	time.AfterFunc(span, func() { node.Signal(syscall.SIGCONT) })
}

// impair delays, resets or blocks the connections through a proxy, in one or
// both directions.
func (disturber *Disturber) impair(proxy *toxiproxy.Proxy, span time.Duration) {
	streams := [][]string{{"upstream"}, {"downstream"}, {"upstream", "downstream"}}[disturber.random.IntN(3)]
	kind, attributes := "timeout", `{"timeout":0}`
	switch disturber.random.IntN(4) {
	case 0:
		kind, attributes = "latency", fmt.Sprintf(`{"latency":%d,"jitter":50}`, 50+disturber.random.IntN(1000))
	case 1:
		kind, attributes = "reset_peer", `{"timeout":0}`
	}
	for _, stream := range streams {
		disturber.deployment.Impair(proxy, kind, stream, attributes, span)
	}
}

func (disturber *Disturber) injectStoreFaults(refusalStatus int, abortAfterAppend bool, span time.Duration) {
	disturber.deployment.Store.SetFaults(refusalStatus, abortAfterAppend)
	time.AfterFunc(span, func() { disturber.deployment.Store.SetFaults(0, false) })
}

// changeKeys revokes a key and checks that no node accepts it after RevokeBound.
func (disturber *Disturber) changeKeys(time.Duration) {
	revoked := disturber.deployment.Key()
	disturber.deployment.Configure(fmt.Sprintf("key-%d", disturber.random.Uint32()))
	for _, node := range disturber.deployment.Nodes {
		time.AfterFunc(checker.RevokeBound, func() { disturber.checkKeyRevoked(node, revoked) })
	}
}

func (disturber *Disturber) checkKeyRevoked(node *stager.Node, key string) {
	url := "http://" + node.ClientAddress.String() + stager.Prefix + "00000000000000aa"
	request, err := http.NewRequest(http.MethodDelete, url, http.NoBody)
	if err != nil {
		disturber.deployment.Checker.ReportViolation("request: %v", err)
		return
	}
	request.Host = stager.Host
	request.Header.Set("Authorization", "Token "+key)
	client := http.Client{Timeout: time.Second}
	response, err := client.Do(request)
	if err != nil {
		return // the node is down or disconnected
	}
	defer response.Body.Close() //nolint:errcheck // the body is not read
	if response.StatusCode == http.StatusOK || response.StatusCode == http.StatusGone {
		disturber.deployment.Checker.ReportViolation("node %s accepted a key that was revoked %s ago", node.Name, checker.RevokeBound)
	}
}
