package disturber

import (
	"context"
	"encoding/json"
	"net/http"
	"syscall"
	"time"

	"corianderroad/cmd/soak/stager"
	"corianderroad/identifier"
)

// Evacuations. They last for up to twice the time after which a start is a violation, so that
// many are in effect beyond it.
const (
	maxEvacuationPause = 6 * time.Second
	minEvacuationTime  = time.Second
	maxEvacuationTime  = 14 * time.Second
	// maxTakeoverDelay bounds the time from a request to the fault of the holder that comes with
	// every second one.
	maxTakeoverDelay = 2 * time.Second
	// statusTimeout limits the wait for the status of a node, which may be down.
	statusTimeout = 300 * time.Millisecond
)

// RunEvacuations lets a failure domain be evacuated again and again until the context ends. The
// last evacuation ends after its time.
func (disturber *Disturber) RunEvacuations(ctx context.Context, domain identifier.FailureDomain) error {
	for disturber.wait(ctx, time.Duration(disturber.random.Int64N(int64(maxEvacuationPause)))) {
		span := minEvacuationTime + time.Duration(disturber.random.Int64N(int64(maxEvacuationTime-minEvacuationTime)))
		disturber.log("domain %s evacuated, %s", domain, span.Round(time.Millisecond))
		disturber.deployment.Evacuate(domain)
		withdrawn := make(chan struct{})
		time.AfterFunc(span, func() {
			disturber.deployment.WithdrawEvacuation(domain)
			close(withdrawn)
		})
		if disturber.random.IntN(2) == 0 && disturber.wait(ctx, time.Duration(disturber.random.Int64N(int64(maxTakeoverDelay)))) {
			disturber.disturbHolder(ctx)
		}
		select {
		case <-ctx.Done():
		case <-withdrawn:
		}
	}
	return nil
}

// wait reports whether a time has passed before the context ends.
func (disturber *Disturber) wait(ctx context.Context, span time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(span):
		return true
	}
}

// disturbHolder kills the holder, pauses it or disconnects it from the store, so that another node
// takes over.
func (disturber *Disturber) disturbHolder(ctx context.Context) {
	span := minSpan + time.Duration(disturber.random.Int64N(int64(maxSpan-minSpan)))
	kind := disturber.random.IntN(3)
	for _, node := range disturber.deployment.Nodes {
		if !isHolder(ctx, node) {
			continue
		}
		disturber.deployment.Checker.Increment("faults")
		switch kind {
		case 0:
			disturber.log("holder %s killed", node.Name)
			node.Signal(syscall.SIGKILL)
		case 1:
			disturber.log("holder %s paused, %s", node.Name, span.Round(time.Millisecond))
			pause(node, span)
		default:
			disturber.log("holder %s disconnected from the store, %s", node.Name, span.Round(time.Millisecond))
			disturber.impair(node.StoreProxy, span)
		}
		return
	}
	disturber.log("no node says that it is the holder")
}

// isHolder reports whether a node answers that it is the holder.
func isHolder(parent context.Context, node *stager.Node) bool {
	ctx, cancel := context.WithTimeout(parent, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node.MetricsAddress.String()+"/status", http.NoBody)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false // the node is down or paused
	}
	defer response.Body.Close() //nolint:errcheck // a partial body is not decoded
	var status struct {
		Holder bool `json:"holder"`
	}
	return json.NewDecoder(response.Body).Decode(&status) == nil && status.Holder
}
