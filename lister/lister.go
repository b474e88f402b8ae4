// Package lister polls the platform's VM list.
package lister

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"corianderroad/identifier"
	"corianderroad/messenger"
)

// Sink receives the VM list. Deliver waits for room until the context ends, and
// returns an error only then.
type Sink interface {
	Deliver(ctx context.Context, event messenger.Event) error
}

// Meter counts polls by their result in kebab case.
type Meter interface {
	Polled(result string)
}

const (
	// period is the time between the starts of two polls.
	period = time.Second
	// timeout bounds one poll.
	timeout = time.Second
	// maxList bounds the list in bytes: 4,500 workers and 1,024 minions and
	// entry VMs of about 300 bytes each are 1.7 MB.
	maxList = 8 << 20
)

// Lister polls the VM list. Only Run uses it.
type Lister struct {
	client *http.Client
	url    string
	sink   Sink
	meter  Meter
}

// New returns a Lister that polls GET base/vms with the client.
func New(client *http.Client, base string, sink Sink, meter Meter) *Lister {
	return &Lister{client: client, url: base + "/vms", sink: sink, meter: meter}
}

// Run polls once per second until the context ends. A poll that fails is
// counted and leaves the list as it was.
func (lister *Lister) Run(ctx context.Context) error {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		vms, err := lister.poll(ctx)
		if err == nil {
			err = lister.sink.Deliver(ctx, messenger.VMsListed{At: time.Now(), VMs: vms})
		}
		lister.meter.Polled(result(err))
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func result(err error) string {
	if err != nil {
		return "failed"
	}
	return "listed"
}

func (lister *Lister) poll(ctx context.Context) ([]messenger.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, lister.url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "VM list")
	}
	response, err := lister.client.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "VM list")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("VM list: status %d", response.StatusCode)
	}
	return parse(io.LimitReader(response.Body, maxList))
}

type list struct {
	VMs []vm `json:"vms"`
}

type vm struct {
	Name          string         `json:"name"`
	Role          string         `json:"role"`
	Address       netip.AddrPort `json:"address"`
	State         string         `json:"state"`
	Region        string         `json:"region"`
	FailureDomain string         `json:"failure-domain"`
	Rack          string         `json:"rack"`
	Service       string         `json:"service"`
	Accelerators  int            `json:"accelerators"`
}

// parse reads a list. An entry with an unknown role is left out, so that a new
// kind of VM does not hide the others.
func parse(reader io.Reader) ([]messenger.VM, error) {
	var listed list
	if err := json.NewDecoder(reader).Decode(&listed); err != nil {
		return nil, errors.Wrap(err, "VM list")
	}
	vms := make([]messenger.VM, 0, len(listed.VMs))
	for _, vm := range listed.VMs {
		role, ok := roles[vm.Role]
		if !ok {
			continue
		}
		vms = append(vms, messenger.VM{
			Name:          vm.Name,
			Role:          role,
			Address:       vm.Address,
			Leaving:       vm.State == "leaving",
			Region:        identifier.Region(vm.Region),
			FailureDomain: identifier.FailureDomain(vm.FailureDomain),
			Rack:          identifier.Rack(vm.Rack),
			Service:       identifier.Service(vm.Service),
			Accelerators:  vm.Accelerators,
		})
	}
	return vms, nil
}

var roles = map[string]messenger.VMRole{
	"entry":  messenger.EntryVM,
	"worker": messenger.WorkerVM,
	"minion": messenger.MinionVM,
}
