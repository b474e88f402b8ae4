package applier

import (
	"slices"
	"strings"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// maxOrganisations bounds members and newcomers together.
const maxOrganisations = 64

// published is the text in force of a member.
type published struct {
	raw    []byte
	parsed messenger.OrganisationText
}

// configuration is the state of the stream configuration.
type configuration struct {
	parser   TextParser
	founders []identifier.Organisation
	texts    map[identifier.Organisation]published
	pending  map[identifier.Organisation]*pending
	version  identifier.Offset
	folded   *folded
	changed  bool
	// items is the sum of the fingerprints of texts and pending.
	items uint64
}

func newConfiguration(parameters Parameters) *configuration {
	return &configuration{
		parser: parameters.Parser, founders: parameters.Founders,
		texts:   map[identifier.Organisation]published{},
		pending: map[identifier.Organisation]*pending{},
		folded:  newFolded(nil),
	}
}

func (configuration *configuration) fold(read messenger.AppendRead, entry messenger.Entry) verdict {
	if !configuration.folded.add(entry.ID, read.AppendedAt) {
		return verdict{}
	}
	switch record := entry.Record.(type) {
	case messenger.Publication:
		err := configuration.publish(read.Offset, record)
		return verdict{err: err, offset: read.Offset, subject: string(record.Organisation), detail: "publication " + ordinal(read.Offset)}
	case messenger.Approval:
		err := configuration.approve(read.Offset, record)
		return verdict{
			err: err, offset: read.Offset, subject: string(record.Organisation),
			detail: "approval of publication " + ordinal(record.Publication),
		}
	default:
		return verdict{}
	}
}

func (configuration *configuration) advance(read messenger.AppendRead) {
	configuration.folded.expire(read.AppendedAt)
}

func (configuration *configuration) restart(messenger.AppendRead) bool { return false }

func (configuration *configuration) digest() uint64 {
	fingerprint := newFingerprint("configuration")
	fingerprint.number(uint64(configuration.version))
	return fingerprint.sum() + configuration.items + configuration.folded.digest
}

// publish folds a publication: the first one on the current base wins.
func (configuration *configuration) publish(offset identifier.Offset, publication messenger.Publication) *classifier.Error {
	parsed, err := configuration.parse(publication.Organisation, publication.Text)
	if err != nil {
		return err
	}
	if err := configuration.checkBase(publication); err != nil {
		return err
	}
	if err := configuration.checkOwners(parsed); err != nil {
		return err
	}
	if configuration.member(publication.Organisation) || len(configuration.members()) == 0 {
		configuration.put(offset, offset, publication.Text, parsed)
		return nil
	}
	return configuration.await(offset, publication, parsed)
}

// parse reads a text and checks that it is the organisation's own.
func (configuration *configuration) parse(organisation identifier.Organisation, text []byte) (messenger.OrganisationText, *classifier.Error) {
	if configuration.parser == nil {
		return messenger.OrganisationText{}, classifier.New(classifier.Internal, "the node has no parser of service texts")
	}
	parsed, err := configuration.parser.Parse(text)
	if err != nil {
		if coded, ok := err.(*classifier.Error); ok {
			return parsed, coded
		}
		return parsed, classifier.New(classifier.InvalidText, "%v", err)
	}
	if parsed.Organisation != organisation {
		return parsed, classifier.New(classifier.InvalidText, "the text is of organisation %q, published by %q", parsed.Organisation, organisation)
	}
	return parsed, nil
}

// current returns the version on which the next publication must be based, and
// its text. For a newcomer it is the pending publication.
func (configuration *configuration) current(organisation identifier.Organisation) (identifier.Offset, []byte) {
	if text, ok := configuration.texts[organisation]; ok {
		return text.parsed.Version, text.raw
	}
	if pending, ok := configuration.pending[organisation]; ok {
		return pending.offset, pending.raw
	}
	return 0, nil
}

func (configuration *configuration) checkBase(publication messenger.Publication) *classifier.Error {
	current, text := configuration.current(publication.Organisation)
	if publication.Base == current {
		return nil
	}
	return classifier.New(classifier.Conflict, "based on version %d, the current version is %d:\n%s",
		publication.Base, current, difference(text, publication.Text))
}

// checkOwners refuses names and tokens that belong to another member, because
// requests refer to services and workspaces without their organisation.
func (configuration *configuration) checkOwners(parsed messenger.OrganisationText) *classifier.Error {
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

// put brings a text into force. The version is the publication's offset, folded
// the offset of the record that decided it.
func (configuration *configuration) put(folded, version identifier.Offset, raw []byte, parsed messenger.OrganisationText) {
	parsed.Version = version
	if old, ok := configuration.texts[parsed.Organisation]; ok {
		configuration.items -= old.fingerprint()
	}
	text := published{raw: raw, parsed: parsed}
	configuration.texts[parsed.Organisation] = text
	configuration.items += text.fingerprint()
	configuration.version = folded
	configuration.changed = true
}

func (text published) fingerprint() uint64 {
	fingerprint := newFingerprint("published")
	fingerprint.text(string(text.parsed.Organisation))
	fingerprint.number(uint64(text.parsed.Version))
	fingerprint.text(string(text.raw))
	return fingerprint.sum()
}

// members returns founders and approved organisations in the order of their
// names.
func (configuration *configuration) members() []identifier.Organisation {
	members := slices.Clone(configuration.founders)
	for organisation := range configuration.texts {
		members = append(members, organisation)
	}
	slices.Sort(members)
	return slices.Compact(members)
}

func (configuration *configuration) member(organisation identifier.Organisation) bool {
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

func (configuration *configuration) takeChanged() bool {
	changed := configuration.changed
	configuration.changed = false
	return changed
}

// maxDifference bounds the lines of a difference in a message.
const maxDifference = 20

// difference returns the lines in which a publication differs from the current
// text, without the lines that both have at their start and end.
func difference(current, proposed []byte) string {
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
	if len(lines) > maxDifference {
		lines = append(lines[:maxDifference], "...")
	}
	return strings.Join(lines, "\n")
}
