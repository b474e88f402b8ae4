package server

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"corianderroad/messenger"
	"corianderroad/querier"
)

const (
	// settleTime is how long a leaving node goes on serving before it checks for
	// open work, so that the balancer and the other nodes have learnt that it
	// leaves and send nothing more. It covers one health check of a balancer.
	settleTime = 2 * time.Second
	// openCheck is the time between two looks at the open work.
	openCheck = 100 * time.Millisecond
)

// openWork are the gauges that count work which a stop would cut off.
var openWork = map[string]bool{"open-calls": true, "owned-calls": true}

// leave announces that the node stops, and returns when its open work is done
// or the drain timeout has passed.
func (server *Server) leave(ctx context.Context) {
	server.readiness.draining.Store(true)
	log.Info().Str("node", string(server.settings.Node)).Str("state", "leaving").Msg("graceful stop started")
	ctx, cancel := context.WithTimeout(ctx, server.settings.Limits.DrainTimeout.Duration)
	defer cancel()
	if err := (sink{server}).Deliver(ctx, messenger.DrainArrived{}); err != nil {
		return
	}
	settled := time.NewTimer(settleTime)
	defer settled.Stop()
	select {
	case <-settled.C:
	case <-ctx.Done():
		return
	}
	ticker := time.NewTicker(openCheck)
	defer ticker.Stop()
	for server.countOpen(ctx) > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			log.Warn().Str("node", string(server.settings.Node)).Msg("drain timeout passed with open work")
			return
		}
	}
}

// countOpen returns the amount of open work, 1 if it is not known.
func (server *Server) countOpen(ctx context.Context) int {
	answer, err := server.inspector.Inspect(ctx, querier.Query{Kind: querier.Status})
	if err != nil {
		return 1
	}
	open := 0
	for _, gauge := range answer.Gauges {
		if openWork[gauge.Name] {
			open += int(gauge.Value)
		}
	}
	for _, stream := range streams() {
		open += server.appends[stream].Depth()
	}
	return open
}
