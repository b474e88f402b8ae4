package splitter_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"corianderroad/splitter"
)

func ExampleElements() {
	elements, err := splitter.Elements([]byte(`[{"a": [1, "]"]}, 1e999, "x"]`))
	for _, element := range elements {
		fmt.Println(string(element))
	}
	fmt.Println(err)
	// Output:
	// {"a": [1, "]"]}
	// 1e999
	// "x"
	// <nil>
}

func ExampleMembers() {
	members, err := splitter.Members([]byte(`{"list": [[]], "next": "2"}`))
	fmt.Println(string(members["list"]), string(members["next"]), err)
	// Output:
	// [[]] "2" <nil>
}

// TestDepthOfOnePart guards against a part that is nested more deeply than
// encoding/json accepts and that makes the parts beside it unreadable.
func TestDepthOfOnePart(t *testing.T) {
	c := quicktest.New(t)
	nested := strings.Repeat(`{"a":[`, 1_000_000) + strings.Repeat(`]}`, 1_000_000)
	elements, err := splitter.Elements([]byte(`[1,` + nested + `,2]`))
	c.Assert(err, quicktest.IsNil)
	c.Assert(elements, quicktest.HasLen, 3)
	c.Check(string(elements[2]), quicktest.Equals, "2")
	c.Check(json.Unmarshal(elements[1], new(any)), quicktest.ErrorMatches, ".*exceeded max depth")
}

// TestInvalidLists guards against a text that is no list and is split nevertheless.
func TestInvalidLists(t *testing.T) {
	c := quicktest.New(t)
	for _, text := range []string{``, `{}`, `null`, `[`, `[1`, `[1,`, `[,]`, `[1 2}`, `[1]]`, `[1] x`, `["`, `["\`, `[[]`, `[:]`, `[}`} {
		_, err := splitter.Elements([]byte(text))
		c.Check(err, quicktest.IsNotNil, quicktest.Commentf("%s", text))
	}
	for _, text := range []string{``, `[]`, `{`, `{"a"}`, `{"a":1`, `{1:1}`, `{"a":1}}`, `{"a":1]`, `{,}`, `{"\`} {
		_, err := splitter.Members([]byte(text))
		c.Check(err, quicktest.IsNotNil, quicktest.Commentf("%s", text))
	}
}

// FuzzSplit guards against a text that makes the package panic, and against valid JSON
// that it splits differently from encoding/json.
func FuzzSplit(f *testing.F) {
	for _, text := range []string{`[1, "a,]\"", {"b": [2]}]`, `{"a":1,"a":[2 ],"\u0062":"}"}`, `[[`, `{"a":`, ` [ ] `, `["\`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		elements, elementsErr := splitter.Elements(text)
		members, membersErr := splitter.Members(text)
		var wantElements []json.RawMessage
		if err := json.Unmarshal(text, &wantElements); err == nil && wantElements != nil {
			quicktest.Assert(t, elementsErr, quicktest.IsNil)
			quicktest.Assert(t, fmt.Sprintf("%q", elements), quicktest.Equals, fmt.Sprintf("%q", wantElements))
		}
		var wantMembers map[string]json.RawMessage
		if err := json.Unmarshal(text, &wantMembers); err == nil && wantMembers != nil {
			quicktest.Assert(t, membersErr, quicktest.IsNil)
			quicktest.Assert(t, fmt.Sprintf("%q", members), quicktest.Equals, fmt.Sprintf("%q", wantMembers))
		}
	})
}
