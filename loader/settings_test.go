package loader_test

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"corianderroad/loader"
)

// TestPageListsEveryKey guards against a key that is missing on the settings page,
// and against a page that lists a key that the program refuses.
func TestPageListsEveryKey(t *testing.T) {
	c := quicktest.New(t)
	page, err := os.ReadFile("../docs/SETTINGS.md")
	c.Assert(err, quicktest.IsNil)
	keys := make(map[string]bool)
	collectKeys(reflect.TypeFor[loader.Settings](), "", keys)
	for key := range keys {
		c.Assert(string(page), quicktest.Contains, fmt.Sprintf("| `%s` |", key))
	}
	rows := strings.Count(string(page), "\n| `")
	c.Assert(rows, quicktest.Equals, len(keys))
}

func collectKeys(structure reflect.Type, prefix string, keys map[string]bool) {
	for index := range structure.NumField() {
		field := structure.Field(index)
		key := prefix + field.Tag.Get("yaml")
		switch {
		case field.Type.Kind() == reflect.Slice && field.Type.Elem().Kind() == reflect.Struct:
			keys[key] = true
			collectKeys(field.Type.Elem(), key+"[].", keys)
		case field.Type == reflect.TypeFor[loader.Limits]():
			collectKeys(field.Type, key+".", keys)
		default:
			keys[key] = true
		}
	}
}
