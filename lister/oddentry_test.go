package lister

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"corianderroad/messenger"
)

const (
	firstVM = `{"name":"w-1","role":"worker","address":"10.0.0.1:80","state":"live","region":"gulf","accelerators":8}`
	lastVM  = `{"name":"m-1","role":"minion","address":"10.0.0.2:80","state":"live","service":"s"}`
)

// recordingMeter records what is counted.
type recordingMeter struct {
	results []string
	refused []string
}

func (recordingMeter *recordingMeter) CountPoll(result string) {
	recordingMeter.results = append(recordingMeter.results, result)
}

func (recordingMeter *recordingMeter) RefuseEntry(name string, _ error) {
	recordingMeter.refused = append(recordingMeter.refused, name)
}

// listed returns the VMs that a poll of a list delivers.
func listed(t testing.TB, list string) ([]messenger.VM, []string, error) {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = writer.Write([]byte(list))
	}))
	t.Cleanup(server.Close)
	var meter recordingMeter
	answer, err := New(server.Client(), server.URL, nil, &meter).poll(context.Background())
	return answer.vms, meter.refused, err
}

// TestOddEntryIsRefusedAlone guards against one entry of the VM list that makes the
// whole list unusable, and against an entry that is used although its address can't
// be called.
func TestOddEntryIsRefusedAlone(t *testing.T) {
	c := quicktest.New(t)
	// Deeper than encoding/json accepts, so that it refuses a list with such an entry.
	nested := strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000)
	for _, odd := range []struct{ entry, name string }{
		{`{"name":"x","role":"minion","address":"10.0.0.1:65536"}`, "x"},
		{`{"name":"x","role":"minion","address":"10.0.0.1:0"}`, "x"},
		{`{"name":"x","role":"minion","address":"10.0.0.1:-1"}`, "x"},
		{`{"name":"x","role":"minion","address":"0.0.0.0:80"}`, "x"},
		{`{"name":"x","role":"minion"}`, "x"},
		{`{"name":"x","role":"minion","address":80}`, "x"},
		{`{"name":"x","role":7,"address":"10.0.0.1:80"}`, "x"},
		{`{"name":"x","role":"worker","address":"10.0.0.1:80","accelerators":1e400}`, "x"},
		{`{"name":"x","role":"worker","address":"10.0.0.1:80","accelerators":99999999999999999999}`, "x"},
		{`{"name":"x","role":"worker","address":"10.0.0.1:80","accelerators":9223372036854775807}`, "x"},
		{`{"name":"x","role":"worker","address":"10.0.0.1:80","accelerators":-1}`, "x"},
		{`{"name":"x","role":"worker","address":"10.0.0.1:80","rack":` + nested + `}`, "x"},
		{`{"name":"x","role":"worker","address":"10.0.0.1:80","region":{}}`, "x"},
		{`{"name":7,"role":"worker","address":"10.0.0.1:80"}`, ""},
		{`{"name":"","role":"worker","address":"10.0.0.1:80"}`, ""},
		{`{"name":"` + strings.Repeat("x", 1000) + `","role":"worker","address":"10.0.0.1:80"}`, strings.Repeat("x", 255)},
		{`7`, ""},
		{`null`, ""},
		{`[]`, ""},
		{`"x"`, ""},
		{nested, ""},
	} {
		vms, refused, err := listed(c, `{"vms":[`+firstVM+`,`+odd.entry+`,`+lastVM+`]}`)
		comment := quicktest.Commentf("%.200s", odd.entry)
		c.Assert(err, quicktest.IsNil, comment)
		c.Assert(refused, quicktest.DeepEquals, []string{odd.name}, comment)
		c.Assert(vms, quicktest.HasLen, 2, comment)
		c.Check(vms[0].Name, quicktest.Equals, "w-1")
		c.Check(vms[1].Name, quicktest.Equals, "m-1")
	}
}

// TestUnclosedListIsAnError guards against a list whose nesting exhausts the stack.
func TestUnclosedListIsAnError(t *testing.T) {
	c := quicktest.New(t)
	_, _, err := listed(c, `{"vms":[`+firstVM+`,`+strings.Repeat("[", 2_000_000))
	c.Assert(err, quicktest.ErrorMatches, "VM list: .*")
}

// TestListAboveSizeLimit guards against a list above the size limit that is reported
// as invalid JSON.
func TestListAboveSizeLimit(t *testing.T) {
	c := quicktest.New(t)
	_, _, err := listed(c, `{"vms":[`+firstVM+strings.Repeat(" ", maxListBytes)+`]}`)
	c.Assert(err, quicktest.ErrorMatches, "VM list: larger than 8388608 bytes")
	vms, _, err := listed(c, `{"vms":[`+firstVM+strings.Repeat(" ", maxListBytes-len(firstVM)-len(`{"vms":[]}`))+`]}`)
	c.Assert(err, quicktest.IsNil)
	c.Assert(vms, quicktest.HasLen, 1)
}

// FuzzEntry guards against an entry that makes the decoder panic or changes how its
// valid neighbours are decoded.
func FuzzEntry(f *testing.F) {
	f.Add([]byte(lastVM))
	f.Add([]byte(`{"name":"x","role":"minion","address":"10.0.0.1:65536","accelerators":1e400}`))
	f.Add([]byte(`[[[[7]]]]`))
	f.Fuzz(func(t *testing.T, entry []byte) {
		if !json.Valid(entry) {
			return // the whole list would be invalid
		}
		want, _, err := parse([]byte(`{"vms":[` + firstVM + `,` + lastVM + `]}`))
		quicktest.Assert(t, err, quicktest.IsNil)
		vms, refused, err := parse([]byte(`{"vms":[` + firstVM + `,` + string(entry) + `,` + lastVM + `]}`))
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, len(refused) <= 1 && len(vms) >= 2 && len(vms)+len(refused) <= 3, quicktest.IsTrue)
		quicktest.Assert(t, slices.Equal([]messenger.VM{vms[0], vms[len(vms)-1]}, want), quicktest.IsTrue)
	})
}
