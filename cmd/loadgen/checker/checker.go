// Package checker checks that an answer is complete and belongs to its call.
package checker

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"corianderroad/cmd/loadgen/planner"
)

// Finding is the result of a check.
type Finding uint8

// Findings about an answer.
const (
	// Valid is the complete answer to the call.
	Valid Finding = iota
	// Incomplete is an answer that cannot be read.
	Incomplete
	// Foreign is the answer to another call.
	Foreign
)

// CheckAnswer checks the body of a successful answer.
func CheckAnswer(call planner.Call, body []byte) Finding {
	var receipt struct {
		Method        string `json:"method"`
		Workspace     string `json:"workspace"`
		RequestDigest string `json:"request-digest"`
	}
	if json.Unmarshal(body, &receipt) != nil || receipt.RequestDigest == "" {
		return Incomplete
	}
	matches := receipt.RequestDigest == fmt.Sprintf("%016x", xxhash.Sum64(call.Body)) &&
		receipt.Workspace == string(call.Workspace.Name) &&
		receipt.Method == string(call.Kind.Method)
	if !matches {
		return Foreign
	}
	return Valid
}

// Refusal is an answer with the reason why the call was not served.
type Refusal struct {
	Name string
	// Ran is "not-run", "ran" or "unknown".
	Ran        string
	RetryAfter time.Duration
}

// ParseRefusal reads a refusal. It returns false if the body is not a refusal.
func ParseRefusal(body []byte) (Refusal, bool) {
	var refusal struct {
		Name       string `json:"name"`
		Ran        string `json:"ran"`
		RetryAfter string `json:"retry-after"`
	}
	if json.Unmarshal(body, &refusal) != nil || refusal.Name == "" || refusal.Ran == "" {
		return Refusal{}, false
	}
	retryAfter, err := time.ParseDuration(refusal.RetryAfter)
	if err != nil {
		retryAfter = 0
	}
	return Refusal{Name: refusal.Name, Ran: refusal.Ran, RetryAfter: retryAfter}, true
}
