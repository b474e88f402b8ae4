package inquirer

import (
	"context"
	"net/http"
	"net/netip"

	"corianderroad/identifier"
)

// InForce says on how many nodes the newest configuration is in force.
type InForce struct {
	Nodes, Of int
	// Behind are nodes that answered with an older configuration.
	Behind []identifier.Node
	Silent []identifier.Node
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
	Silent []identifier.Node `json:"silent"`
}

// InForce asks a node for the status of the deployment.
func (inquirer *Inquirer) InForce(ctx context.Context, entry netip.AddrPort, token string) (InForce, error) {
	var answer status
	err := inquirer.ask(ctx, http.MethodGet, "http://"+entry.String()+"/v1/queries/status", token, nil, &answer)
	if err != nil {
		return InForce{}, err
	}
	return compare(answer), nil
}

func compare(answer status) InForce {
	newest := make(map[identifier.Organisation]identifier.Offset)
	for _, node := range answer.Nodes {
		for _, text := range node.Configuration {
			newest[text.Organisation] = max(newest[text.Organisation], text.Version)
		}
	}
	inForce := InForce{Of: len(answer.Nodes) + len(answer.Silent), Silent: answer.Silent}
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
			inForce.Nodes++
		} else {
			inForce.Behind = append(inForce.Behind, node.Node)
		}
	}
	return inForce
}
