package intruder_test

import (
	"fmt"
	"strings"
	"testing"
)

// headerLines returns different header lines of a few bytes each, as many as fit in a header.
func headerLines() string {
	const lineBytes = len("x000:\n")
	var lines strings.Builder
	for number := range (15 << 10) / lineBytes {
		fmt.Fprintf(&lines, "x%03x:\n", number)
	}
	return lines.String()
}

// TestManyHeaderLines guards against memory that grows with the decoded form of short
// header lines, which needs many times their size, while a body without a valid key is
// awaited.
func TestManyHeaderLines(t *testing.T) {
	head := strings.TrimSuffix(post("unknown", "Content-Length: 100"), "\r\n") + headerLines() + "\r\n"
	endure(t, crowdSize, func(int) []string { return []string{head} })
}

// TestManyHeaderLinesWithoutEnd guards against the same while the header is read.
func TestManyHeaderLinesWithoutEnd(t *testing.T) {
	head := strings.TrimRight(post(firstKey), "\r\n") + "\r\n" + headerLines()
	endure(t, crowdSize, func(int) []string { return []string{head} })
}
