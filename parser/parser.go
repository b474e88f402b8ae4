// Package parser parses the service text that operators publish. It is strict: it
// refuses an unknown key or an invalid value with an error that contains the key
// and line.
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

// Bounds of nesting in brackets and by indentation. The schema needs less.
const (
	maxDepth  = 16
	maxColumn = 64
)

// Parser parses service texts. The zero value is useful and safe for concurrent
// use.
type Parser struct{}

// Parse returns the organisation's text with defaults filled in. Its Version is
// zero. An error has code InvalidText and contains the key and line.
func (Parser) Parse(text []byte) (messenger.OrganisationText, error) {
	if len(text) == 0 || len(text) > commander.MaxTextBytes {
		return messenger.OrganisationText{}, classifier.New(classifier.InvalidText,
			"text has %d bytes, must be 1 to %d", len(text), commander.MaxTextBytes)
	}
	root, err := parseDocument(text)
	if err != nil {
		return messenger.OrganisationText{}, err
	}
	var schema textSchema
	decoder := yaml.NewDecoder(bytes.NewReader(nil), yaml.Strict())
	if err := decoder.DecodeFromNode(root, &schema); err != nil {
		return messenger.OrganisationText{}, syntaxError(err)
	}
	checker := checker{root: root}
	if err := checker.checkFields(&schema); err != nil {
		return messenger.OrganisationText{}, err
	}
	if err := checker.checkText(&schema); err != nil {
		return messenger.OrganisationText{}, err
	}
	return convert(&schema), nil
}

// parseDocument returns the single YAML document of a text.
func parseDocument(text []byte) (ast.Node, error) {
	tokens := lexer.Tokenize(string(text))
	if err := checkTokens(tokens); err != nil {
		return nil, err
	}
	file, err := yamlparser.Parse(tokens, 0)
	if err != nil {
		return nil, syntaxError(err)
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		return nil, classifier.New(classifier.InvalidText, "the text must contain exactly one YAML document")
	}
	return file.Docs[0].Body, nil
}

// checkTokens refuses YAML that no service text needs and that makes the YAML
// library slow or lax: nested aliases expand without bound, deep nesting takes more
// than linear time, and a fraction is rounded where the schema has an integer.
func checkTokens(tokens token.Tokens) error {
	depth, line := 0, 0
	for _, current := range tokens {
		refusal := func(reason string) error {
			return classifier.New(classifier.InvalidText, "line %d: %.64q: %s", current.Position.Line, current.Value, reason)
		}
		switch current.Type {
		case token.AnchorType, token.AliasType, token.TagType, token.MergeKeyType, token.MappingKeyType, token.DirectiveType:
			return refusal("anchors, aliases, tags, merge keys, explicit keys and directives are not allowed")
		case token.FloatType, token.InfinityType, token.NanType:
			return refusal("fractions are not allowed; quote the value if it is a name")
		case token.SequenceStartType, token.MappingStartType:
			depth++
		case token.SequenceEndType, token.MappingEndType:
			depth--
		}
		if first := current.Position.Line != line; (first || current.Type == token.SequenceEntryType) && current.Position.Column > maxColumn {
			return refusal("is indented too far")
		}
		if depth > maxDepth {
			return refusal("is nested too deeply")
		}
		line = current.Position.Line
	}
	return nil
}

// syntaxError returns an InvalidText error with the line at which the YAML
// library stopped.
func syntaxError(err error) error {
	var yamlError yaml.Error
	if errors.As(err, &yamlError) && yamlError.GetToken() != nil && yamlError.GetToken().Position != nil {
		return classifier.New(classifier.InvalidText, "line %d: %s", yamlError.GetToken().Position.Line, yamlError.GetMessage())
	}
	return classifier.New(classifier.InvalidText, "%v", err)
}
