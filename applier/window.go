package applier

import (
	"corianderroad/identifier"
	"corianderroad/messenger"
)

const (
	// Bounds of the recent appends that are kept for peers.
	windowEntries = 4096
	windowSize    = 2 << 20
	// Bounds of one answer to a peer, below the size of a frame.
	tellEntries = 1024
	tellSize    = 512 << 10
)

// window holds the most recent appends of a stream, without gaps, so that peers
// whose reads are late get them from this node.
type window struct {
	appends       []messenger.AppendRead
	entries, size int
}

func (window *window) add(read messenger.AppendRead) {
	read.Reset = false
	window.appends = append(window.appends, read)
	window.entries += len(read.Entries)
	window.size += size(read)
	dropped := 0
	for window.entries > windowEntries || window.size > windowSize || len(window.appends)-dropped > windowEntries {
		window.entries -= len(window.appends[dropped].Entries)
		window.size -= size(window.appends[dropped])
		window.appends[dropped] = messenger.AppendRead{}
		dropped++
	}
	window.appends = window.appends[dropped:]
}

// from returns appends from an offset on, nil if the window does not hold it.
func (window *window) from(offset identifier.Offset) []messenger.AppendRead {
	if len(window.appends) == 0 || offset < window.appends[0].Offset {
		return nil
	}
	first := int(offset - window.appends[0].Offset)
	if first >= len(window.appends) {
		return nil
	}
	entries, bytes, last := 0, 0, first
	for last < len(window.appends) {
		entries += len(window.appends[last].Entries)
		bytes += size(window.appends[last])
		if last > first && (entries > tellEntries || bytes > tellSize) {
			break
		}
		last++
	}
	return append([]messenger.AppendRead(nil), window.appends[first:last]...)
}

// size estimates the size of an append on the wire.
func size(read messenger.AppendRead) int {
	total := 64
	for _, entry := range read.Entries {
		total += 256
		switch record := entry.Record.(type) {
		case messenger.Publication:
			total += len(record.Text)
		case messenger.Snapshot:
			total += maxPart
		}
	}
	return total
}
