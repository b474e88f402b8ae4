// Package authorizer decides which queue and workspace a request of a caller
// belongs to. An Authorizer is immutable: a new one is created for each policy that
// is read.
package authorizer

import (
	"sort"
	"strings"
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/specifier"
)

// retryDelay is the retry delay of a refusal while no policy is known to be in
// force.
const retryDelay = time.Second

// Authorizer is one policy with the time at which it was known to be in force.
// It is safe for concurrent use.
type Authorizer struct {
	policy *specifier.Policy
	asOf   time.Time
	// validity is how long after asOf the policy counts as in force.
	validity time.Duration
	queues   map[string][]specifier.Queue // by host, the longest prefix first
	keys     map[string]identifier.Workspace
}

// Admission is the queue and the workspace that a request may access.
type Admission struct {
	Queue specifier.Queue
	// Workspace is empty for a public queue that was called without a key.
	Workspace identifier.Workspace
	// RelativePath is the path after the queue's prefix.
	RelativePath string
	// MaxBodyBytes is the largest allowed body, 0 for the default.
	MaxBodyBytes int64
	Version      int64
	// Age is the time since the policy was last known to be in force.
	Age time.Duration
}

// New returns the Authorizer of a policy that was in force at asOf. It admits
// requests until the given validity after asOf has passed. The validity bounds
// how long a revoked key is still accepted.
func New(policy *specifier.Policy, asOf time.Time, validity time.Duration) *Authorizer {
	authorizer := &Authorizer{
		policy: policy, asOf: asOf, validity: validity,
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

// Renew returns an Authorizer of the same policy, which is known to be in force at
// asOf.
func (authorizer *Authorizer) Renew(asOf time.Time) *Authorizer {
	renewed := *authorizer
	renewed.asOf = asOf
	return &renewed
}

// Policy returns the policy, which must not be changed.
func (authorizer *Authorizer) Policy() *specifier.Policy { return authorizer.policy }

// IsFresh reports whether the policy is known to be in force now.
func (authorizer *Authorizer) IsFresh(now time.Time) bool {
	return now.Sub(authorizer.asOf) <= authorizer.validity
}

// Authorize returns the queue and the workspace that a request may access. The
// codes of its error are StaleConfiguration, UnknownQueue and Unauthenticated. A
// nil Authorizer refuses every request with NotReady.
func (authorizer *Authorizer) Authorize(now time.Time, host, path, key string) (Admission, *classifier.Error) {
	if authorizer == nil {
		return Admission{}, classifier.New(classifier.NotReady, "the policy has not been read yet").WithRetryAfter(retryDelay)
	}
	age := now.Sub(authorizer.asOf)
	if age > authorizer.validity {
		err := classifier.New(classifier.StaleConfiguration, "version %d was last known to be in force %s ago",
			authorizer.policy.Version, age.Round(time.Millisecond))
		return Admission{}, err.WithRetryAfter(retryDelay)
	}
	admission := Admission{Version: authorizer.policy.Version, Age: age, MaxBodyBytes: authorizer.policy.MaxBodyBytes}
	found := false
	for _, queue := range authorizer.queues[strings.ToLower(host)] {
		if relativePath, ok := strings.CutPrefix(path, queue.PathPrefix); ok {
			admission.Queue, admission.RelativePath, found = queue, relativePath, true
			break
		}
	}
	if !found {
		return admission, classifier.New(classifier.UnknownQueue, "no queue for host %q and path %q", host, path)
	}
	workspace, exists := authorizer.keys[key]
	if !exists && (!admission.Queue.Public || key != "") {
		return admission, classifier.New(classifier.Unauthenticated, "version %d has no such key", admission.Version)
	}
	admission.Workspace = workspace
	return admission, nil
}
