package applier

import (
	"maps"
	"slices"
	"strconv"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// pending is a newcomer's publication that awaits approvals.
type pending struct {
	offset    identifier.Offset
	raw       []byte
	parsed    messenger.OrganisationText
	approvals map[identifier.Organisation]bool
}

// await keeps a newcomer's publication. A newer one replaces it and needs all
// approvals again, because members approved the text and not the name.
func (configuration *configuration) await(
	offset identifier.Offset, publication messenger.Publication, parsed messenger.OrganisationText,
) *classifier.Error {
	_, replaces := configuration.pending[publication.Organisation]
	if !replaces && len(configuration.members())+len(configuration.pending) >= maxOrganisations {
		return classifier.New(classifier.QuotaExceeded, "the deployment has its maximum of %d organisations", maxOrganisations)
	}
	configuration.drop(publication.Organisation)
	newcomer := &pending{offset: offset, raw: publication.Text, parsed: parsed, approvals: map[identifier.Organisation]bool{}}
	configuration.pending[publication.Organisation] = newcomer
	configuration.items += newcomer.fingerprint()
	return classifier.New(classifier.PendingApproval, "publication %d awaits the approval of %v", offset, configuration.missing(newcomer))
}

func (configuration *configuration) drop(organisation identifier.Organisation) {
	if old, ok := configuration.pending[organisation]; ok {
		configuration.items -= old.fingerprint()
		delete(configuration.pending, organisation)
	}
}

// missing returns the members that have not approved. A member that joined
// after the publication has to approve it as well.
func (configuration *configuration) missing(newcomer *pending) []identifier.Organisation {
	var missing []identifier.Organisation
	for _, member := range configuration.members() {
		if !newcomer.approvals[member] {
			missing = append(missing, member)
		}
	}
	return missing
}

// checkApproval returns the pending publication that an approval refers to.
func (configuration *configuration) checkApproval(approval messenger.Approval) (*pending, *classifier.Error) {
	if !configuration.member(approval.Organisation) {
		return nil, classifier.New(classifier.Forbidden, "organisation %q is not a member", approval.Organisation)
	}
	for _, newcomer := range configuration.newcomers() {
		if newcomer.offset != approval.Publication {
			continue
		}
		if newcomer.approvals[approval.Organisation] {
			return nil, classifier.New(classifier.AlreadyApproved, "organisation %q has approved publication %d before",
				approval.Organisation, approval.Publication)
		}
		return newcomer, nil
	}
	return nil, classifier.New(classifier.UnknownOffset, "no pending publication has offset %d", approval.Publication)
}

// approve folds an approval. The newcomer joins with the last missing one.
func (configuration *configuration) approve(offset identifier.Offset, approval messenger.Approval) *classifier.Error {
	newcomer, err := configuration.checkApproval(approval)
	if err != nil {
		return err
	}
	configuration.items -= newcomer.fingerprint()
	newcomer.approvals[approval.Organisation] = true
	configuration.items += newcomer.fingerprint()
	if len(configuration.missing(newcomer)) > 0 {
		return nil
	}
	// Members may have taken the newcomer's names since it published. It stays
	// pending and can publish another text.
	if err := configuration.checkOwners(newcomer.parsed); err != nil {
		return err
	}
	configuration.drop(newcomer.parsed.Organisation)
	configuration.put(offset, newcomer.offset, newcomer.raw, newcomer.parsed)
	return nil
}

// newcomers returns the pending publications in the order of their organisations.
func (configuration *configuration) newcomers() []*pending {
	newcomers := make([]*pending, 0, len(configuration.pending))
	for _, organisation := range slices.Sorted(maps.Keys(configuration.pending)) {
		newcomers = append(newcomers, configuration.pending[organisation])
	}
	return newcomers
}

func (newcomer *pending) fingerprint() uint64 {
	fingerprint := newFingerprint("pending")
	fingerprint.text(string(newcomer.parsed.Organisation))
	fingerprint.number(uint64(newcomer.offset))
	fingerprint.text(string(newcomer.raw))
	for _, organisation := range slices.Sorted(maps.Keys(newcomer.approvals)) {
		fingerprint.text(string(organisation))
	}
	return fingerprint.sum()
}

func ordinal(offset identifier.Offset) string { return strconv.FormatUint(uint64(offset), 10) }
