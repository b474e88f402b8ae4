// Package inquirer queries the stand-ins and the nodes for what happened during a
// load.
package inquirer

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

const (
	timeout = 5 * time.Second
	// maxCallsPerQuery is the number of calls in one query for executions.
	maxCallsPerQuery = 1000
)

// Inquirer sends queries over HTTP. It is safe for concurrent use.
type Inquirer struct {
	control netip.AddrPort
	client  *http.Client
}

// New returns an inquirer for the stand-ins whose control address is given.
func New(control netip.AddrPort) *Inquirer {
	return &Inquirer{control: control, client: &http.Client{Timeout: timeout}}
}

// Report holds the part of the stand-ins' report that loadgen uses.
type Report struct {
	Record struct {
		Executions    uint64 `json:"executions"`
		KeysRunTwice  uint64 `json:"keys-run-twice"`
		CallsRunTwice uint64 `json:"calls-run-twice"`
		Dropped       uint64 `json:"dropped-from-record"`
	} `json:"record"`
	Audits         int `json:"audits"`
	GangViolations []struct {
		Worker  string `json:"worker"`
		Missing string `json:"missing"`
	} `json:"gang-parts-alone"`
}

// Report requests the stand-ins' report.
func (inquirer *Inquirer) Report(ctx context.Context) (Report, error) {
	var report Report
	err := inquirer.query(ctx, http.MethodGet, "http://"+inquirer.control.String()+"/report", "", nil, &report)
	return report, err
}

// ExecutedCalls returns the calls that ran at least once.
func (inquirer *Inquirer) ExecutedCalls(ctx context.Context, calls []string) ([]string, error) {
	var ran []string
	for len(calls) > 0 {
		part := calls[:min(maxCallsPerQuery, len(calls))]
		calls = calls[len(part):]
		body, err := json.Marshal(map[string][]string{"calls": part})
		if err != nil {
			return nil, errors.WithStack(err)
		}
		var answer struct {
			Executions map[string]uint64 `json:"executions"`
		}
		err = inquirer.query(ctx, http.MethodPost, "http://"+inquirer.control.String()+"/executions", "", body, &answer)
		if err != nil {
			return nil, err
		}
		for call, executions := range answer.Executions {
			if executions > 0 {
				ran = append(ran, call)
			}
		}
	}
	return ran, nil
}

func (inquirer *Inquirer) query(ctx context.Context, method, url, token string, body []byte, answer any) error {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return errors.WithStack(err)
	}
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := inquirer.client.Do(request)
	if err != nil {
		return errors.WithStack(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("%s responded %s", url, response.Status)
	}
	return errors.Wrapf(json.NewDecoder(response.Body).Decode(answer), "response of %s", url)
}
