package parser_test

import (
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"corianderroad/classifier"
	"corianderroad/parser"
)

// TestInvalidTextIsRefused guards against a text that makes every node that applies it
// allocate or compute without bound, and against numbers that wrap into their
// bounds. A valid text is parsed after each.
func TestInvalidTextIsRefused(t *testing.T) {
	indented := &strings.Builder{}
	for depth := range 2000 {
		indented.WriteString(strings.Repeat(" ", depth) + "a:\n")
	}
	aliases := "a0: &a0 [x, x]\n"
	for _, pair := range []string{"a1: &a1 [*a0, *a0]", "a2: &a2 [*a1, *a1]", "a3: [*a2, *a2]"} {
		aliases += pair + "\n"
	}
	for reason, text := range map[string][]byte{
		"deep brackets":           withLine(5, "    depends-on: "+strings.Repeat("[", 100_000)),
		"deep braces":             withLine(5, "    depends-on: "+strings.Repeat("{a: ", 50_000)),
		"deep sequences":          withLine(5, "    depends-on: "+strings.Repeat("- ", 100_000)),
		"deep indentation":        []byte(indented.String())[:100_000],
		"expanding aliases":       append(withLine(1, validLines[0]), aliases...),
		"recursive alias":         append(withLine(1, validLines[0]), "other: &a [*a]\n"...),
		"merge key":               append(withLine(1, validLines[0]), "<<: {organisation: x}\n"...),
		"number too large":        withLine(6, "    slots: 99999999999999999999999999"),
		"number above int64":      withLine(6, "    slots: 18446744073709551620"),
		"hexadecimal above int64": withLine(6, "    slots: 0x10000000000000004"),
		"octal above int64":       withLine(6, "    slots: 0o2000000000000000000004"),
		"lowest number":           withLine(6, "    slots: -9223372036854775808"),
		"infinity":                withLine(6, "    slots: .inf"),
		"duration too large":      withLine(9, "    short-below: 9223372036854775807h"),
		"duration that wraps":     withLine(9, "    short-below: 18446744073709551617ns"),
		"negative duration":       withLine(9, "    short-below: -1s"),
		"members out of range":    withLine(25, "        members: 9223372036854775807"),
		"two documents":           append(withLine(1, validLines[0]), "---\norganisation: x\n"...),
		"too long":                append(withLine(1, validLines[0]), strings.Repeat("#", 1<<20)...),
		"control characters":      withLine(1, "organisation: \x00\x01"),
	} {
		t.Run(reason, func(t *testing.T) {
			_, err := parser.Parser{}.Parse(text)
			quicktest.Assert(t, classifier.CodeOf(err), quicktest.Equals, classifier.InvalidText)
			_, err = parser.Parser{}.Parse(withLine(1, validLines[0]))
			quicktest.Assert(t, err, quicktest.IsNil)
		})
	}
}
