// Package parser reads the service text that operators publish. It is strict:
// an unknown key or an impossible value is refused with the key and line.
package parser

import (
	"bytes"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	yamlparser "github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"

	"corianderroad/classifier"
	"corianderroad/commander"
	"corianderroad/messenger"
)

// maxDepth is above the depth of the schema. It keeps a small text with deep
// nesting from costing much time and stack in the YAML library.
const maxDepth = 16

// Parser reads service texts. The zero value is useful and safe for concurrent
// use.
type Parser struct{}

// Parse returns the organisation's text with defaults filled in. Its Version is
// zero. An error has code InvalidText and names the key and line.
func (Parser) Parse(text []byte) (messenger.OrganisationText, error) {
	if len(text) == 0 || len(text) > commander.MaxText {
		return messenger.OrganisationText{}, classifier.New(classifier.InvalidText,
			"text has %d bytes, must be 1 to %d", len(text), commander.MaxText)
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

// document returns the single document of a text. Anchors and aliases are
// refused, because nested aliases make a short text expand without bound.
func document(text []byte) (root ast.Node, err error) {
	if err := nesting(text); err != nil {
		return nil, err
	}
	file, err := yamlparser.ParseBytes(text, 0)
	if err != nil {
		return nil, syntaxError(err)
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		return nil, classifier.New(classifier.InvalidText, "the text must hold one document")
	}
	body := file.Docs[0].Body
	finder := &forbidden{}
	ast.Walk(finder, body)
	if finder.found != nil {
		return nil, classifier.New(classifier.InvalidText, "line %d: anchors, aliases, tags and merge keys are not allowed",
			finder.found.GetToken().Position.Line)
	}
	return body, nil
}

// nesting refuses flow collections and indentation that are deeper than any
// service text needs.
func nesting(text []byte) error {
	depth, line := 0, 1
	for _, octet := range text {
		switch octet {
		case '\n':
			line++
		case '[', '{':
			depth++
		case ']', '}':
			depth--
		}
		if depth > maxDepth {
			return classifier.New(classifier.InvalidText, "line %d: more than %d open brackets", line, maxDepth)
		}
	}
	return nil
}

// forbidden finds the first node of a kind that a service text does not use.
type forbidden struct{ found ast.Node }

// Visit implements ast.Visitor.
func (forbidden *forbidden) Visit(node ast.Node) ast.Visitor {
	if forbidden.found != nil {
		return nil
	}
	switch node.(type) {
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode, *ast.MergeKeyNode:
		forbidden.found = node
		return nil
	}
	return forbidden
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
