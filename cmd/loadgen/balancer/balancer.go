// Package balancer simulates the platform's load balancer: it directs callers to
// the entry nodes that report themselves ready.
package balancer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"
)

const (
	checkPeriod  = 500 * time.Millisecond
	checkTimeout = 400 * time.Millisecond
)

// Balancer chooses among the entries that are ready. It is safe for concurrent use.
type Balancer struct {
	entries []netip.AddrPort
	client  *http.Client
	ready   atomic.Pointer[[]netip.AddrPort]
}

// New returns a balancer that treats all entries as ready until Run has checked
// them.
func New(entries []netip.AddrPort) *Balancer {
	balancer := &Balancer{entries: entries, client: &http.Client{Timeout: checkTimeout}}
	balancer.ready.Store(&entries)
	return balancer
}

// Choose returns a random ready entry that differs from previous, if there is one.
// If no entry is ready, it chooses among all entries.
func (balancer *Balancer) Choose(previous netip.AddrPort) netip.AddrPort {
	ready := *balancer.ready.Load()
	if len(ready) == 0 {
		ready = balancer.entries
	}
	first := rand.IntN(len(ready))
	if ready[first] == previous {
		first = (first + 1) % len(ready)
	}
	return ready[first]
}

// IsReady reports whether an entry was ready when it was last checked.
func (balancer *Balancer) IsReady(entry netip.AddrPort) bool {
	return slices.Contains(*balancer.ready.Load(), entry)
}

// ReadyCount returns the number of ready entries.
func (balancer *Balancer) ReadyCount() int { return len(*balancer.ready.Load()) }

// Run is the duty that checks all entries twice a second until the context ends.
func (balancer *Balancer) Run(ctx context.Context) error {
	ticker := time.NewTicker(checkPeriod)
	defer ticker.Stop()
	for {
		balancer.checkAll(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (balancer *Balancer) checkAll(ctx context.Context) {
	answers := make([]chan bool, len(balancer.entries))
	for index, entry := range balancer.entries {
		answers[index] = make(chan bool, 1)
		go func() { answers[index] <- balancer.checkReadiness(ctx, entry) }()
	}
	var ready []netip.AddrPort
	for index, entry := range balancer.entries {
		if <-answers[index] {
			ready = append(ready, entry)
		}
	}
	balancer.ready.Store(&ready)
}

func (balancer *Balancer) checkReadiness(ctx context.Context, entry netip.AddrPort) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry.String()+"/health/ready", nil)
	if err != nil {
		return false
	}
	response, err := balancer.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
