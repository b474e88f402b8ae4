package hostileclients_test

import (
	"fmt"
	"strings"
	"testing"
)

// pieces returns a text in parts of equal size with a pause before each.
func pieces(text string, count int) []string {
	var parts []string
	for size := (len(text) + count - 1) / count; len(text) > 0; {
		size = min(size, len(text))
		parts = append(parts, "", text[:size])
		text = text[size:]
	}
	return parts
}

// pieceCount is in how many pieces a body is sent slowly.
const pieceCount = 100

// TestUnfinishedBodiesPieceByPiece guards against memory that grows with bodies that make
// progress all the time and stop short of their end.
func TestUnfinishedBodiesPieceByPiece(t *testing.T) {
	parts := pieces(blank(bodyBytes-1), pieceCount)
	length := fmt.Sprintf("Content-Length: %d", bodyBytes)
	endure(t, crowdSize, func(int) []string { return append([]string{post(firstKey, length)}, parts...) })
}

// TestWholeBodiesPieceByPiece guards against the same with bodies that all end at the same time.
func TestWholeBodiesPieceByPiece(t *testing.T) {
	parts := pieces(blank(bodyBytes), pieceCount)
	length := fmt.Sprintf("Content-Length: %d", bodyBytes)
	endure(t, crowdSize, func(int) []string { return append([]string{post(firstKey, length)}, parts...) })
}

// lastChunk ends a body without a length.
const lastChunk = "0\r\n\r\n"

// wholeChunked sends a body in chunks of a size, with its end, piece by piece, so that the bodies
// of a crowd are in memory together.
func wholeChunked(key string, size int) attack {
	parts := pieces(strings.Repeat(chunk(blank(size)), bodyBytes/size)+lastChunk, pieceCount)
	return func(int) []string { return append([]string{post(key, "Transfer-Encoding: chunked")}, parts...) }
}

// TestWholeBodiesInLargeChunks guards against memory that grows with bodies without a length.
func TestWholeBodiesInLargeChunks(t *testing.T) {
	endure(t, crowdSize, wholeChunked(firstKey, bodyBytes/5))
}

// TestWholeBodiesInChunksOfOneByte guards against the same in the smallest chunks.
func TestWholeBodiesInChunksOfOneByte(t *testing.T) { endure(t, crowdSize, wholeChunked(firstKey, 1)) }

// TestChunksPieceByPiece guards against memory that grows with chunked bodies that make progress
// all the time and stop short of their end.
func TestChunksPieceByPiece(t *testing.T) {
	const chunkBytes = 100
	parts := pieces(strings.Repeat(chunk(blank(chunkBytes)), (bodyBytes-1)/chunkBytes), pieceCount)
	endure(t, crowdSize, func(int) []string { return append([]string{post(firstKey, "Transfer-Encoding: chunked")}, parts...) })
}

// TestLongChunkExtensions guards against memory that grows with the extensions of chunks, which
// are no part of the body and so within no limit of it.
func TestLongChunkExtensions(t *testing.T) {
	const extensionBytes = 2000
	extended := "1;" + strings.Repeat("e", extensionBytes) + "\r\n \r\n"
	chunks := strings.Repeat(extended, bodyBytes/len(extended))
	endure(t, crowdSize, func(int) []string { return []string{post(firstKey, "Transfer-Encoding: chunked"), chunks} })
}

// TestTrailersWithoutEnd guards against memory that grows with the lines behind a chunked body.
func TestTrailersWithoutEnd(t *testing.T) {
	trailers := strings.Repeat("X-Trailer: 0123456789012345678901234567890123456789\r\n", bodyBytes/54)
	endure(t, crowdSize, func(int) []string {
		return []string{post(firstKey, "Transfer-Encoding: chunked", "Trailer: X-Trailer"), chunk(blank(1)) + "0\r\n" + trailers}
	})
}

// TestBodiesThatAwaitNoContinue guards against bodies that clients announce and send without
// waiting for the node's consent.
func TestBodiesThatAwaitNoContinue(t *testing.T) {
	head := func() string {
		return post(firstKey, fmt.Sprintf("Content-Length: %d", bodyBytes), "Expect: 100-continue")
	}
	endure(t, crowdSize, func(int) []string { return []string{head(), blank(bodyBytes - 1)} })
}

// TestDeeplyNestedBodies guards against memory that grows with the depth of a body.
func TestDeeplyNestedBodies(t *testing.T) {
	const prefix = `{"steps":`
	body := prefix + strings.Repeat("[", bodyBytes-len(prefix))
	endure(t, crowdSize, sized(firstKey, body, len(body)))
}

// TestLongEscapes guards against memory that grows with strings whose decoded form is built anew.
func TestLongEscapes(t *testing.T) {
	const prefix, escape, suffix = `{"spec":"`, `\u00e4`, `"}`
	body := prefix + strings.Repeat(escape, (bodyBytes-len(prefix)-len(suffix))/len(escape)) + suffix
	endure(t, crowdSize, sized(firstKey, body, len(body)))
}

// TestMixedCrowd guards against a sum of different kinds of clients of all workspaces that exceeds
// a limit that each kind keeps.
func TestMixedCrowd(t *testing.T) { endure(t, crowdSize, mixed()) }

// mixed lets each client send one of several kinds of unfinished and whole bodies.
func mixed() attack {
	kinds := []attack{
		unfinished(firstKey), unfinished(secondKey), unfinished("unknown"),
		sized(firstKey, blank(bodyBytes), bodyBytes), sized(secondKey, blank(bodyBytes), bodyBytes),
		chunked(firstKey, bodyBytes/5), chunked(secondKey, bodyBytes/5), chunked(secondKey, 1),
		wholeChunked(firstKey, bodyBytes/5), wholeChunked(secondKey, 1),
	}
	return func(index int) []string { return kinds[index%len(kinds)](index) }
}
