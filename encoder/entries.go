package encoder

import (
	"corianderroad/classifier"
	"corianderroad/messenger"
)

func entriesToWire(messenger.EntriesTell) (*WireEntriesTell, error) {
	return nil, classifier.New(classifier.Internal, "log records have no wire form yet")
}

func entriesFromWire(*WireEntriesTell) (messenger.EntriesTell, error) {
	return messenger.EntriesTell{}, classifier.New(classifier.BadFrame, "log records have no wire form yet")
}
