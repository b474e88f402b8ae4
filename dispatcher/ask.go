package dispatcher

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"corianderroad/classifier"
	"corianderroad/messenger"
)

// maxSlotsAnswer bounds the answer to a question for slots.
const maxSlotsAnswer = 4 << 10

// ask asks a minion for its busy slots.
func (dispatcher *Dispatcher) ask(ctx context.Context, asked messenger.AskSlots) messenger.Event {
	ctx, cancel := context.WithTimeout(ctx, dispatcher.parameters.AskTimeout)
	defer cancel()
	answered := messenger.SlotsAnswered{Minion: asked.Minion}
	target := url.URL{Scheme: "http", Host: asked.Address.String(), Path: "/slots"}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), http.NoBody)
	if err != nil {
		answered.Err = classifier.New(classifier.BadRequest, "the request can't be formed: %v", err)
		return answered
	}
	response, err := dispatcher.transport.RoundTrip(request)
	if err != nil {
		answered.Err = classifier.New(classifier.MinionUnreachable, "the minion does not tell its slots: %v", err)
		return answered
	}
	defer response.Body.Close()
	var told struct {
		Slots   int  `json:"slots"`
		Busy    int  `json:"busy"`
		Leaving bool `json:"leaving"`
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxSlotsAnswer)).Decode(&told)
	if err != nil || response.StatusCode != http.StatusOK || told.Slots <= 0 || told.Busy < 0 {
		answered.Err = classifier.New(classifier.CorruptAnswer, "the minion's answer about its slots has status %d and can't be read", response.StatusCode)
		return answered
	}
	answered.Slots, answered.Busy, answered.Leaving = told.Slots, told.Busy, told.Leaving
	return answered
}
