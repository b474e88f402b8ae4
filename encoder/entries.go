package encoder

import (
	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

func entriesToWire(tell messenger.EntriesResponse) (*WireEntriesResponse, error) {
	wire := &WireEntriesResponse{Stream: string(tell.Stream)}
	for _, read := range tell.Appends {
		batch, err := MarshalBatch(read.Entries)
		if err != nil {
			return nil, err
		}
		wire.Appends = append(wire.Appends, WireAppend{
			Stream: string(read.Stream), Offset: uint64(read.Offset), AppendedAt: read.AppendedAt,
			Batch: batch, Reset: read.Reset,
		})
	}
	if tell.Snapshot == nil {
		return wire, nil
	}
	snapshot, err := MarshalBatch([]messenger.Entry{{ID: "snapshot", Record: *tell.Snapshot}})
	wire.Snapshot = snapshot
	return wire, err
}

func entriesFromWire(wire *WireEntriesResponse) (messenger.EntriesResponse, error) {
	tell := messenger.EntriesResponse{Stream: identifier.Stream(wire.Stream)}
	for _, read := range wire.Appends {
		entries, err := UnmarshalBatch(read.Batch)
		if err != nil {
			return messenger.EntriesResponse{}, err
		}
		tell.Appends = append(tell.Appends, messenger.AppendRead{
			Stream: identifier.Stream(read.Stream), Offset: identifier.Offset(read.Offset),
			AppendedAt: read.AppendedAt, Entries: entries, Reset: read.Reset,
		})
	}
	if len(wire.Snapshot) == 0 {
		return tell, nil
	}
	entries, err := UnmarshalBatch(wire.Snapshot)
	if err != nil {
		return messenger.EntriesResponse{}, err
	}
	if len(entries) == 1 {
		if snapshot, ok := entries[0].Record.(messenger.Snapshot); ok {
			tell.Snapshot = &snapshot
			return tell, nil
		}
	}
	return messenger.EntriesResponse{}, classifier.New(classifier.BadFrame, "a snapshot frame holds another record")
}
