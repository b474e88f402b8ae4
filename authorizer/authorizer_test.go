package authorizer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/authorizer"
	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/specifier"
)

var start = time.Unix(1_000_000, 0)

func policy() *specifier.Policy {
	return &specifier.Policy{
		Version: 3,
		Queues: []specifier.Queue{
			{Name: "short", Host: "h.example", PathPrefix: "/p/"},
			{Name: "long", Host: "h.example", PathPrefix: "/p/long/"},
			{Name: "open", Host: "o.example", PathPrefix: "/", Public: true},
		},
		Workspaces: []specifier.Workspace{{Name: "w", Keys: []string{"key"}}},
	}
}

// TestAuthorize guards against a request that is admitted to the wrong queue or
// workspace, and against a revoked key that is accepted for too long.
func TestAuthorize(t *testing.T) {
	c := quicktest.New(t)
	current := authorizer.New(policy(), start, 4*time.Second)
	for _, sample := range []struct {
		host, path, key string
		after           time.Duration
		queue           identifier.Queue
		code            classifier.Code
	}{
		{"h.example", "/p/1", "key", 0, "short", classifier.OK},
		{"H.EXAMPLE", "/p/long/1", "key", 0, "long", classifier.OK},
		{"h.example", "/other/1", "key", 0, "", classifier.UnknownQueue},
		{"x.example", "/p/1", "key", 0, "", classifier.UnknownQueue},
		{"h.example", "/p/1", "", 0, "", classifier.Unauthenticated},
		{"h.example", "/p/1", "gone", 0, "", classifier.Unauthenticated},
		{"o.example", "/1", "", 0, "open", classifier.OK},
		{"h.example", "/p/1", "key", 4 * time.Second, "short", classifier.OK},
		{"h.example", "/p/1", "key", 4*time.Second + 1, "", classifier.StaleConfiguration},
	} {
		admission, err := current.Authorize(start.Add(sample.after), sample.host, sample.path, sample.key)
		if sample.code != classifier.OK {
			c.Assert(err.Code, quicktest.Equals, sample.code)
			continue
		}
		c.Assert(err == nil, quicktest.IsTrue)
		c.Assert(admission.Queue.Name, quicktest.Equals, sample.queue)
	}
	renewed := current.Renew(start.Add(5 * time.Second))
	_, err := renewed.Authorize(start.Add(8*time.Second), "h.example", "/p/1", "key")
	c.Assert(err == nil, quicktest.IsTrue)
	_, err = (*authorizer.Authorizer)(nil).Authorize(start, "h.example", "/p/1", "key")
	c.Assert(err.Code, quicktest.Equals, classifier.NotReady)
}

func ExampleAuthorizer_Authorize() {
	now := time.Unix(1_000_000, 0)
	current := authorizer.New(&specifier.Policy{
		Version:    1,
		Queues:     []specifier.Queue{{Name: "draws", Host: "rota.example", PathPrefix: "/draws/"}},
		Workspaces: []specifier.Workspace{{Name: "county", Keys: []string{"secret"}}},
	}, now, 4*time.Second)
	admission, _ := current.Authorize(now, "rota.example", "/draws/5c0e7a21d94b36f8", "secret")
	fmt.Println(admission.Queue.Name, admission.Workspace, admission.RelativePath)
	_, err := current.Authorize(now.Add(time.Minute), "rota.example", "/draws/5c0e7a21d94b36f8", "secret")
	fmt.Println(err.Code.Name())
	// Output:
	// draws county 5c0e7a21d94b36f8
	// stale-configuration
}
