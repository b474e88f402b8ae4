// Package authorizer decides which queue and workspace a request of a caller
// belongs to. An Authorizer is immutable: each policy that is read makes a new one.
package authorizer

import (
	"sort"
	"strings"
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/specifier"
)

// comeBack is the hint of a refusal for lack of a fresh policy.
const comeBack = time.Second

// Authorizer is one policy with the time at which it was known to be in force.
// It is safe for concurrent use.
type Authorizer struct {
	policy *specifier.Policy
	asOf   time.Time
	fresh  time.Duration
	queues map[string][]specifier.Queue // by host, the longest prefix first
	keys   map[string]identifier.Workspace
}

// Admission is what a request may act on.
type Admission struct {
	Queue specifier.Queue
	// Workspace is empty for a public queue that was called without a key.
	Workspace identifier.Workspace
	// Rest is the path after the queue's prefix.
	Rest string
	// MaxBodyBytes bounds the body, 0 for the default.
	MaxBodyBytes int64
	Version      int64
	// Age is how long ago the policy was known to be in force.
	Age time.Duration
}

// New returns the Authorizer of a policy that was in force at asOf. It admits
// requests for the given time after that, within which a withdrawn key must
// not be honoured any more.
func New(policy *specifier.Policy, asOf time.Time, fresh time.Duration) *Authorizer {
	authorizer := &Authorizer{
		policy: policy, asOf: asOf, fresh: fresh,
		queues: make(map[string][]specifier.Queue), keys: make(map[string]identifier.Workspace),
	}
	for _, queue := range policy.Queues {
		authorizer.queues[queue.Host] = append(authorizer.queues[queue.Host], queue)
	}
	for _, queues := range authorizer.queues {
		sort.SliceStable(queues, func(i, j int) bool { return len(queues[i].PathPrefix) > len(queues[j].PathPrefix) })
	}
	for _, workspace := range policy.Workspaces {
		for _, key := range workspace.Keys {
			authorizer.keys[key] = workspace.Name
		}
	}
	return authorizer
}

// Renew returns the same policy as known to be in force at asOf.
func (authorizer *Authorizer) Renew(asOf time.Time) *Authorizer {
	renewed := *authorizer
	renewed.asOf = asOf
	return &renewed
}

// Policy returns the policy, which must not be changed.
func (authorizer *Authorizer) Policy() *specifier.Policy { return authorizer.policy }

// Fresh reports whether the policy is known to be in force now.
func (authorizer *Authorizer) Fresh(now time.Time) bool {
	return now.Sub(authorizer.asOf) <= authorizer.fresh
}

// Admit returns what a request may act on. Codes of its error:
// StaleConfiguration, UnknownQueue, Unauthenticated. A nil Authorizer refuses
// with NotReady.
func (authorizer *Authorizer) Admit(now time.Time, host, path, key string) (Admission, *classifier.Error) {
	if authorizer == nil {
		return Admission{}, classifier.New(classifier.NotReady, "the configuration has not been read yet").WithRetryAfter(comeBack)
	}
	age := now.Sub(authorizer.asOf)
	if age > authorizer.fresh {
		err := classifier.New(classifier.StaleConfiguration, "version %d was last known to be in force %s ago",
			authorizer.policy.Version, age.Round(time.Millisecond))
		return Admission{}, err.WithRetryAfter(comeBack)
	}
	admission := Admission{Version: authorizer.policy.Version, Age: age, MaxBodyBytes: authorizer.policy.MaxBodyBytes}
	found := false
	for _, queue := range authorizer.queues[strings.ToLower(host)] {
		if rest, ok := strings.CutPrefix(path, queue.PathPrefix); ok {
			admission.Queue, admission.Rest, found = queue, rest, true
			break
		}
	}
	if !found {
		return admission, classifier.New(classifier.UnknownQueue, "no queue for host %q and path %q", host, path)
	}
	workspace, known := authorizer.keys[key]
	if !known && (!admission.Queue.Public || key != "") {
		return admission, classifier.New(classifier.Unauthenticated, "version %d has no such key", admission.Version)
	}
	admission.Workspace = workspace
	return admission, nil
}
