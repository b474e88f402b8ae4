// Package lister polls the platform's VM list. An entry that is invalid is refused
// alone; the list then holds the other entries, as if that one were not listed.
package lister

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"corianderroad/messenger"
	"corianderroad/watcher"
)

// EventSink receives the VM list. Deliver waits for free capacity until the context ends,
// and returns an error only then.
type EventSink interface {
	Deliver(ctx context.Context, event messenger.Event) error
}

// Meter counts the results of polls.
type Meter interface {
	// CountPoll counts a poll by its result, which is in kebab case.
	CountPoll(result string)
	// RefuseEntry counts and reports an entry of a list that is invalid and therefore
	// ignored. The name is empty if it can't be read.
	RefuseEntry(name string, reason error)
}

const (
	// pollInterval is the time from the end of a poll to the start of the next.
	pollInterval = time.Second
	// stallTimeout bounds the time without progress of one poll.
	stallTimeout = time.Second
	// maxListBytes bounds the list in bytes: 4,500 workers and 1,024 minions and
	// entry VMs of about 300 bytes each are 1.7 MB.
	maxListBytes = 8 << 20
	// maxBytesPerSecond is the part of a node's 20 KB/s of control traffic that lists
	// may use.
	maxBytesPerSecond = 8 << 10
	// maxPollInterval bounds the interval that results from maxBytesPerSecond, so that
	// a change of a long list is still received within a minute.
	maxPollInterval = time.Minute
	// redeliveryInterval is the time after which an unchanged list is delivered again,
	// so that its receivers can rely on it as current.
	redeliveryInterval = 10 * time.Second
)

// Lister polls the VM list. Run is its only duty.
type Lister struct {
	client *http.Client
	url    string
	sink   EventSink
	meter  Meter

	// Only Run uses the fields below.
	entityTag   string // entity tag of the newest list, empty if the platform sends none
	vms         []messenger.VM
	deliveredAt time.Time
}

// New returns a Lister that polls GET base/vms with the client.
func New(client *http.Client, base string, sink EventSink, meter Meter) *Lister {
	return &Lister{client: client, url: base + "/vms", sink: sink, meter: meter}
}

// Run polls until the context ends: once per second if the platform answers
// unchanged lists by their entity tag, and otherwise as often as maxBytesPerSecond
// allows. A poll that fails is counted and does not change the list.
func (lister *Lister) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		answer, err := lister.poll(ctx)
		if err == nil {
			err = lister.handleAnswer(ctx, time.Now(), answer)
		}
		lister.meter.CountPoll(result(answer, err))
		timer.Reset(lister.pollDelay(answer))
	}
}

// answer is the result of one poll.
type answer struct {
	unchanged bool
	vms       []messenger.VM
	entityTag string
	bytes     int64
}

func result(answer answer, err error) string {
	switch {
	case err != nil:
		return "failed"
	case answer.unchanged:
		return "unchanged"
	default:
		return "listed"
	}
}

// handleAnswer delivers a list that is new or was not delivered for
// redeliveryInterval.
func (lister *Lister) handleAnswer(ctx context.Context, now time.Time, answer answer) error {
	if !answer.unchanged {
		lister.vms, lister.entityTag = answer.vms, answer.entityTag
	} else if now.Sub(lister.deliveredAt) < redeliveryInterval {
		return nil
	}
	lister.deliveredAt = now
	return lister.sink.Deliver(ctx, messenger.VMsListed{At: now, VMs: lister.vms})
}

// pollDelay returns the time until the next poll.
func (lister *Lister) pollDelay(answer answer) time.Duration {
	if answer.entityTag != "" || answer.unchanged {
		return pollInterval
	}
	return min(max(time.Duration(answer.bytes)*time.Second/maxBytesPerSecond, pollInterval), maxPollInterval)
}

func (lister *Lister) poll(ctx context.Context) (answer, error) {
	ctx, watched := watcher.New(ctx, stallTimeout)
	defer watched.Stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, lister.url, nil)
	if err != nil {
		return answer{}, errors.Wrap(err, "VM list")
	}
	// A list names no request. On a connection of its own no second answer to an earlier poll
	// is taken for it.
	request.Close = true
	if lister.entityTag != "" {
		request.Header.Set("If-None-Match", lister.entityTag)
	}
	response, err := lister.client.Do(request)
	if err != nil {
		return answer{}, errors.Wrap(err, "VM list")
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusNotModified:
		return answer{unchanged: true}, nil
	case http.StatusOK:
	default:
		return answer{}, errors.Errorf("VM list: status %d", response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(watched.Reader(response.Body), maxListBytes+1))
	if err != nil {
		return answer{}, errors.Wrap(err, "VM list")
	}
	if len(body) > maxListBytes {
		return answer{bytes: int64(len(body))}, errors.Errorf("VM list: larger than %d bytes", maxListBytes)
	}
	vms, refused, err := parse(body)
	for _, refusal := range refused {
		lister.meter.RefuseEntry(refusal.name, refusal.reason)
	}
	return answer{vms: vms, entityTag: response.Header.Get("ETag"), bytes: int64(len(body))}, err
}
