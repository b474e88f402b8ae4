package stager

import (
	"fmt"

	"corianderroad/identifier"
)

// All nodes are in one failure domain, and all domains in one region.
const (
	nodeDomain = "a"
	region     = "r"
)

// domain returns the failure domain of the minion. Each rack is one.
func (minion *Minion) domain() identifier.FailureDomain { return domainOf(minion.index) }

func domainOf(index int) identifier.FailureDomain {
	return identifier.FailureDomain(fmt.Sprintf("z-%d", index/minionsPerRack))
}

// Domains returns the failure domains that have minions.
func (deployment *Deployment) Domains() []identifier.FailureDomain {
	var domains []identifier.FailureDomain
	for index := 0; index < len(deployment.Minions); index += minionsPerRack {
		domains = append(domains, domainOf(index))
	}
	return domains
}

// zones returns the region of each failure domain, as the settings of the nodes have them.
func (deployment *Deployment) zones() map[identifier.FailureDomain]identifier.Region {
	zones := map[identifier.FailureDomain]identifier.Region{nodeDomain: region}
	for _, domain := range deployment.Domains() {
		zones[domain] = region
	}
	return zones
}

// Evacuate requests the evacuation of a failure domain.
func (deployment *Deployment) Evacuate(domain identifier.FailureDomain) {
	deployment.Store.Write("keyed.op", evacuationKey(domain), "{}")
	deployment.Checker.Evacuated(domain)
}

// WithdrawEvacuation withdraws the request for a failure domain.
func (deployment *Deployment) WithdrawEvacuation(domain identifier.FailureDomain) {
	deployment.Checker.EvacuationWithdrawn(domain)
	deployment.Store.Write("keyed.op", evacuationKey(domain), "")
}

func evacuationKey(domain identifier.FailureDomain) string { return "evacuate/" + string(domain) }
