package parser_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"corianderroad/classifier"
	"corianderroad/commander"
	"corianderroad/parser"
)

var (
	digestA = strings.Repeat("a", 64)
	digestB = strings.Repeat("b", 64)
)

// validLines is a valid text. The tests below replace single lines of it, counted
// from 1, and expect the error at the line of the replacement.
var validLines = []string{
	"organisation: hoop-and-mallet",                // 1
	"operator-token-digest: " + digestA,            // 2
	"services:",                                    // 3
	"  - name: rota",                               // 4
	"    depends-on: [weather]",                    // 5
	"    slots: 4",                                 // 6
	"    connections: 32",                          // 7
	"    long-slots: 2",                            // 8
	"    short-below: 500ms",                       // 9
	"    methods:",                                 // 10
	"      - name: swap",                           // 11
	"        timeout: 2s",                          // 12
	"      - name: draw",                           // 13
	"        idempotent: true",                     // 14
	"        run-time: 20s",                        // 15
	"  - name: weather",                            // 16
	"    methods:",                                 // 17
	"      - name: forecast",                       // 18
	"workspaces:",                                  // 19
	"  - name: clubs",                              // 20
	"    token-digest: " + digestB,                 // 21
	"    quota: 32",                                // 22
	"    guarantees:",                              // 23
	"      - region: gulf",                         // 24
	"        members: 4",                           // 25
	"        accelerators: 8",                      // 26
	"        adjacency: same-rack",                 // 27
	"  - name: county",                             // 28
	"    token-digest: " + strings.Repeat("c", 64), // 29
}

// withLine returns the valid text with one line replaced.
func withLine(line int, text string) []byte {
	changed := append([]string(nil), validLines...)
	changed[line-1] = text
	return []byte(strings.Join(changed, "\n") + "\n")
}

// TestDefaultsAndValues guards against a value that is lost, and against a default
// that differs from the documented one.
func TestDefaultsAndValues(t *testing.T) {
	c := quicktest.New(t)
	text, err := parser.Parser{}.Parse(withLine(1, validLines[0]))
	c.Assert(err, quicktest.IsNil)
	c.Assert(string(text.Organisation), quicktest.Equals, "hoop-and-mallet")
	c.Assert(text.OperatorDigest[31], quicktest.Equals, byte(0xaa))
	rota, weather := text.Services[0], text.Services[1]
	c.Assert([]int{rota.Slots, rota.Connections, rota.LongSlots}, quicktest.DeepEquals, []int{4, 32, 2})
	c.Assert(rota.ShortBelow, quicktest.Equals, 500*time.Millisecond)
	c.Assert(string(rota.DependsOn[0]), quicktest.Equals, "weather")
	c.Assert(rota.Methods[0].Timeout, quicktest.Equals, 2*time.Second)
	c.Assert(rota.Methods[1].Timeout, quicktest.Equals, 30*time.Second)
	c.Assert(rota.Methods[1].RunTime, quicktest.Equals, 20*time.Second)
	c.Assert([]bool{rota.Methods[0].Idempotent, rota.Methods[1].Idempotent}, quicktest.DeepEquals, []bool{false, true})
	c.Assert([]int{weather.Slots, weather.Connections, weather.LongSlots}, quicktest.DeepEquals, []int{8, 64, 5})
	c.Assert(weather.ShortBelow, quicktest.Equals, time.Second)
	clubs, county := text.Workspaces[0], text.Workspaces[1]
	c.Assert([]int{clubs.Weight, clubs.Quota, county.Quota}, quicktest.DeepEquals, []int{1, 32, 0})
	c.Assert(clubs.Guarantees[0].Shape, quicktest.Equals,
		commander.Shape{Members: 4, Accelerators: 8, Adjacency: commander.SameRack})
}

// TestErrorsContainKeyAndLine guards against an invalid text that is accepted, or
// refused without the key and line of the error.
func TestErrorsContainKeyAndLine(t *testing.T) {
	faults := []struct {
		line      int
		text, key string
	}{
		{1, "organisation: 'a b'", "organisation"},
		{2, "operator-token-digest: abc", "operator-token-digest"},
		{4, "  - name: weather", "name"},
		{5, "    depends-on: [rota]", "depends-on"},
		{5, "    depends-on: [unknown]", "depends-on"},
		{5, "    depends-on: [weather, weather]", "depends-on"},
		{5, "    dependson: [weather]", "dependson"},
		{6, "    slots: 0", "slots"},
		{6, "    slots: -1", "slots"},
		{6, "    slots: many", ""},
		{6, "    slots: 1.5", "1.5"},
		{7, "    connections: 3", "connections"},
		{8, "    long-slots: 5", "long-slots"},
		{8, "    slots: 4", "slots"},
		{9, "    short-below: 5", "short-below"},
		{9, "    short-below: 2 h", "short-below"},
		{9, "    short-below: 48h", "short-below"},
		{12, "        timeout: -1s", "timeout"},
		{13, "      - name: swap", "name"},
		{14, "        idempotent: 7", ""},
		{20, "  - name: county", "name"},
		{20, "  - weight: 2", "name"},
		{21, "    token-digest: " + strings.Repeat("c", 64), "token-digest"},
		{22, "    quota: 31", "quota"},
		{22, "    weight: 0", "weight"},
		{25, "        members: 129", "members"},
		{26, "        accelerators: 0", "accelerators"},
		{27, "        adjacency: same-room", "adjacency"},
		{29, "    token-digest: &anchor " + digestA, "anchor"},
	}
	for _, fault := range faults {
		t.Run(strings.TrimSpace(fault.text), func(t *testing.T) {
			c := quicktest.New(t)
			_, err := parser.Parser{}.Parse(withLine(fault.line, fault.text))
			c.Assert(classifier.CodeOf(err), quicktest.Equals, classifier.InvalidText)
			c.Assert(err, quicktest.ErrorMatches, "(?s).*line [0-9]+: .*"+fault.key+".*")
			// A duplicate is reported at its second occurrence.
			if !strings.Contains(err.Error(), "twice") && !strings.Contains(err.Error(), "another") {
				c.Assert(err, quicktest.ErrorMatches, fmt.Sprintf("(?s).*line %d: .*", fault.line))
			}
		})
	}
}

// TestNestingIsBounded guards against a short text that occupies the parser, and
// with it the duty that applies the log, for half a minute.
func TestNestingIsBounded(t *testing.T) {
	c := quicktest.New(t)
	_, err := parser.Parser{}.Parse([]byte(strings.Repeat("- ", 100_000)))
	c.Assert(err, quicktest.ErrorMatches, ".*line 1: .* is indented too far")
	_, err = parser.Parser{}.Parse([]byte("services: " + strings.Repeat("[", 100_000)))
	c.Assert(err, quicktest.ErrorMatches, ".*line 1: .* is nested too deeply")
}

// TestDependencyCyclesAreRefused guards against a dependency cycle that is
// accepted, and against an acyclic text that is refused.
func TestDependencyCyclesAreRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 8).Draw(t, "services")
		depends := make([][]bool, count)
		var text strings.Builder
		fmt.Fprintf(&text, "organisation: a\noperator-token-digest: %s\nservices:\n", digestA)
		for i := range depends {
			depends[i] = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) bool {
				return rapid.IntRange(0, 4).Draw(t, "edge") == 0
			}), count, count).Draw(t, "depends")
			fmt.Fprintf(&text, "  - name: s%d\n    methods: [{name: m}]\n    depends-on: [", i)
			for j, edge := range depends[i] {
				if edge {
					fmt.Fprintf(&text, "s%d, ", j)
				}
			}
			text.WriteString("]\n")
		}
		// The transitive closure by repeated relaxation is the reference.
		for k := range depends {
			for i := range depends {
				for j := range depends {
					depends[i][j] = depends[i][j] || depends[i][k] && depends[k][j]
				}
			}
		}
		cyclic := false
		for i := range depends {
			cyclic = cyclic || depends[i][i]
		}
		_, err := parser.Parser{}.Parse([]byte(text.String()))
		if cyclic != (classifier.CodeOf(err) == classifier.InvalidText) {
			t.Fatalf("cyclic is %v, error is %v for\n%s", cyclic, err, text.String())
		}
	})
}

// FuzzParse guards against a text that makes the parser panic, return another error
// code, or accept values outside the bounds that other packages rely on.
func FuzzParse(f *testing.F) {
	f.Add(withLine(1, validLines[0]))
	f.Add([]byte("organisation: [[[[[[[["))
	f.Add([]byte("a: &a [*a, *a]"))
	f.Add([]byte("? {}: - !!binary |\n\t- 1"))
	f.Fuzz(func(t *testing.T, text []byte) {
		parsed, err := parser.Parser{}.Parse(text)
		if err != nil {
			if classifier.CodeOf(err) != classifier.InvalidText {
				t.Fatalf("error %v does not have code InvalidText", err)
			}
			return
		}
		for _, service := range parsed.Services {
			if service.LongSlots > service.Slots || service.Slots < 1 || service.Connections < service.Slots || service.ShortBelow <= 0 {
				t.Fatalf("service %+v is out of bounds", service)
			}
		}
		for _, workspace := range parsed.Workspaces {
			for _, guarantee := range workspace.Guarantees {
				if err := guarantee.Shape.Check(); err != nil {
					t.Fatal(err)
				}
			}
		}
	})
}

// BenchmarkParse measures the parsing of a text with the given number of workspaces.
// Every node parses each publication when it applies it.
func BenchmarkParse(b *testing.B) {
	for _, count := range []int{2, 32, 256} {
		text := append([]string(nil), validLines[:19]...)
		for i := range count {
			text = append(text, fmt.Sprintf("  - name: w%d", i), fmt.Sprintf("    token-digest: %063xf", i), "    weight: 2")
		}
		body := []byte(strings.Join(text, "\n") + "\n")
		b.Run(fmt.Sprintf("workspaces=%d", count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := (parser.Parser{}).Parse(body); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
