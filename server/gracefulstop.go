package server

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"corianderroad/messenger"
	"corianderroad/querier"
)

const (
	// propagationTime is how long a leaving node continues to serve before it checks
	// for open work. In this time the balancer and the other nodes learn that the
	// node leaves, and stop sending it work. It covers one health check of a balancer.
	propagationTime = 2 * time.Second
	// openWorkInterval is the time between two checks for open work.
	openWorkInterval = 100 * time.Millisecond
)

// openWorkGauges are the gauges that count work which a stop would interrupt.
var openWorkGauges = map[string]bool{"open-calls": true, "owned-calls": true}

// stopGracefully announces that the node leaves, and returns when its open work is
// done or the drain timeout has passed.
func (server *Server) stopGracefully(ctx context.Context) {
	server.readiness.draining.Store(true)
	log.Info().Str("node", string(server.settings.Node)).Str("state", "leaving").Msg("graceful stop started")
	ctx, cancel := context.WithTimeout(ctx, server.settings.Limits.DrainTimeout.Duration)
	defer cancel()
	if err := (eventSink{server}).Deliver(ctx, messenger.DrainArrived{}); err != nil {
		return
	}
	propagated := time.NewTimer(propagationTime)
	defer propagated.Stop()
	select {
	case <-propagated.C:
	case <-ctx.Done():
		return
	}
	ticker := time.NewTicker(openWorkInterval)
	defer ticker.Stop()
	for server.countOpenWork(ctx) > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			log.Warn().Str("node", string(server.settings.Node)).Msg("drain timeout passed with open work")
			return
		}
	}
}

// countOpenWork returns the amount of open work, or 1 if the amount is unknown.
func (server *Server) countOpenWork(ctx context.Context) int {
	answer, err := server.inspector.Inspect(ctx, querier.Query{Kind: querier.Status})
	if err != nil {
		return 1
	}
	open := 0
	for _, gauge := range answer.Gauges {
		if openWorkGauges[gauge.Name] {
			open += int(gauge.Value)
		}
	}
	for _, stream := range streams() {
		open += server.appends[stream].Depth()
	}
	return open
}
