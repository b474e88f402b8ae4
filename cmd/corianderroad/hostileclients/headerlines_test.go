package hostileclients_test

import (
	"fmt"
	"strings"
	"testing"
)

// headerLines returns different header lines of five bytes each.
func headerLines(count int) string {
	var lines strings.Builder
	for number := range count {
		fmt.Fprintf(&lines, "%03x:\n", number)
	}
	return lines.String()
}

// manyLines is the number of lines that fit in the largest header.
const manyLines = 15 << 10 / 5

// TestManyHeaderLines guards against memory that grows with the decoded form of short
// header lines, which needs many times their size, while a body without a valid key is
// awaited.
func TestManyHeaderLines(t *testing.T) {
	head := strings.TrimSuffix(post("unknown", "Content-Length: 100"), "\r\n") + headerLines(manyLines) + "\r\n"
	endure(t, crowdSize, func(int) []string { return []string{head} })
}

// TestManyHeaderLinesWithoutEnd guards against the same while the header is read.
func TestManyHeaderLinesWithoutEnd(t *testing.T) {
	head := strings.TrimRight(post(firstKey), "\r\n") + "\r\n" + headerLines(manyLines)
	endure(t, crowdSize, func(int) []string { return []string{head} })
}

// TestHeaderLinesBehindARequest guards against the same in a header whose first lines are
// read together with an earlier request.
func TestHeaderLinesBehindARequest(t *testing.T) {
	const uncountedLines, countedLines = 760, 250
	request := "GET /q/ HTTP/1.1\nHost: " + host + "\nAuthorization: Token " + firstKey + "\n\n"
	head := request + strings.ReplaceAll(strings.TrimRight(post(firstKey), "\r\n"), "\r", "") + "\n" + headerLines(uncountedLines+countedLines)
	endure(t, crowdSize, func(int) []string { return []string{head} })
}

// TestBodiesWithQueries guards against memory and connections that requests hold whose
// bodies nobody reads.
func TestBodiesWithQueries(t *testing.T) {
	head := strings.Replace(post(firstKey, fmt.Sprintf("Content-Length: %d", bodyBytes)), "POST", "DELETE", 1)
	endure(t, crowdSize, func(int) []string { return []string{head, blank(bodyBytes - 1)} })
}

// TestHeaderLinesAndBodies guards against the sum of such headers and of unfinished bodies.
func TestHeaderLinesAndBodies(t *testing.T) {
	const lines = 1000
	request := "GET /q/ HTTP/1.1\nHost: " + host + "\nAuthorization: Token " + firstKey + "\n\n"
	length := fmt.Sprintf("Content-Length: %d", bodyBytes)
	head := request + strings.ReplaceAll(strings.TrimRight(post(firstKey, length), "\r\n"), "\r", "") + "\n" + headerLines(lines) + "\n"
	endure(t, crowdSize, func(int) []string { return []string{head, blank(bodyBytes - 1)} })
}
