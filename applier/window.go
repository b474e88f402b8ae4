package applier

import (
	"corianderroad/identifier"
	"corianderroad/messenger"
)

const (
	// Bounds of the recent appends that are retained for peers.
	maxWindowEntries = 4096
	maxWindowSize    = 2 << 20
	// Bounds of one response to a peer, below the size of a frame.
	maxResponseEntries = 1024
	maxResponseSize    = 512 << 10
)

// window holds the most recent appends of a stream, without gaps. Peers to which the
// log has not delivered them can request them from this node.
type window struct {
	appends       []messenger.AppendRead
	entries, size int
}

func (window *window) add(read messenger.AppendRead) {
	read.Reset = false
	window.appends = append(window.appends, read)
	window.entries += len(read.Entries)
	window.size += estimatedSize(read)
	dropped := 0
	for window.entries > maxWindowEntries || window.size > maxWindowSize || len(window.appends)-dropped > maxWindowEntries {
		window.entries -= len(window.appends[dropped].Entries)
		window.size -= estimatedSize(window.appends[dropped])
		window.appends[dropped] = messenger.AppendRead{}
		dropped++
	}
	window.appends = window.appends[dropped:]
}

// appendsFrom returns appends beginning with an offset, nil if the window does not
// hold that offset.
func (window *window) appendsFrom(offset identifier.Offset) []messenger.AppendRead {
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
		bytes += estimatedSize(window.appends[last])
		if last > first && (entries > maxResponseEntries || bytes > maxResponseSize) {
			break
		}
		last++
	}
	return append([]messenger.AppendRead(nil), window.appends[first:last]...)
}

// estimatedSize estimates the size of an append on the wire in bytes.
func estimatedSize(read messenger.AppendRead) int {
	total := 64
	for _, entry := range read.Entries {
		total += 256
		switch record := entry.Record.(type) {
		case messenger.Publication:
			total += len(record.Text)
		case messenger.Snapshot:
			total += maxPartSize
		}
	}
	return total
}
