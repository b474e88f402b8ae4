// Package inquirer asks the stand-ins and the nodes what really happened.
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
	// chunk is the number of calls in one question about executions.
	chunk = 1000
)

// Inquirer asks questions over HTTP. It is safe for concurrent use.
type Inquirer struct {
	control netip.AddrPort
	client  *http.Client
}

// New returns an inquirer of the stand-ins at control.
func New(control netip.AddrPort) *Inquirer {
	return &Inquirer{control: control, client: &http.Client{Timeout: timeout}}
}

// Report is what loadgen needs of the stand-ins' report.
type Report struct {
	Record struct {
		Executions uint64 `json:"executions"`
		KeysTwice  uint64 `json:"keys-run-twice"`
		CallsTwice uint64 `json:"calls-run-twice"`
		Dropped    uint64 `json:"dropped-from-record"`
	} `json:"record"`
	Audits     int `json:"audits"`
	PartsAlone []struct {
		Worker  string `json:"worker"`
		Missing string `json:"missing"`
	} `json:"gang-parts-alone"`
}

// Report asks the stand-ins what they have seen.
func (inquirer *Inquirer) Report(ctx context.Context) (Report, error) {
	var report Report
	err := inquirer.ask(ctx, http.MethodGet, "http://"+inquirer.control.String()+"/report", "", nil, &report)
	return report, err
}

// Ran returns the calls that ran at least once.
func (inquirer *Inquirer) Ran(ctx context.Context, calls []string) ([]string, error) {
	var ran []string
	for len(calls) > 0 {
		part := calls[:min(chunk, len(calls))]
		calls = calls[len(part):]
		question, err := json.Marshal(map[string][]string{"calls": part})
		if err != nil {
			return nil, errors.WithStack(err)
		}
		var answer struct {
			Executions map[string]uint64 `json:"executions"`
		}
		err = inquirer.ask(ctx, http.MethodPost, "http://"+inquirer.control.String()+"/executions", "", question, &answer)
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

func (inquirer *Inquirer) ask(ctx context.Context, method, url, token string, question []byte, answer any) error {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(question))
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
		return errors.Errorf("%s answered %s", url, response.Status)
	}
	return errors.Wrapf(json.NewDecoder(response.Body).Decode(answer), "answer of %s", url)
}
