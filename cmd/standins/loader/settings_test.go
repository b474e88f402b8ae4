package loader

import (
	"os"
	"testing"

	"github.com/frankban/quicktest"
)

// TestExamplesLoad guards against example settings that the program refuses or
// that differ from the deployment of the design page.
func TestExamplesLoad(t *testing.T) {
	c := quicktest.New(t)
	for _, name := range []string{"hoop-and-mallet", "mekong"} {
		settings, err := Load("../../../examples/" + name + "/standins.yaml")
		c.Assert(err, quicktest.IsNil)
		var minions, workers, accelerators int
		for _, group := range settings.Minions {
			minions += group.Count
			c.Check(group.Slots, quicktest.Equals, 8)
			c.Check(group.Connections, quicktest.Equals, 64)
		}
		for _, rack := range settings.Workers {
			workers += rack.Count
			accelerators += rack.Count * rack.Accelerators
			c.Check(rack.Count, quicktest.Equals, 8)
		}
		c.Check(settings.Entries, quicktest.HasLen, 9)
		c.Check([]int{minions, workers, accelerators}, quicktest.DeepEquals, []int{48, 48, 384})
	}
}

// TestParseRefuses guards against invalid settings that are accepted and misread.
func TestParseRefuses(t *testing.T) {
	c := quicktest.New(t)
	text, err := os.ReadFile("../../../examples/mekong/standins.yaml")
	c.Assert(err, quicktest.IsNil)
	for _, invalid := range []string{"vm-lag: 2s\n", "minions: 7\n", "seed: -1\n"} {
		_, err := Parse(append([]byte(invalid), text...))
		c.Check(err, quicktest.IsNotNil, quicktest.Commentf("%s", invalid))
	}
	_, err = Parse([]byte("seed: 1\n"))
	c.Check(err, quicktest.ErrorMatches, `(?s).*LogService.*required.*`)
}
