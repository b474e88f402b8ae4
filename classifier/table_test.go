package classifier_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"corianderroad/classifier"
)

var update = flag.Bool("update", false, "rewrite docs/RESULT-CODES.md")

const page = "../docs/RESULT-CODES.md"

// TestPageListsEveryCode guards against a page of result codes that differs from
// the codes of the program.
func TestPageListsEveryCode(t *testing.T) {
	c := quicktest.New(t)
	want := render()
	if *update {
		c.Assert(os.WriteFile(page, []byte(want), 0o644), quicktest.IsNil)
	}
	got, err := os.ReadFile(page)
	c.Assert(err, quicktest.IsNil)
	c.Assert(string(got), quicktest.Equals, want)
}

// TestCodesAreDistinct guards against two codes with the same number or name.
func TestCodesAreDistinct(t *testing.T) {
	c := quicktest.New(t)
	numbers, names := map[classifier.Code]bool{}, map[string]bool{}
	for _, meaning := range classifier.Table() {
		c.Assert(numbers[meaning.Code], quicktest.IsFalse, quicktest.Commentf("%d", meaning.Code))
		c.Assert(names[meaning.Name], quicktest.IsFalse, quicktest.Commentf("%s", meaning.Name))
		numbers[meaning.Code], names[meaning.Name] = true, true
		code, ok := classifier.Lookup(meaning.Name)
		c.Assert(ok, quicktest.IsTrue)
		c.Assert(code, quicktest.Equals, meaning.Code)
	}
}

// TestUnlistedCodeHasUnknownExecution guards against treating a request as not
// run because of an unlisted code, for example from a newer peer.
func TestUnlistedCodeHasUnknownExecution(t *testing.T) {
	quicktest.New(t).Assert(classifier.Code(999).Execution(), quicktest.Equals, classifier.Unknown)
}

func render() string {
	var text strings.Builder
	text.WriteString("# Result codes\n\nGenerated from package classifier: `go test ./classifier -update`.\n\n")
	text.WriteString("`ran` says whether a request that was refused with the code ran: `not-run` means that it did not run\n")
	text.WriteString("and will not, `unknown` that it may have run. `exit` is the exit code of the command line.\n\n")
	text.WriteString("| code | name | HTTP | exit | ran | meaning | what to do |\n|---|---|---|---|---|---|---|\n")
	for _, meaning := range classifier.Table() {
		fmt.Fprintf(&text, "| %d | %s | %d | %d | %s | %s | %s |\n", meaning.Code, meaning.Name,
			meaning.Status, meaning.Exit, meaning.Execution, meaning.Text, meaning.Action)
	}
	return text.String()
}

func ExampleCodeOf() {
	err := fmt.Errorf("submit: %w", classifier.New(classifier.QueueFull, "512 requests wait"))
	code := classifier.CodeOf(err)
	fmt.Println(code.Name(), code.Execution())
	// Output: queue-full not-run
}
