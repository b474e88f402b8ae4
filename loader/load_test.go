package loader_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"corianderroad/classifier"
	"corianderroad/loader"
)

const validSettings = `node: gulf-a-1
region: gulf
failure-domain: gulf-a
peer-address: 127.0.0.1:17101
http-address: 127.0.0.1:18101
shared-key: 000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f
peers:
  - node: gulf-a-2
    address: 127.0.0.1:17102
    region: gulf
    failure-domain: gulf-a
log-service: 127.0.0.1:19000
vm-list: 127.0.0.1:19001
founders:
  - organisation: hoop-and-mallet
    operator-token-digest: 000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f
limits:
  drain-timeout: 30s
`

// TestErrorsContainKeyAndLine guards against a node that starts with settings that
// its operator did not intend, and against an error without key and line.
func TestErrorsContainKeyAndLine(t *testing.T) {
	c := quicktest.New(t)
	_, err := loader.Parse([]byte(validSettings))
	c.Assert(err, quicktest.IsNil)
	for _, mistake := range []struct{ old, replacement, key, line string }{
		{"node: gulf-a-1", "nodes: gulf-a-1", "nodes", "line 1"},
		{"drain-timeout: 30s", "drain-timeout: 30", "drain-timeout", "line 18"},
		{"drain-timeout: 30s", "drain-timeout: 30 parsecs", "drain-timeout", "line 18"},
		{"drain-timeout: 30s", "drain-timeout: 1ms", "drain-timeout", "line 18"},
		{"drain-timeout: 30s", "open-calls: 0", "open-calls", "line 18"},
		{"drain-timeout: 30s", "open-calls: many", "open-calls", "line 18"},
		{"127.0.0.1:19001", "vm-list.example:1", "vm-list", "line 13"},
		{"127.0.0.1:17102", "127.0.0.1", "address", "line 9"},
		{"shared-key: 0001", "shared-key: zz01", "shared-key", "line 6"},
		{"    failure-domain: gulf-a\n", "    failure-domain: \"\"\n", "failure-domain", "line 11"},
	} {
		c.Run(mistake.replacement, func(c *quicktest.C) {
			_, err := loader.Parse([]byte(strings.Replace(validSettings, mistake.old, mistake.replacement, 1)))
			c.Assert(classifier.CodeOf(err), quicktest.Equals, classifier.InvalidSettings)
			c.Assert(err, quicktest.ErrorMatches, fmt.Sprintf("(?s).*%s\\b.*%q.*", mistake.line, mistake.key))
		})
	}
}

// FuzzParse guards against settings that crash the process instead of being refused.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("peers: [&a *a]"))
	f.Add([]byte("peers: !00 00"))
	f.Fuzz(func(t *testing.T, text []byte) {
		settings, err := loader.Parse(text)
		if (settings == nil) == (err == nil) {
			t.Fatalf("Parse returned settings %v and error %v", settings, err)
		}
		if err != nil && classifier.CodeOf(err) != classifier.InvalidSettings {
			t.Fatalf("error %v does not have code InvalidSettings", err)
		}
	})
}
