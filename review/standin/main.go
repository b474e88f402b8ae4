// Command standin plays one case of the review: it starts nodes as processes, with
// stand-ins of the platform, the minions, the operator and the clients, and checks a rule.
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. A case returns an error if it could not run.
var cases = map[string]func(root string, record *Record, trouble bool) error{
	"full-list":      playFullList,
	"removed-route":  playRemovedRoute,
	"large-progress": playLargeProgress,
	"late-upkeep":    playLateUpkeep,
	"pending-count":  playPendingCount,
}

func main() {
	name := flag.String("case", "", "name of the case")
	trouble := flag.String("trouble", "1", "0 to leave the disruption out")
	root := flag.String("root", "../..", "root of the repository")
	path := flag.String("record", "record.txt", "file that says what happened")
	flag.Parse()
	os.Exit(play(*name, *trouble != "0", *root, *path))
}

func play(name string, trouble bool, root, path string) int {
	playCase := cases[name]
	absolute, err := filepath.Abs(root)
	if playCase == nil || err != nil {
		fmt.Fprintf(os.Stderr, "no case %q, or no root: %v\n", name, err)
		return exitNotRun
	}
	record, err := NewRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	record.Sayf("case %s, with its disruption: %t", name, trouble)
	if err := playCase(absolute, record, trouble); err != nil {
		record.Sayf("the case could not run: %v", err)
		return exitNotRun
	}
	if record.Violations() > 0 {
		record.Sayf("the rule was broken")
		return exitBroken
	}
	record.Sayf("the rule held")
	return exitHeld
}
