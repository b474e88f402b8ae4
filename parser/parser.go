// Package parser reads the service text that operators publish. It is strict:
// an unknown key or an impossible value is refused with the key and line.
package parser

import (
	"bytes"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	yamlparser "github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
	"github.com/pkg/errors"

	"corianderroad/classifier"
	"corianderroad/commander"
	"corianderroad/messenger"
)

// Bounds of nesting in brackets and by indentation, above those of the schema.
const (
	maxDepth  = 16
	maxColumn = 64
)

// Parser reads service texts. The zero value is useful and safe for concurrent
// use.
type Parser struct{}

// Parse returns the organisation's text with defaults filled in. Its Version is
// zero. An error has code InvalidText and names the key and line.
func (Parser) Parse(text []byte) (messenger.OrganisationText, error) {
	if len(text) == 0 || len(text) > commander.MaxTextBytes {
		return messenger.OrganisationText{}, classifier.New(classifier.InvalidText,
			"text has %d bytes, must be 1 to %d", len(text), commander.MaxTextBytes)
	}
	root, err := document(text)
	if err != nil {
		return messenger.OrganisationText{}, err
	}
	var schema textSchema
	decoder := yaml.NewDecoder(bytes.NewReader(nil), yaml.Strict())
	if err := decoder.DecodeFromNode(root, &schema); err != nil {
		return messenger.OrganisationText{}, syntaxError(err)
	}
	check := checker{root: root}
	if err := check.fields(&schema); err != nil {
		return messenger.OrganisationText{}, err
	}
	if err := check.text(&schema); err != nil {
		return messenger.OrganisationText{}, err
	}
	return convert(&schema), nil
}

// document returns the single document of a text.
func document(text []byte) (ast.Node, error) {
	tokens := lexer.Tokenize(string(text))
	if err := restrict(tokens); err != nil {
		return nil, err
	}
	file, err := yamlparser.Parse(tokens, 0)
	if err != nil {
		return nil, syntaxError(err)
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		return nil, classifier.New(classifier.InvalidText, "the text must hold one document")
	}
	return file.Docs[0].Body, nil
}

// restrict refuses what no service text needs and what makes the YAML library
// slow or lax: nested aliases expand without bound, deep nesting costs more than
// linear time, and a fraction is rounded where the schema has a whole number.
func restrict(tokens token.Tokens) error {
	depth, line := 0, 0
	for _, each := range tokens {
		refuse := func(reason string) error {
			return classifier.New(classifier.InvalidText, "line %d: %.64q: %s", each.Position.Line, each.Value, reason)
		}
		switch each.Type {
		case token.AnchorType, token.AliasType, token.TagType, token.MergeKeyType, token.MappingKeyType, token.DirectiveType:
			return refuse("anchors, aliases, tags, merge keys, explicit keys and directives are not allowed")
		case token.FloatType, token.InfinityType, token.NanType:
			return refuse("fractions are not allowed, quote it if it is a name")
		case token.SequenceStartType, token.MappingStartType:
			depth++
		case token.SequenceEndType, token.MappingEndType:
			depth--
		}
		if first := each.Position.Line != line; (first || each.Type == token.SequenceEntryType) && each.Position.Column > maxColumn {
			return refuse("is indented too far")
		}
		if depth > maxDepth {
			return refuse("is nested too deeply")
		}
		line = each.Position.Line
	}
	return nil
}

// syntaxError returns an InvalidText error with the line at which the YAML
// library stopped.
func syntaxError(err error) error {
	var located yaml.Error
	if errors.As(err, &located) && located.GetToken() != nil && located.GetToken().Position != nil {
		return classifier.New(classifier.InvalidText, "line %d: %s", located.GetToken().Position.Line, located.GetMessage())
	}
	return classifier.New(classifier.InvalidText, "%v", err)
}
