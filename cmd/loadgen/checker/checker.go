// Package checker tells whether an answer is whole and belongs to its call.
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
	// Whole is the complete answer to the call.
	Whole Finding = iota
	// Incomplete is not a readable answer.
	Incomplete
	// Foreign is the answer to another call.
	Foreign
)

// Answer checks the body of a successful answer.
func Answer(call planner.Call, body []byte) Finding {
	var receipt struct {
		Method        string `json:"method"`
		Workspace     string `json:"workspace"`
		RequestDigest string `json:"request-digest"`
	}
	if json.Unmarshal(body, &receipt) != nil || receipt.RequestDigest == "" {
		return Incomplete
	}
	own := receipt.RequestDigest == fmt.Sprintf("%016x", xxhash.Sum64(call.Body)) &&
		receipt.Workspace == string(call.Workspace.Name) &&
		receipt.Method == string(call.Kind.Method)
	if !own {
		return Foreign
	}
	return Whole
}

// Refusal is an answer that states why the call was not served.
type Refusal struct {
	Name string
	// Ran is "not-run", "ran" or "unknown".
	Ran        string
	RetryAfter time.Duration
}

// Refused reads a refusal. It returns false if the body is none.
func Refused(body []byte) (Refusal, bool) {
	var refusal struct {
		Name       string `json:"name"`
		Ran        string `json:"ran"`
		RetryAfter string `json:"retry-after"`
	}
	if json.Unmarshal(body, &refusal) != nil || refusal.Name == "" || refusal.Ran == "" {
		return Refusal{}, false
	}
	hint, err := time.ParseDuration(refusal.RetryAfter)
	if err != nil {
		hint = 0
	}
	return Refusal{Name: refusal.Name, Ran: refusal.Ran, RetryAfter: hint}, true
}
