package lister_test

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/lister"
	"corianderroad/messenger"
)

// twoVMs is a list of two VMs and an entry with an unknown role.
const twoVMs = `{"vms":[
{"name":"entry-1","role":"entry","address":"127.0.0.1:7000","state":"leaving","region":"gulf","failure-domain":"gulf-a"},
{"name":"x","role":"unheard-of","address":"127.0.0.1:1"},
{"name":"w-1","role":"worker","address":"127.0.0.1:7001","state":"live","region":"gulf","rack":"r-1","accelerators":8}]}`

// platform returns one of answers to each poll: a body, a status or, for "silent",
// nothing until the request is cancelled.
type platform struct {
	answers    []string
	entityTags []string
	events     []messenger.Event
	results    []string
}

func (platform *platform) RoundTrip(request *http.Request) (*http.Response, error) {
	platform.entityTags = append(platform.entityTags, request.Header.Get("If-None-Match"))
	answer := platform.answers[0]
	platform.answers = platform.answers[1:]
	response := &http.Response{StatusCode: http.StatusOK, Header: http.Header{"Etag": {`"1"`}}}
	switch answer {
	case "silent":
		<-request.Context().Done()
		return nil, request.Context().Err()
	case "unchanged":
		response.StatusCode = http.StatusNotModified
	case "failing":
		response.StatusCode = http.StatusInternalServerError
		answer = twoVMs
	}
	response.Body = io.NopCloser(strings.NewReader(answer))
	return response, nil
}

func (platform *platform) Deliver(_ context.Context, event messenger.Event) error {
	platform.events = append(platform.events, event)
	return nil
}

func (platform *platform) CountPoll(result string) {
	platform.results = append(platform.results, result)
}

func (platform *platform) RefuseEntry(name string, _ error) {
	platform.results = append(platform.results, "refused "+name)
}

// TestListIsPolledEachSecond guards against a poll that hangs, a list that is lost or
// that is read from an answer with an error status, and a VM of an unknown kind that
// makes the rest of the list unusable.
func TestListIsPolledEachSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		platform := &platform{answers: []string{twoVMs, "unchanged", "failing", "silent", `{"vms":[`, twoVMs}}
		ctx, cancel := context.WithTimeout(t.Context(), 6500*time.Millisecond)
		defer cancel()
		err := lister.New(&http.Client{Transport: platform}, "http://platform", platform, platform).Run(ctx)
		c.Assert(err, quicktest.Equals, context.DeadlineExceeded)
		c.Check(platform.results, quicktest.DeepEquals, []string{"listed", "unchanged", "failed", "failed", "failed", "listed"})
		c.Check(platform.entityTags, quicktest.DeepEquals, []string{"", `"1"`, `"1"`, `"1"`, `"1"`, `"1"`})
		c.Assert(platform.events, quicktest.HasLen, 2)
		for _, event := range platform.events {
			vms := event.(messenger.VMsListed).VMs
			c.Assert(vms, quicktest.HasLen, 2)
			c.Check(vms[0], quicktest.Equals, messenger.VM{
				Name: "entry-1", Role: messenger.EntryVM, Address: netip.MustParseAddrPort("127.0.0.1:7000"), Leaving: true,
				Region: "gulf", FailureDomain: "gulf-a",
			})
			c.Check(vms[1].Accelerators, quicktest.Equals, 8)
		}
	})
}
