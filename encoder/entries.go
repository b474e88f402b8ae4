package encoder

import (
	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

func entriesToWire(response messenger.EntriesResponse) (*WireEntriesResponse, error) {
	wire := &WireEntriesResponse{Stream: string(response.Stream)}
	for _, appendRead := range response.Appends {
		batch, err := MarshalBatch(appendRead.Entries)
		if err != nil {
			return nil, err
		}
		wire.Appends = append(wire.Appends, WireAppend{
			Stream: string(appendRead.Stream), Offset: uint64(appendRead.Offset), AppendedAt: appendRead.AppendedAt,
			Batch: batch, Reset: appendRead.Reset,
		})
	}
	if response.Snapshot == nil {
		return wire, nil
	}
	snapshot, err := MarshalBatch([]messenger.Entry{{ID: "snapshot", Record: *response.Snapshot}})
	wire.Snapshot = snapshot
	return wire, err
}

func entriesFromWire(wire *WireEntriesResponse) (messenger.EntriesResponse, error) {
	response := messenger.EntriesResponse{Stream: identifier.Stream(wire.Stream)}
	for _, appendRead := range wire.Appends {
		batch, err := UnmarshalBatch(appendRead.Batch)
		if err != nil {
			return messenger.EntriesResponse{}, err
		}
		response.Appends = append(response.Appends, messenger.AppendRead{
			Stream: identifier.Stream(appendRead.Stream), Offset: identifier.Offset(appendRead.Offset),
			AppendedAt: appendRead.AppendedAt, Entries: batch.Entries, Refused: batch.Refused, Reset: appendRead.Reset,
		})
	}
	if len(wire.Snapshot) == 0 {
		return response, nil
	}
	batch, err := UnmarshalBatch(wire.Snapshot)
	if err != nil {
		return messenger.EntriesResponse{}, err
	}
	if len(batch.Entries) == 1 {
		if snapshot, ok := batch.Entries[0].Record.(messenger.Snapshot); ok {
			response.Snapshot = &snapshot
			return response, nil
		}
	}
	return messenger.EntriesResponse{}, classifier.New(classifier.BadFrame, "entries response has a snapshot that is not a single snapshot record")
}
