// Package balancer stands for the platform's load balancer: it sends callers to
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
	period  = 500 * time.Millisecond
	timeout = 400 * time.Millisecond
)

// Balancer knows which entries are ready. It is safe for concurrent use.
type Balancer struct {
	entries []netip.AddrPort
	client  *http.Client
	ready   atomic.Pointer[[]netip.AddrPort]
}

// New returns a balancer that takes all entries for ready until Run has asked them.
func New(entries []netip.AddrPort) *Balancer {
	balancer := &Balancer{entries: entries, client: &http.Client{Timeout: timeout}}
	balancer.ready.Store(&entries)
	return balancer
}

// Choose returns a ready entry at random, another one than previous if there is
// one. Without a ready entry it chooses among all.
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

// IsReady returns whether an entry was ready when it was last asked.
func (balancer *Balancer) IsReady(entry netip.AddrPort) bool {
	return slices.Contains(*balancer.ready.Load(), entry)
}

// Ready returns the number of ready entries.
func (balancer *Balancer) Ready() int { return len(*balancer.ready.Load()) }

// Run is the duty that asks all entries twice a second until the context ends.
func (balancer *Balancer) Run(ctx context.Context) error {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		balancer.ask(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (balancer *Balancer) ask(ctx context.Context) {
	answers := make([]chan bool, len(balancer.entries))
	for index, entry := range balancer.entries {
		answers[index] = make(chan bool, 1)
		go func() { answers[index] <- balancer.isReady(ctx, entry) }()
	}
	var ready []netip.AddrPort
	for index, entry := range balancer.entries {
		if <-answers[index] {
			ready = append(ready, entry)
		}
	}
	balancer.ready.Store(&ready)
}

func (balancer *Balancer) isReady(ctx context.Context, entry netip.AddrPort) bool {
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
