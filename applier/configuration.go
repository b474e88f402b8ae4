package applier

import (
	"slices"
	"strings"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// maxOrganisations bounds the members and the pending publications together.
const maxOrganisations = 64

// publishedText is the text of a member that is in force.
type publishedText struct {
	raw    []byte
	parsed messenger.OrganisationText
}

// configuration is the state of the configuration stream.
type configuration struct {
	parser       TextParser
	founders     []identifier.Organisation
	texts        map[identifier.Organisation]publishedText
	pending      map[identifier.Organisation]*pendingPublication
	version      identifier.Offset
	deduplicator *deduplicator
	changed      bool
	// itemDigest is the sum of the fingerprints of texts and pending.
	itemDigest uint64
}

func newConfiguration(parameters Parameters) *configuration {
	return &configuration{
		parser: parameters.Parser, founders: parameters.Founders,
		texts:        map[identifier.Organisation]publishedText{},
		pending:      map[identifier.Organisation]*pendingPublication{},
		deduplicator: newDeduplicator(nil),
	}
}

func (configuration *configuration) apply(read messenger.AppendRead, entry messenger.Entry) effect {
	if !configuration.deduplicator.add(entry.ID, read.AppendedAt) {
		return effect{}
	}
	switch record := entry.Record.(type) {
	case messenger.Publication:
		err := configuration.applyPublication(read.Offset, record)
		return effect{err: err, offset: read.Offset, subject: string(record.Organisation), detail: "publication " + formatOffset(read.Offset)}
	case messenger.Approval:
		err := configuration.applyApproval(read.Offset, record)
		return effect{
			err: err, offset: read.Offset, subject: string(record.Organisation),
			detail: "approval of publication " + formatOffset(record.Publication),
		}
	default:
		return effect{}
	}
}

func (configuration *configuration) expire(read messenger.AppendRead) {
	configuration.deduplicator.expire(read.AppendedAt)
}

func (configuration *configuration) restartAt(messenger.AppendRead) bool { return false }

func (configuration *configuration) digest() uint64 {
	fingerprint := newFingerprint("configuration")
	fingerprint.addNumber(uint64(configuration.version))
	return fingerprint.sum() + configuration.itemDigest + configuration.deduplicator.digest
}

// applyPublication applies a publication. Only the first of several publications on
// the same base is accepted.
func (configuration *configuration) applyPublication(offset identifier.Offset, publication messenger.Publication) *classifier.Error {
	parsed, err := configuration.parse(publication.Organisation, publication.Text)
	if err != nil {
		return err
	}
	if err := configuration.checkBase(publication); err != nil {
		return err
	}
	if err := configuration.checkNameOwnership(parsed); err != nil {
		return err
	}
	if configuration.isMember(publication.Organisation) || len(configuration.members()) == 0 {
		configuration.setText(offset, offset, publication.Text, parsed)
		return nil
	}
	return configuration.addPending(offset, publication, parsed)
}

// parse parses a text and checks that it belongs to the given organisation.
func (configuration *configuration) parse(organisation identifier.Organisation, text []byte) (messenger.OrganisationText, *classifier.Error) {
	if configuration.parser == nil {
		return messenger.OrganisationText{}, classifier.New(classifier.Internal, "the node has no parser for service texts")
	}
	parsed, err := configuration.parser.Parse(text)
	if err != nil {
		if coded, ok := err.(*classifier.Error); ok {
			return parsed, coded
		}
		return parsed, classifier.New(classifier.InvalidText, "%v", err)
	}
	if parsed.Organisation != organisation {
		return parsed, classifier.New(classifier.InvalidText, "the text names organisation %q but was published by %q", parsed.Organisation, organisation)
	}
	return parsed, nil
}

// currentVersion returns the version on which the next publication must be based,
// and its text. For a non-member it is the pending publication.
func (configuration *configuration) currentVersion(organisation identifier.Organisation) (identifier.Offset, []byte) {
	if text, ok := configuration.texts[organisation]; ok {
		return text.parsed.Version, text.raw
	}
	if pending, ok := configuration.pending[organisation]; ok {
		return pending.offset, pending.raw
	}
	return 0, nil
}

func (configuration *configuration) checkBase(publication messenger.Publication) *classifier.Error {
	current, text := configuration.currentVersion(publication.Organisation)
	if publication.Base == current {
		return nil
	}
	return classifier.New(classifier.Conflict, "based on version %d, the current version is %d:\n%s",
		publication.Base, current, diffLines(text, publication.Text))
}

// checkNameOwnership refuses names and tokens that belong to another member,
// because requests refer to services and workspaces without their organisation.
func (configuration *configuration) checkNameOwnership(parsed messenger.OrganisationText) *classifier.Error {
	for _, owner := range configuration.members() {
		text, ok := configuration.texts[owner]
		if !ok || owner == parsed.Organisation {
			continue
		}
		for _, service := range text.parsed.Services {
			if slices.ContainsFunc(parsed.Services, func(own messenger.ServiceSpec) bool { return own.Service == service.Service }) {
				return classifier.New(classifier.InvalidText, "service %q belongs to organisation %q", service.Service, owner)
			}
		}
		for _, workspace := range text.parsed.Workspaces {
			if slices.ContainsFunc(parsed.Workspaces, func(own messenger.WorkspaceSpec) bool {
				return own.Workspace == workspace.Workspace || own.TokenDigest == workspace.TokenDigest
			}) {
				return classifier.New(classifier.InvalidText, "workspace %q or its token belongs to organisation %q", workspace.Workspace, owner)
			}
		}
	}
	return nil
}

// setText puts a text into force. Version is the offset of the publication, and
// decidedAt is the offset of the record that puts it into force.
func (configuration *configuration) setText(decidedAt, version identifier.Offset, raw []byte, parsed messenger.OrganisationText) {
	parsed.Version = version
	if replaced, ok := configuration.texts[parsed.Organisation]; ok {
		configuration.itemDigest -= replaced.fingerprint()
	}
	text := publishedText{raw: raw, parsed: parsed}
	configuration.texts[parsed.Organisation] = text
	configuration.itemDigest += text.fingerprint()
	configuration.version = decidedAt
	configuration.changed = true
}

func (text publishedText) fingerprint() uint64 {
	fingerprint := newFingerprint("published")
	fingerprint.addText(string(text.parsed.Organisation))
	fingerprint.addNumber(uint64(text.parsed.Version))
	fingerprint.addText(string(text.raw))
	return fingerprint.sum()
}

// members returns the founders and the approved organisations, sorted by name.
func (configuration *configuration) members() []identifier.Organisation {
	members := slices.Clone(configuration.founders)
	for organisation := range configuration.texts {
		members = append(members, organisation)
	}
	slices.Sort(members)
	return slices.Compact(members)
}

func (configuration *configuration) isMember(organisation identifier.Organisation) bool {
	_, published := configuration.texts[organisation]
	return published || slices.Contains(configuration.founders, organisation)
}

// value returns the configuration for the other state machines.
func (configuration *configuration) value() *messenger.Configuration {
	value := &messenger.Configuration{Version: configuration.version}
	for _, organisation := range configuration.members() {
		if text, ok := configuration.texts[organisation]; ok {
			value.Organisations = append(value.Organisations, text.parsed)
		}
	}
	return value
}

// resetChanged reports whether a text was put into force since the last call.
func (configuration *configuration) resetChanged() bool {
	changed := configuration.changed
	configuration.changed = false
	return changed
}

// maxDiffLines bounds the lines of a difference in an error message.
const maxDiffLines = 20

// diffLines returns the lines of the current and the proposed text without their
// common first and last lines.
func diffLines(current, proposed []byte) string {
	before, after := strings.Split(string(current), "\n"), strings.Split(string(proposed), "\n")
	for len(before) > 0 && len(after) > 0 && before[0] == after[0] {
		before, after = before[1:], after[1:]
	}
	for len(before) > 0 && len(after) > 0 && before[len(before)-1] == after[len(after)-1] {
		before, after = before[:len(before)-1], after[:len(after)-1]
	}
	var lines []string
	for _, line := range before {
		lines = append(lines, "- "+line)
	}
	for _, line := range after {
		lines = append(lines, "+ "+line)
	}
	if len(lines) > maxDiffLines {
		lines = append(lines[:maxDiffLines], "...")
	}
	return strings.Join(lines, "\n")
}
