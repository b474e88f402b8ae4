package applier

import (
	"maps"
	"slices"
	"strconv"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// pendingPublication is a publication by an organisation that is not a member yet.
// It waits for the approval of all members.
type pendingPublication struct {
	offset    identifier.Offset
	raw       []byte
	parsed    messenger.OrganisationText
	approvals map[identifier.Organisation]bool
}

// addPending stores the publication of a non-member. It replaces an earlier one of
// the organisation and needs all approvals again, because members approve the
// text and not the organisation.
func (configuration *configuration) addPending(
	offset identifier.Offset, publication messenger.Publication, parsed messenger.OrganisationText,
) *classifier.Error {
	_, replaces := configuration.pending[publication.Organisation]
	if !replaces && len(configuration.members())+len(configuration.pending) >= maxOrganisations {
		return classifier.New(classifier.QuotaExceeded, "the deployment has its maximum of %d organisations", maxOrganisations)
	}
	configuration.removePending(publication.Organisation)
	pending := &pendingPublication{offset: offset, raw: publication.Text, parsed: parsed, approvals: map[identifier.Organisation]bool{}}
	configuration.pending[publication.Organisation] = pending
	configuration.itemDigest += pending.fingerprint()
	return classifier.New(classifier.PendingApproval, "publication %d awaits the approval of %v", offset, configuration.missingApprovals(pending))
}

func (configuration *configuration) removePending(organisation identifier.Organisation) {
	if replaced, ok := configuration.pending[organisation]; ok {
		configuration.itemDigest -= replaced.fingerprint()
		delete(configuration.pending, organisation)
	}
}

// missingApprovals returns the members that have not approved a publication.
// A member that joined after the publication has to approve it as well.
func (configuration *configuration) missingApprovals(pending *pendingPublication) []identifier.Organisation {
	var missing []identifier.Organisation
	for _, member := range configuration.members() {
		if !pending.approvals[member] {
			missing = append(missing, member)
		}
	}
	return missing
}

// checkApproval returns the pending publication that an approval refers to.
func (configuration *configuration) checkApproval(approval messenger.Approval) (*pendingPublication, *classifier.Error) {
	if !configuration.isMember(approval.Organisation) {
		return nil, classifier.New(classifier.Forbidden, "organisation %q is not a member", approval.Organisation)
	}
	for _, pending := range configuration.pendingPublications() {
		if pending.offset != approval.Publication {
			continue
		}
		if pending.approvals[approval.Organisation] {
			return nil, classifier.New(classifier.AlreadyApproved, "organisation %q has already approved publication %d",
				approval.Organisation, approval.Publication)
		}
		return pending, nil
	}
	return nil, classifier.New(classifier.UnknownOffset, "no pending publication has offset %d", approval.Publication)
}

// applyApproval applies an approval. The last missing approval makes the
// publishing organisation a member.
func (configuration *configuration) applyApproval(offset identifier.Offset, approval messenger.Approval) *classifier.Error {
	pending, err := configuration.checkApproval(approval)
	if err != nil {
		return err
	}
	configuration.itemDigest -= pending.fingerprint()
	pending.approvals[approval.Organisation] = true
	configuration.itemDigest += pending.fingerprint()
	if len(configuration.missingApprovals(pending)) > 0 {
		return nil
	}
	// A member may have published one of the names in the meantime. The publication
	// then stays pending, and the organisation can publish another text.
	if err := configuration.checkNameOwnership(pending.parsed); err != nil {
		return err
	}
	configuration.removePending(pending.parsed.Organisation)
	configuration.setText(offset, pending.offset, pending.raw, pending.parsed)
	return nil
}

// pendingPublications returns the pending publications, sorted by organisation.
func (configuration *configuration) pendingPublications() []*pendingPublication {
	pending := make([]*pendingPublication, 0, len(configuration.pending))
	for _, organisation := range slices.Sorted(maps.Keys(configuration.pending)) {
		pending = append(pending, configuration.pending[organisation])
	}
	return pending
}

func (pending *pendingPublication) fingerprint() uint64 {
	fingerprint := newFingerprint("pending")
	fingerprint.addText(string(pending.parsed.Organisation))
	fingerprint.addNumber(uint64(pending.offset))
	fingerprint.addText(string(pending.raw))
	for _, organisation := range slices.Sorted(maps.Keys(pending.approvals)) {
		fingerprint.addText(string(organisation))
	}
	return fingerprint.sum()
}

func formatOffset(offset identifier.Offset) string { return strconv.FormatUint(uint64(offset), 10) }
