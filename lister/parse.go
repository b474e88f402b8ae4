package lister

import (
	"encoding/json"
	"net/netip"
	"strings"

	"github.com/pkg/errors"

	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
	"corianderroad/splitter"
)

// vm is the JSON form of an entry.
type vm struct {
	Name          string `json:"name"`
	Role          string `json:"role"`
	Address       string `json:"address"`
	State         string `json:"state"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure-domain"`
	Rack          string `json:"rack"`
	Service       string `json:"service"`
	Accelerators  int    `json:"accelerators"`
}

// refusal is an entry that is invalid.
type refusal struct {
	name   string
	reason error
}

// maxReasonBytes bounds the reason of a refusal, which may contain the entry's text.
const maxReasonBytes = 200

// parse decodes a list. It skips entries with an unknown role, so that a new kind of
// VM does not make the rest of the list unusable, and returns those that are invalid.
func parse(body []byte) ([]messenger.VM, []refusal, error) {
	members, err := splitter.Members(body)
	if err != nil {
		return nil, nil, errors.Wrap(err, "VM list")
	}
	entries := members["vms"]
	if len(entries) == 0 || string(entries) == "null" {
		return nil, nil, nil
	}
	elements, err := splitter.Elements(entries)
	if err != nil {
		return nil, nil, errors.Wrap(err, "VM list")
	}
	vms := make([]messenger.VM, 0, len(elements))
	var refused []refusal
	for _, element := range elements {
		vm, known, err := parseEntry(element)
		switch {
		case err != nil:
			refused = append(refused, refusal{entryName(element), errors.Errorf("%.*s", maxReasonBytes, err)})
		case known:
			vms = append(vms, vm)
		}
	}
	return vms, refused, nil
}

// parseEntry decodes and checks an entry. It reports whether the role is known.
func parseEntry(entry json.RawMessage) (messenger.VM, bool, error) {
	var wire vm
	if err := json.Unmarshal(entry, &wire); err != nil {
		return messenger.VM{}, false, errors.WithStack(err)
	}
	role, known := roles[wire.Role]
	if !known {
		return messenger.VM{}, false, specifier.CheckName("VM", wire.Name)
	}
	address, err := netip.ParseAddrPort(wire.Address)
	if err != nil {
		return messenger.VM{}, false, errors.WithStack(err)
	}
	listed := messenger.VM{
		Name:          wire.Name,
		Role:          role,
		Address:       address,
		Leaving:       wire.State == "leaving",
		Region:        identifier.Region(wire.Region),
		FailureDomain: identifier.FailureDomain(wire.FailureDomain),
		Rack:          identifier.Rack(wire.Rack),
		Service:       identifier.Service(wire.Service),
		Accelerators:  wire.Accelerators,
	}
	return listed, true, listed.Check()
}

// entryName returns the name in an invalid entry for the log, empty if it can't be
// read.
func entryName(entry json.RawMessage) string {
	members, err := splitter.Members(entry)
	var name string
	if err != nil || json.Unmarshal(members["name"], &name) != nil {
		return ""
	}
	return strings.ToValidUTF8(name[:min(len(name), specifier.MaxNameBytes)], "")
}

var roles = map[string]messenger.VMRole{
	"entry":  messenger.EntryVM,
	"worker": messenger.WorkerVM,
	"minion": messenger.MinionVM,
}
