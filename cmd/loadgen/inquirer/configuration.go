package inquirer

import (
	"context"
	"net/http"
	"net/netip"

	"corianderroad/identifier"
)

// InForce reports on which nodes the newest configuration is in force.
type InForce struct {
	Current, Total int
	// Behind are the nodes that reported an older configuration.
	Behind      []identifier.Node
	Unavailable []identifier.Node
}

type organisation struct {
	Organisation identifier.Organisation `json:"organisation"`
	Version      identifier.Offset       `json:"version"`
}

type status struct {
	Nodes []struct {
		Node          identifier.Node `json:"node"`
		Configuration []organisation  `json:"configuration"`
	} `json:"nodes"`
	Unresponsive []identifier.Node `json:"silent"`
}

// InForce queries a node for the status of the deployment.
func (inquirer *Inquirer) InForce(ctx context.Context, entry netip.AddrPort, token string) (InForce, error) {
	var answer status
	err := inquirer.query(ctx, http.MethodGet, "http://"+entry.String()+"/v1/queries/status", token, nil, &answer)
	if err != nil {
		return InForce{}, err
	}
	return compareVersions(answer), nil
}

func compareVersions(answer status) InForce {
	newest := make(map[identifier.Organisation]identifier.Offset)
	for _, node := range answer.Nodes {
		for _, text := range node.Configuration {
			newest[text.Organisation] = max(newest[text.Organisation], text.Version)
		}
	}
	inForce := InForce{Total: len(answer.Nodes) + len(answer.Unresponsive), Unavailable: answer.Unresponsive}
	for _, node := range answer.Nodes {
		versions := make(map[identifier.Organisation]identifier.Offset)
		for _, text := range node.Configuration {
			versions[text.Organisation] = text.Version
		}
		current := true
		for name, version := range newest {
			current = current && versions[name] == version
		}
		if current {
			inForce.Current++
		} else {
			inForce.Behind = append(inForce.Behind, node.Node)
		}
	}
	return inForce
}
