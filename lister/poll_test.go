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

const two = `{"vms":[
{"name":"entry-1","role":"entry","address":"127.0.0.1:7000","state":"leaving","region":"gulf","failure-domain":"gulf-a"},
{"name":"x","role":"unheard-of","address":"127.0.0.1:1"},
{"name":"w-1","role":"worker","address":"127.0.0.1:7001","state":"live","region":"gulf","rack":"r-1","accelerators":8}]}`

// platform answers each poll by the next script: a body, a status or silence.
type platform struct {
	scripts []string
	tags    []string
	events  []messenger.Event
	results []string
}

func (platform *platform) RoundTrip(request *http.Request) (*http.Response, error) {
	platform.tags = append(platform.tags, request.Header.Get("If-None-Match"))
	script := platform.scripts[0]
	platform.scripts = platform.scripts[1:]
	response := &http.Response{StatusCode: http.StatusOK, Header: http.Header{"Etag": {`"1"`}}}
	switch script {
	case "silent":
		<-request.Context().Done()
		return nil, request.Context().Err()
	case "unchanged":
		response.StatusCode = http.StatusNotModified
	case "failing":
		response.StatusCode = http.StatusInternalServerError
		script = two
	}
	response.Body = io.NopCloser(strings.NewReader(script))
	return response, nil
}

func (platform *platform) Deliver(_ context.Context, event messenger.Event) error {
	platform.events = append(platform.events, event)
	return nil
}

func (platform *platform) Polled(result string) { platform.results = append(platform.results, result) }

// TestListIsPolledEachSecond guards against a poll that hangs, a list that is
// lost or taken from a failed answer, and a VM of an unknown kind that hides
// the others.
func TestListIsPolledEachSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		platform := &platform{scripts: []string{two, "unchanged", "failing", "silent", `{"vms":[`, two}}
		ctx, cancel := context.WithTimeout(t.Context(), 6500*time.Millisecond)
		defer cancel()
		err := lister.New(&http.Client{Transport: platform}, "http://platform", platform, platform).Run(ctx)
		c.Assert(err, quicktest.Equals, context.DeadlineExceeded)
		c.Check(platform.results, quicktest.DeepEquals, []string{"listed", "unchanged", "failed", "failed", "failed", "listed"})
		c.Check(platform.tags, quicktest.DeepEquals, []string{"", `"1"`, `"1"`, `"1"`, `"1"`, `"1"`})
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
